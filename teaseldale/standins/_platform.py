"""Stand-in of the platform: table service and membership list.

``POST /faults`` sets the fields of ``PlatformFaults``.
"""

import time

import anyio
import attrs
import msgspec

from teaseldale.standins._membership import LaggingMembership
from teaseldale.tables import (
    Committed,
    InMemoryTable,
    Row,
    Transaction,
    VmMember,
)
from teaseldale.web import Exchange

_BODY_LIMIT_BYTES = 16_777_216
_STATUS_OK = 200
_STATUS_TOO_MANY = 429
_STATUS_NOT_FOUND = 404
_MS_PER_SECOND = 1000
_NO_ANSWER_SECONDS = 30


@attrs.frozen(kw_only=True)
class PlatformFaults:
    """Currently injected faults."""

    down: bool = False  # no call gets an answer in time
    lose_answers: bool = False  # commits are applied but not answered
    delay_ms: int = 0  # added to every call
    writes_per_second: int = 0  # 0 means no limit
    membership_lag_ms: int = 0  # age of the returned list
    # A VM without an announcement for this long is removed.
    member_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class _CommitAnswer:
    revision: int | None
    conflicts: tuple[Row, ...]


class PlatformStandin:
    """Serves the table service and the membership list over HTTP."""

    def __init__(self) -> None:
        """Creates a platform without rows or members."""
        self._table = InMemoryTable()
        self._membership = LaggingMembership()
        self._faults = PlatformFaults()
        self._second = 0
        self._writes_in_second = 0
        self._handlers = {
            ('POST', '/table/transactions'): self._commit,
            ('GET', '/table/row'): self._read,
            ('GET', '/table/rows'): self._scan,
            ('POST', '/members'): self._announce,
            ('GET', '/members'): self._list_members,
        }

    async def respond(self, exchange: Exchange) -> None:
        """Answers one HTTP exchange, subject to the faults that are set."""
        if exchange.path == '/faults':
            await self._set_faults(exchange)
            return
        if self._faults.down:
            await anyio.sleep(_NO_ANSWER_SECONDS)
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / _MS_PER_SECOND)
        handler = self._handlers.get((exchange.method, exchange.path))
        if handler is None:
            await exchange.answer_json(_STATUS_NOT_FOUND, None)
            return
        await handler(exchange)

    async def _set_faults(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            body = await exchange.body(_BODY_LIMIT_BYTES)
            self._faults = msgspec.json.decode(body, type=PlatformFaults)
        await exchange.answer_json(_STATUS_OK, self._faults)

    async def _commit(self, exchange: Exchange) -> None:
        body = await exchange.body(_BODY_LIMIT_BYTES)
        if not self._admit_write():
            await exchange.answer_json(_STATUS_TOO_MANY, None)
            return
        outcome = self._table.commit(
            msgspec.json.decode(body, type=Transaction)
        )
        if self._faults.lose_answers:
            await anyio.sleep(_NO_ANSWER_SECONDS)
        if isinstance(outcome, Committed):
            answer = _CommitAnswer(revision=outcome.revision, conflicts=())
        else:
            answer = _CommitAnswer(revision=None, conflicts=outcome.rows)
        await exchange.answer_json(_STATUS_OK, answer)

    async def _read(self, exchange: Exchange) -> None:
        row = self._table.read(
            table=exchange.query('table'),
            key=exchange.query('key'),
        )
        await exchange.answer_json(_STATUS_OK, row)

    async def _scan(self, exchange: Exchange) -> None:
        rows = self._table.scan(
            table=exchange.query('table'),
            prefix=exchange.query('prefix'),
            after_revision=int(exchange.query('after_revision', '0')),
        )
        await exchange.answer_json(_STATUS_OK, rows)

    async def _announce(self, exchange: Exchange) -> None:
        body = await exchange.body(_BODY_LIMIT_BYTES)
        member = msgspec.json.decode(body, type=VmMember)
        self._membership.announce(member, now_ms=_now_ms())
        await exchange.answer_json(_STATUS_OK, None)

    async def _list_members(self, exchange: Exchange) -> None:
        members = self._membership.listed(
            now_ms=_now_ms(),
            lag_ms=self._faults.membership_lag_ms,
            timeout_ms=self._faults.member_timeout_ms,
        )
        await exchange.answer_json(_STATUS_OK, members)

    def _admit_write(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._writes_in_second = 0
        self._writes_in_second += 1
        limit = self._faults.writes_per_second
        return limit == 0 or self._writes_in_second <= limit


def _now_ms() -> int:
    return int(time.monotonic() * _MS_PER_SECOND)

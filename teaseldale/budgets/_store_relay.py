"""Calls to the store through other VMs, and on behalf of them.

A VM that loses the store asks a few others whether they reach it, and sends its
calls through one that does. VMs that have lost the store as well name the one
that has lately relayed a call of theirs. A relayed transaction whose answer is
lost may have been applied, as may any other transaction.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Mapping

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._account_rows import ACCOUNTS_TABLE
from teaseldale.budgets._relay_messages import (
    RELAY_ANSWER,
    RELAY_CALL,
    RelayAnswer,
    RelayCall,
    RelayState,
)
from teaseldale.budgets._seen_ids import SeenIds
from teaseldale.logs import StateLog
from teaseldale.members import BaseFleetMembers
from teaseldale.outcomes import PlatformError, Step
from teaseldale.tables import Committed, Conflicted

_MS_PER_SECOND = 1000
# Time-out of a relayed call: the store and two datagrams take some 10 ms.
_CALL_TIMEOUT_MS = 250
_INQUIRY_TIMEOUT_MS = 60
# Pause between two searches for a relay, and VMs asked in each.
_SEARCH_INTERVAL_MS = 300
_VMS_PER_SEARCH = 5
# Age at which an answer no longer shows that the store or a relay can be
# reached. A keeper of a busy account writes at least once a second.
_ANSWER_VALID_MS = 1500
# Calls that a VM relays in a second. More would slow down its own requests.
_MAX_RELAYED_PER_S = 100
# Size of an answer, well below the largest datagram.
_MAX_ANSWER_BYTES = 16_384
_MAX_SEEN_CALLS = 2000  # duplicates of a datagram arrive within a second


class StoreRelay:
    """Finds a VM that relays calls, and relays those of others."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        members: BaseFleetMembers,
        store: StoreAccess,
    ) -> None:
        """Relays calls of other VMs to ``store``."""
        self._start = start
        self._members = members
        self._store = store
        self._clock = store.clock
        self._answered_ms: int | None = None  # last direct answer
        self._relay_address = ''  # VM that relays calls; empty if unknown
        self._relayed_ms: int | None = None  # last relayed answer
        self._next_search_ms = 0
        self._open_calls: dict[str, _OpenCall] = {}
        self._numbers: Iterator[int] = itertools.count()
        self._seen_ids = SeenIds(limit=_MAX_SEEN_CALLS)
        self._relayed_count = 0
        self._relayed_since_ms = 0
        self._random = random.Random(start.holder.text)  # noqa: S311
        self._tasks: TaskGroup | None = None
        self._send: Callable[[str, bytes], None] | None = None
        self._log = StateLog(channel='grants')
        self.is_store_lost = False
        self.handlers: Mapping[bytes, Callable[[bytes], None]] = {
            RELAY_CALL: self._handle_call,
            RELAY_ANSWER: self._handle_answer,
        }

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    def use_task_group(self, tasks: TaskGroup) -> None:
        """Sets the task group that runs the calls of other VMs."""
        self._tasks = tasks

    def note_direct_answer(self) -> None:
        """Records that the store has answered this VM."""
        self._answered_ms = self._clock.monotonic_ms()
        self.is_store_lost = False

    def note_direct_loss(self) -> None:
        """Records that the store has not answered this VM."""
        self.is_store_lost = True

    async def call(self, call: RelayCall, step: Step) -> RelayAnswer:
        """Returns the answer to a call that another VM makes.

        Raises ``PlatformError`` if no VM does; a transaction may have been
        applied then.
        """
        relay = self._relay_address or await self._find_relay()
        if not relay:
            raise PlatformError(step=step, peer='vms', reason='no relay')
        answers = await self._ask([relay], call, _CALL_TIMEOUT_MS)
        answer = answers[0] if answers else None
        if answer is None or answer.state in _UNUSABLE:
            self._relay_address = ''
            self._store.metrics.increment('relayed_calls', 'failed')
            raise PlatformError(step=step, peer=relay, reason='not relayed')
        self._relayed_ms = self._clock.monotonic_ms()
        self._store.metrics.increment('relayed_calls', answer.state)
        return answer

    def new_call(self) -> RelayCall:
        """Returns a call with a new id, for ``attrs.evolve``."""
        holder = self._start.holder.text
        return RelayCall(
            call_id=f'{holder}/{next(self._numbers)}',
            caller_address=self._start.address,
        )

    async def _find_relay(self) -> str:
        """Asks some VMs whether they reach the store; empty if none does."""
        now_ms = self._clock.monotonic_ms()
        others = [
            entry.address
            for entry in self._members.entries().values()
            if entry.address != self._start.address
        ]
        if now_ms < self._next_search_ms or not others:
            return ''
        self._next_search_ms = now_ms + _SEARCH_INTERVAL_MS
        asked = self._random.sample(others, min(_VMS_PER_SEARCH, len(others)))
        inquiry = attrs.evolve(self.new_call(), is_inquiry=True)
        for answer in await self._ask(asked, inquiry, _INQUIRY_TIMEOUT_MS):
            if answer.relay_address not in {'', self._start.address}:
                self._relay_address = answer.relay_address
                break
        self._log.changed('store_relay_searched', relay=self._relay_address)
        return self._relay_address

    async def _ask(
        self,
        addresses: list[str],
        call: RelayCall,
        timeout_ms: int,
    ) -> list[RelayAnswer]:
        """Returns the answers up to the first useful one."""
        if self._send is None:
            return []
        waiting = _OpenCall(expected_count=len(addresses))
        self._open_calls[call.call_id] = waiting
        encoded = msgspec.msgpack.encode(call)
        try:
            for address in addresses:
                self._send(address, RELAY_CALL + encoded)
            with anyio.move_on_after(timeout_ms / _MS_PER_SECOND):
                await waiting.done.wait()
        finally:
            self._open_calls.pop(call.call_id)
        return waiting.answers

    def _handle_answer(self, content: bytes) -> None:
        answer = msgspec.msgpack.decode(content, type=RelayAnswer)
        waiting = self._open_calls.get(answer.call_id)
        if waiting is not None:
            waiting.add(answer)

    def _handle_call(self, content: bytes) -> None:
        call = msgspec.msgpack.decode(content, type=RelayCall)
        if self._tasks is None or not self._seen_ids.add(call.call_id):
            return
        if call.is_inquiry or not self._may_relay():
            self._answer_without_store(call)
        else:
            self._tasks.start_soon(self._relay, call)

    def _answer_without_store(self, call: RelayCall) -> None:
        is_available = call.is_inquiry and self._reaches_store
        state = RelayState.UNAVAILABLE
        relay_address = ''
        if self._is_recent(self._relayed_ms):
            relay_address = self._relay_address
        if is_available:
            state = RelayState.AVAILABLE
            relay_address = self._start.address
        self._answer(
            call,
            RelayAnswer(
                call_id=call.call_id,
                state=state,
                relay_address=relay_address,
            ),
        )

    @property
    def _reaches_store(self) -> bool:
        return not self.is_store_lost and self._is_recent(self._answered_ms)

    def _is_recent(self, answered_ms: int | None) -> bool:
        if answered_ms is None:
            return False
        return self._clock.monotonic_ms() - answered_ms < _ANSWER_VALID_MS

    def _may_relay(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._relayed_since_ms >= _MS_PER_SECOND:
            self._relayed_since_ms = now_ms
            self._relayed_count = 0
        self._relayed_count += 1
        return self._reaches_store and self._relayed_count <= _MAX_RELAYED_PER_S

    async def _relay(self, call: RelayCall) -> None:
        """Makes a call for another VM; never through a third one."""
        try:
            answer = await self._call_store(call)
        except PlatformError as error:
            self.note_direct_loss()
            self._log.changed('relayed_call_failed', reason=error.reason)
            answer = RelayAnswer(call_id=call.call_id, state=RelayState.FAILED)
        self._answer(call, answer)

    async def _call_store(self, call: RelayCall) -> RelayAnswer:
        if call.transaction is None:
            read = await self._store.feed.read_all(
                ACCOUNTS_TABLE, part=call.part
            )
            return RelayAnswer(
                call_id=call.call_id,
                state=RelayState.READ,
                revision=read.revision,
                store_ms=read.store_ms,
                rows=read.rows,
            )
        outcome = await self._store.table.commit(call.transaction)
        return _answer_of(call, outcome)

    def _answer(self, call: RelayCall, answer: RelayAnswer) -> None:
        encoded = msgspec.msgpack.encode(answer)
        if len(encoded) > _MAX_ANSWER_BYTES:
            self._log.changed('relayed_answer_too_long', size=len(encoded))
            return
        if self._send is not None:
            self._send(call.caller_address, RELAY_ANSWER + encoded)


@attrs.define(kw_only=True)
class _OpenCall:
    expected_count: int
    answers: list[RelayAnswer] = attrs.field(factory=list)
    done: anyio.Event = attrs.field(factory=anyio.Event)

    def add(self, answer: RelayAnswer) -> None:
        self.answers.append(answer)
        is_useful = answer.state is not RelayState.UNAVAILABLE
        is_useful = is_useful or bool(answer.relay_address)
        if is_useful or len(self.answers) >= self.expected_count:
            self.done.set()


_UNUSABLE = frozenset((RelayState.UNAVAILABLE, RelayState.FAILED))


def _answer_of(
    call: RelayCall,
    outcome: Committed | Conflicted,
) -> RelayAnswer:
    if isinstance(outcome, Conflicted):
        return RelayAnswer(
            call_id=call.call_id,
            state=RelayState.CONFLICTED,
            rows=outcome.rows,
        )
    return RelayAnswer(
        call_id=call.call_id,
        state=RelayState.COMMITTED,
        revision=outcome.revision,
        store_ms=outcome.store_ms,
    )

"""Draws tokens from the keepers of an account as requests arrive.

A VM with a high request rate also draws for the requests of the next second.
Keepers are asked one after another until one pays or reports that the account
cannot pay. A keeper that did not answer is asked last for some time.
"""

import itertools
from collections.abc import Callable, Iterator

import anyio
import attrs
import msgspec

from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_messages import (
    DRAW,
    Draw,
    DrawAnswer,
    DrawState,
)
from teaseldale.budgets._seen_ids import SeenIds
from teaseldale.budgets._waiting_requests import account_refusal
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers, VmEntry
from teaseldale.outcomes import Refusal, RefusalCode

_MS_PER_SECOND = 1000
# Timeout for the first answer. A keeper answers each datagram immediately, if
# only that it needs time. A round trip takes a few milliseconds, and longer if
# a link or VM is busy.
_ANSWER_TIMEOUT_MS = 100
# Timeout of a request that waits for a draw. A keeper that waits for the store
# gives up slightly earlier and reports the reason.
_DRAW_TIMEOUT_MS = 800
# Period during which an unresponsive keeper is asked last.
_SUSPICION_MS = 2000
# Expected requests in the next second from which spare tokens are drawn. The
# first request of a single caller already counts as one per second.
_BUSY_REQUESTS = 2
_MAX_CLOSED_DRAWS = 2000  # several seconds of late answers
_FINAL_CODES = frozenset(
    (RefusalCode.BUDGET_EXHAUSTED, RefusalCode.BUDGET_HELD),
)


@attrs.define(kw_only=True)
class _OpenDraw:
    shard: AccountShard
    answer: DrawAnswer | None = None
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    def update_answer(self, answer: DrawAnswer) -> None:
        self.answer = answer
        self.changed.set()
        self.changed = anyio.Event()

    async def wait(self, duration_ms: float) -> None:
        with anyio.move_on_after(duration_ms / _MS_PER_SECOND):
            await self.changed.wait()


class TokenDraws:
    """Requests tokens from keepers and accepts what they pay."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        keepers: AccountKeepers,
        store: StoreAccess,
    ) -> None:
        """Creates draws on behalf of this incarnation of the VM."""
        self._start = start
        self._keepers = keepers
        self._clock = store.clock
        self._metrics = store.metrics
        self._open_draws: dict[str, _OpenDraw] = {}
        self._closed_draws: dict[str, AccountShard] = {}  # ended, by draw id
        self._seen_ids = SeenIds(limit=_MAX_CLOSED_DRAWS)
        self._suspected_until_ms: dict[str, int] = {}  # by VM name
        # Set while drawn tokens may be held.
        self.has_drawn_tokens = anyio.Event()
        self._numbers: Iterator[int] = itertools.count()
        self._send: Callable[[str, bytes], None] | None = None
        self._log = StateLog(channel='draws')

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    async def draw(self, shard: AccountShard, tokens: int) -> Refusal | None:
        """Draws tokens from a keeper; returns a refusal if none pays."""
        started_ms = self._clock.monotonic_ms()
        unresponsive: list[str] = []
        answer = await self._ask_keepers(shard, tokens, unresponsive)
        if answer is not None and answer.state is DrawState.PAID:
            return None
        code = RefusalCode.BUDGET_UNAVAILABLE
        if answer is not None and answer.refusal:
            code = RefusalCode(answer.refusal)
        self._metrics.increment('draws_refused', code)
        self._log.changed(
            'draw_refused',
            account=shard.held.account,
            code=code,
            tokens=tokens,
            silent_keepers=unresponsive,
            duration_ms=self._clock.monotonic_ms() - started_ms,
        )
        return account_refusal(shard.held.account, code)

    async def _ask_keepers(
        self,
        shard: AccountShard,
        tokens: int,
        unresponsive: list[str],
    ) -> DrawAnswer | None:
        """Returns the first conclusive answer, or else the last one."""
        answer = None
        deadline_ms = self._clock.monotonic_ms() + _DRAW_TIMEOUT_MS
        for name, entry in self._by_responsiveness(
            shard.held.account, deadline_ms
        ):
            answer = await self._ask(shard, tokens, entry, deadline_ms)
            if answer is None:
                unresponsive.append(name)
                self._suspect(name)
            elif _is_final(answer):
                break
        return answer

    def handle_answer(self, content: bytes) -> None:
        """Handles a keeper's answer; raises ``msgspec.DecodeError``."""
        answer = msgspec.msgpack.decode(content, type=DrawAnswer)
        if answer.drawer != self._start.holder.text:
            self._metrics.increment('draw_answers_not_taken', 'other start')
            return
        draw = self._open_draws.get(answer.draw_id)
        shard = (
            self._closed_draws.get(answer.draw_id)
            if draw is None
            else draw.shard
        )
        if shard is None:
            self._metrics.increment('draw_answers_not_taken', 'unknown')
            return
        if answer.state is DrawState.PAID:
            self._credit_tokens(shard, answer)
        if draw is not None:
            draw.update_answer(answer)

    def _credit_tokens(self, shard: AccountShard, answer: DrawAnswer) -> None:
        if not self._seen_ids.add(answer.draw_id):
            return
        held = shard.held
        held.spent_tokens -= answer.tokens
        held.lender = answer.keeper
        held.lender_address = answer.keeper_address
        held.settled_ms = self._clock.monotonic_ms()
        self.has_drawn_tokens.set()
        self._metrics.increment('draws_paid')

    def _by_responsiveness(
        self,
        account: str,
        deadline_ms: int,
    ) -> Iterator[tuple[str, VmEntry]]:
        """Yields keepers until a deadline, recently unresponsive ones last."""
        now_ms = self._clock.monotonic_ms()
        keepers = sorted(
            self._keepers.keepers_of(account).items(),
            key=lambda keeper: (
                self._suspected_until_ms.get(keeper[0], 0) > now_ms
            ),
        )
        for keeper in keepers:
            if self._clock.monotonic_ms() < deadline_ms:
                yield keeper

    def _suspect(self, name: str) -> None:
        self._metrics.increment('keepers_silent')
        self._suspected_until_ms[name] = (
            self._clock.monotonic_ms() + _SUSPICION_MS
        )

    async def _ask(
        self,
        shard: AccountShard,
        tokens: int,
        keeper: VmEntry,
        deadline_ms: int,
    ) -> DrawAnswer | None:
        """Returns a keeper's last answer; None if there is none in time."""
        holder = self._start.holder.text
        draw_id = f'{holder}/{next(self._numbers)}'
        draw = _OpenDraw(shard=shard)
        message = DRAW + msgspec.msgpack.encode(
            Draw(
                draw_id=draw_id,
                account=shard.held.account,
                tokens=tokens,
                spare_tokens=_spare_tokens_wanted(shard, tokens),
                prepaid_tokens=shard.held.prepaid_tokens,
                drawer=holder,
                drawer_address=self._start.address,
            ),
        )
        self._open_draws[draw_id] = draw
        try:
            return await self._send_until_answered(
                draw,
                keeper,
                message,
                deadline_ms,
            )
        finally:
            self._open_draws.pop(draw_id)
            self._retain_closed(draw_id, shard)

    async def _send_until_answered(
        self,
        draw: _OpenDraw,
        keeper: VmEntry,
        message: bytes,
        deadline_ms: int,
    ) -> DrawAnswer | None:
        if self._send is not None:
            self._send(keeper.address, message)
            await draw.wait(_ANSWER_TIMEOUT_MS)
        while draw.answer is not None:
            remaining_ms = deadline_ms - self._clock.monotonic_ms()
            if draw.answer.state is not DrawState.PENDING or remaining_ms <= 0:
                break
            await draw.wait(remaining_ms)
        return draw.answer

    def _retain_closed(self, draw_id: str, shard: AccountShard) -> None:
        """Retains a closed draw, since its tokens may still arrive."""
        self._closed_draws[draw_id] = shard
        while len(self._closed_draws) > _MAX_CLOSED_DRAWS:
            self._closed_draws.pop(next(iter(self._closed_draws)))


def _is_final(answer: DrawAnswer) -> bool:
    """Whether other keepers cannot give a better answer."""
    return answer.state is DrawState.PAID or answer.refusal in _FINAL_CODES


def _spare_tokens_wanted(shard: AccountShard, tokens: int) -> int:
    """Returns the expected demand of the next second for a busy VM, else 0.

    A VM with fewer requests would return most of it.
    """
    expected_tokens = shard.held.demand.retained_tokens()
    is_busy = expected_tokens >= tokens * _BUSY_REQUESTS
    return expected_tokens if is_busy else 0

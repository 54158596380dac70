"""Keeper side of draws: reserves tokens on behalf of other VMs."""

from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets._account_rounds import VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_messages import (
    DRAW_ANSWER,
    Draw,
    DrawAnswer,
    DrawState,
)
from teaseldale.metrics import Metrics
from teaseldale.outcomes import RefusalCode

_MAX_CACHED_ANSWERS = 2000  # several seconds of draws, kept for duplicates
_MS_PER_SECOND = 1000
# Delay of a pending answer. Most draws are paid earlier, and the drawer waits
# at least twice as long for the first answer.
_PENDING_DELAY_MS = 50
# Fraction of the free tokens, as a divisor, up to which a draw gets tokens
# ahead of its requests from the store.
_SHARE = 2


class DrawAnswers:
    """Pays or refuses the draws of other VMs."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        find_shard: Callable[[str], AccountShard | None],
        metrics: Metrics,
    ) -> None:
        """Takes a function that looks up this VM's shard of an account."""
        self._start = start
        self._find_shard = find_shard
        self._metrics = metrics
        self._answers: dict[str, DrawAnswer] = {}
        self._tasks: TaskGroup | None = None
        self._send: Callable[[str, bytes], None] | None = None

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    def use_task_group(self, tasks: TaskGroup) -> None:
        """Sets the task group that runs pending draws."""
        self._tasks = tasks

    def handle_draw(self, content: bytes) -> None:
        """Answers a draw; raises ``msgspec.DecodeError``.

        A duplicate of a draw gets the same answer.
        """
        draw = msgspec.msgpack.decode(content, type=Draw)
        known = self._answers.get(draw.draw_id)
        if known is not None:
            self._send_answer(draw, known)
            return
        if not draw.tokens:
            # The draw with this id was lost; it is not paid if it comes late.
            self._answer(draw, state=DrawState.PAID)
            return
        shard = self._find_shard(draw.account)
        if shard is None or not self._may_pay(shard, draw):
            self._answer(draw, refusal=RefusalCode.BUDGET_UNAVAILABLE)
        elif self._tasks is not None:
            pending = self._build_answer(draw, state=DrawState.PENDING)
            self._keep(pending)
            self._tasks.start_soon(self._report_pending, draw, pending)
            self._tasks.start_soon(self._pay, shard, draw)

    async def _report_pending(self, draw: Draw, pending: DrawAnswer) -> None:
        """Reports that a draw has arrived if it is not answered soon."""
        await anyio.sleep(_PENDING_DELAY_MS / _MS_PER_SECOND)
        if self._answers.get(draw.draw_id) is pending:
            self._send_answer(draw, pending)

    def _may_pay(self, shard: AccountShard, draw: Draw) -> bool:
        return shard.is_keeper or shard.waiting.can_pay(draw.tokens)

    async def _pay(self, shard: AccountShard, draw: Draw) -> None:
        tokens = _desired_tokens(shard, draw)
        refusal = await shard.reserve(tokens, request_tokens=draw.tokens)
        if refusal is not None and shard.waiting.can_pay(draw.tokens):
            tokens = draw.tokens
            refusal = await shard.reserve(tokens)
        if refusal is None:
            # The tokens now belong to the drawer, which returns unused ones.
            shard.settle(tokens, tokens)
            more_tokens = _more_tokens(shard, draw, tokens)
            shard.held.spent_tokens += more_tokens
            shard.held.demand.add(more_tokens)
            self._metrics.increment('draws_answered', DrawState.PAID)
            self._answer(
                draw,
                state=DrawState.PAID,
                tokens=tokens + more_tokens,
            )
            return
        code = refusal.code
        is_older = shard.held.prepaid_tokens < draw.prepaid_tokens
        if code is RefusalCode.BUDGET_EXHAUSTED and is_older:
            # The drawer knows of a top-up that this VM has not yet received.
            code = RefusalCode.BUDGET_UNAVAILABLE
        self._metrics.increment('draws_answered', code)
        self._answer(draw, refusal=code)

    def _answer(
        self,
        draw: Draw,
        *,
        state: DrawState = DrawState.REFUSED,
        tokens: int = 0,
        refusal: str = '',
    ) -> None:
        answer = self._build_answer(
            draw, state=state, tokens=tokens, refusal=refusal
        )
        self._keep(answer)
        self._send_answer(draw, answer)

    def _build_answer(
        self,
        draw: Draw,
        *,
        state: DrawState,
        tokens: int = 0,
        refusal: str = '',
    ) -> DrawAnswer:
        return DrawAnswer(
            draw_id=draw.draw_id,
            account=draw.account,
            state=state,
            drawer=draw.drawer,
            keeper=self._start.holder.text,
            keeper_address=self._start.address,
            tokens=tokens,
            refusal=refusal,
            pays_waiting=True,
        )

    def _keep(self, answer: DrawAnswer) -> None:
        self._answers[answer.draw_id] = answer
        while len(self._answers) > _MAX_CACHED_ANSWERS:
            self._answers.pop(next(iter(self._answers)))

    def _send_answer(self, draw: Draw, answer: DrawAnswer) -> None:
        if self._send is not None:
            encoded = msgspec.msgpack.encode(answer)
            self._send(draw.drawer_address, DRAW_ANSWER + encoded)


def _desired_tokens(shard: AccountShard, draw: Draw) -> int:
    """Returns the tokens for which a draw waits, at least ``draw.tokens``.

    A keeper extends its grant for the requests that wait at the drawer, and
    for its expected requests up to a share of what this VM can obtain. If that
    does not cover the waiting requests, it pays as many of them as it can.
    """
    held = shard.held
    if shard.is_store_lost or not shard.is_keeper:
        return draw.tokens
    obtainable = held.available_tokens + held.free_tokens - held.waiting_tokens
    waiting_tokens = draw.tokens + draw.waiting_tokens
    if waiting_tokens > obtainable:
        return max(draw.tokens, obtainable)
    ahead_tokens = draw.spare_tokens - draw.waiting_tokens
    return waiting_tokens + max(
        0, min(ahead_tokens, (obtainable - waiting_tokens) // _SHARE)
    )


def _more_tokens(shard: AccountShard, draw: Draw, paid_tokens: int) -> int:
    """Returns what to pay beyond the tokens that the draw waited for.

    Tokens that requests wait for come before this VM's own expected demand.
    """
    left_tokens = draw.tokens + draw.spare_tokens - paid_tokens
    waiting_tokens = draw.tokens + draw.waiting_tokens - paid_tokens
    waiting_tokens = min(waiting_tokens, shard.waiting.payable_tokens)
    return max(0, min(left_tokens, max(waiting_tokens, shard.spare_tokens)))

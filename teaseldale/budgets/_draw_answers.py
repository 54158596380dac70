"""Keeper side of draws: reserves tokens on behalf of other VMs."""

from collections.abc import Callable

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
        shard = self._find_shard(draw.account)
        if shard is None or not self._may_pay(shard, draw):
            self._answer(draw, refusal=RefusalCode.BUDGET_UNAVAILABLE)
        elif self._tasks is not None:
            if shard.held.waiting or not shard.waiting.can_pay(draw.tokens):
                self._answer(draw, state=DrawState.PENDING)
            self._tasks.start_soon(self._pay, shard, draw)

    def _may_pay(self, shard: AccountShard, draw: Draw) -> bool:
        return shard.is_keeper or shard.waiting.can_pay(draw.tokens)

    async def _pay(self, shard: AccountShard, draw: Draw) -> None:
        refusal = await shard.reserve(draw.tokens)
        if refusal is None:
            # The tokens now belong to the drawer, which returns unused ones.
            shard.settle(draw.tokens, draw.tokens)
            more_tokens = max(0, min(draw.spare_tokens, shard.spare_tokens))
            shard.held.spent_tokens += more_tokens
            shard.held.demand.add(more_tokens)
            self._metrics.increment('draws_answered', DrawState.PAID)
            self._answer(
                draw,
                state=DrawState.PAID,
                tokens=draw.tokens + more_tokens,
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
        answer = DrawAnswer(
            draw_id=draw.draw_id,
            account=draw.account,
            state=state,
            drawer=draw.drawer,
            keeper=self._start.holder.text,
            keeper_address=self._start.address,
            tokens=tokens,
            refusal=refusal,
        )
        self._answers[draw.draw_id] = answer
        while len(self._answers) > _MAX_CACHED_ANSWERS:
            self._answers.pop(next(iter(self._answers)))
        self._send_answer(draw, answer)

    def _send_answer(self, draw: Draw, answer: DrawAnswer) -> None:
        if self._send is not None:
            encoded = msgspec.msgpack.encode(answer)
            self._send(draw.drawer_address, DRAW_ANSWER + encoded)

"""Draws tokens from the keepers of an account as requests arrive.

One draw at a time serves all waiting requests of an account and, if the VM is
busy with the account, those of the next second or so. Keepers are asked one
after another until one pays or reports that the account is exhausted; a late
answer counts as well. A keeper that did not answer is asked last for some time.
"""

import anyio
from anyio.abc import TaskGroup

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_bytes import DrawBytes
from teaseldale.budgets._draw_exchanges import (
    DrawExchange,
    DrawExchanges,
    OpenDraw,
)
from teaseldale.budgets._draw_queue import DrawQueue, DrawSize, DrawWaiter
from teaseldale.budgets._responsive_keepers import ResponsiveKeepers
from teaseldale.budgets._waiting_requests import account_refusal
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers, VmEntry
from teaseldale.outcomes import Refusal, RefusalCode

_MS_PER_SECOND = 1000
# Timeout of a request that waits for a draw. A keeper that waits for the store
# gives up slightly earlier and reports the reason.
_DRAW_TIMEOUT_MS = 800
# Delay of the next draw ahead after one that was not paid.
_AHEAD_RETRY_MS = 500


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
        self._keepers = ResponsiveKeepers(
            keepers=keepers,
            clock=store.clock,
            metrics=store.metrics,
        )
        self.exchanges = DrawExchanges(
            start=start,
            keepers=self._keepers,
            store=store,
        )
        self._clock = store.clock
        self._metrics = store.metrics
        self._queues: dict[str, DrawQueue] = {}  # by account
        self._tasks: TaskGroup | None = None
        self._log = StateLog(channel='draws')

    def use_task_group(self, tasks: TaskGroup) -> None:
        """Sets the task group that runs draws."""
        self._tasks = tasks

    async def reserve(self, shard: AccountShard, tokens: int) -> Refusal | None:
        """Reserves tokens of an account that this VM does not keep."""
        queue = self._queue(shard)
        queue.latest_tokens = tokens
        queue.demand.record_request(tokens)
        if queue.can_pay(tokens):
            refusal = await shard.reserve(tokens)
            self._draw_if_needed(queue)
            return refusal
        waiter = queue.add(tokens)
        self._draw_if_needed(queue)
        try:
            with anyio.move_on_after(_DRAW_TIMEOUT_MS / _MS_PER_SECOND):
                await waiter.answered.wait()
        except BaseException:
            queue.cancel(waiter)
            raise
        if waiter.is_reserved:
            return None
        if waiter.answered.is_set() and waiter.code is None:
            return await shard.reserve(tokens)
        return self._refuse(queue, waiter)

    def serve(self, account: str) -> None:
        """Serves waiting requests from tokens that a request released."""
        queue = self._queues.get(account)
        if queue is not None:
            queue.serve()

    def _queue(self, shard: AccountShard) -> DrawQueue:
        account = shard.held.account
        queue = self._queues.get(account)
        if queue is None:
            queue = DrawQueue(
                shard=shard,
                draw_bytes=DrawBytes(clock=self._clock),
                demand=AccountDemand(clock=self._clock),
            )
            self._queues[account] = queue
        return queue

    def _size(self, queue: DrawQueue) -> DrawSize | None:
        now_ms = self._clock.monotonic_ms()
        return queue.size(now_ms, self._keepers.round_trips.timeout_ms)

    def _draw_if_needed(self, queue: DrawQueue) -> None:
        if queue.is_drawing or self._tasks is None:
            return
        if self._size(queue) is not None:
            queue.is_drawing = True
            self._tasks.start_soon(self._draw_while_needed, queue)

    async def _draw_while_needed(self, queue: DrawQueue) -> None:
        try:
            while not queue.shard.is_keeper:
                wait_ms = queue.draw_bytes.wait_ms()
                if wait_ms > 0:
                    await self._clock.sleep_ms(wait_ms)
                size = self._size(queue)
                if size is None:
                    return
                await self._draw(queue, size)
            queue.release()
        finally:
            queue.is_drawing = False

    async def _draw(self, queue: DrawQueue, size: DrawSize) -> None:
        """Draws once, and refuses requests that no keeper pays."""
        started_ms = self._clock.monotonic_ms()
        draw = OpenDraw(
            queue=queue,
            size=size,
            deadline_ms=started_ms + _DRAW_TIMEOUT_MS,
        )
        try:
            await self._ask_keepers(draw)
        finally:
            self.exchanges.close(draw)
        if draw.is_paid:
            return
        code = draw.refusal_code
        now_ms = self._clock.monotonic_ms()
        if draw.is_settled:
            queue.no_ahead_until_ms = now_ms + _AHEAD_RETRY_MS
        self._log.changed(
            'draw_refused',
            account=queue.shard.held.account,
            code=code,
            tokens=draw.size.tokens,
            silent_keepers=[
                exchange.keeper_name
                for exchange in draw.exchanges
                if exchange.answer is None
            ],
            duration_ms=now_ms - started_ms,
        )
        is_open = draw.has_asked_for_sum or not draw.is_settled
        if is_open and code is RefusalCode.BUDGET_UNAVAILABLE:
            # Requests that arrived during the draw have time for another.
            return
        queue.refuse(draw.size.tokens, code)

    async def _ask_keepers(self, draw: OpenDraw) -> None:
        """Asks keepers until one pays or the account is exhausted."""
        account = draw.queue.shard.held.account
        for name, entry in self._keepers.in_order(account):
            await self._wait_for_bytes(draw)
            if self._is_over(draw):
                return
            # Includes requests that have arrived since the first exchange.
            draw.size = self._size(draw.queue) or draw.size
            await self._ask(draw, name, entry)
        while not (self._is_over(draw) or draw.is_settled):
            await self._wait_for_change(draw, draw.deadline_ms)

    async def _ask(self, draw: OpenDraw, name: str, keeper: VmEntry) -> None:
        """Asks one keeper, again after a loss if it has answered recently."""
        exchange = self.exchanges.begin(draw, name, keeper)
        await self._wait_for_answer(draw, exchange)
        if exchange.answer is None and self._keepers.is_known(name):
            if self._is_over(draw):
                return
            self.exchanges.send_again(exchange)
            await self._wait_for_answer(draw, exchange)
        if exchange.answer is None and not draw.is_decided:
            self._keepers.suspect(name)

    def _is_over(self, draw: OpenDraw) -> bool:
        now_ms = self._clock.monotonic_ms()
        return draw.is_decided or now_ms >= draw.deadline_ms

    async def _wait_for_bytes(self, draw: OpenDraw) -> None:
        """Waits until another keeper may be asked, or one has paid."""
        while draw.exchanges and not self._is_over(draw):
            wait_ms = draw.queue.draw_bytes.wait_ms()
            if wait_ms <= 0:
                return
            until_ms = self._clock.monotonic_ms() + wait_ms
            await self._wait_for_change(draw, until_ms)

    async def _wait_for_answer(
        self,
        draw: OpenDraw,
        exchange: DrawExchange,
    ) -> None:
        """Waits until a keeper has paid or refused, or does not answer.

        A keeper that answers that it needs time has it until the deadline.
        """
        now_ms = self._clock.monotonic_ms()
        answer_ms = now_ms + self._keepers.round_trips.timeout_ms
        while not (exchange.is_settled or self._is_over(draw)):
            until_ms = answer_ms
            if exchange.answer is not None:
                until_ms = draw.deadline_ms
            if self._clock.monotonic_ms() >= until_ms:
                return
            await self._wait_for_change(draw, until_ms)

    async def _wait_for_change(self, draw: OpenDraw, until_ms: int) -> None:
        until_ms = min(until_ms, draw.deadline_ms)
        left_ms = max(0, until_ms - self._clock.monotonic_ms())
        with anyio.move_on_after(left_ms / _MS_PER_SECOND):
            await draw.changed.wait()

    def _refuse(self, queue: DrawQueue, waiter: DrawWaiter) -> Refusal:
        queue.cancel(waiter)
        code = waiter.code or RefusalCode.BUDGET_UNAVAILABLE
        self._metrics.increment('draws_refused', code)
        return account_refusal(queue.shard.held.account, code)

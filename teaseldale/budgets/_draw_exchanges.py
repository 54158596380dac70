"""Draws as sent to single keepers, and the answers to them.

An answer is accepted until the exchange is forgotten, also after the draw has
been paid by another keeper, and its tokens are credited once.
"""

import itertools
from collections.abc import Callable, Iterator

import anyio
import attrs
import msgspec

from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._draw_messages import (
    DRAW,
    Draw,
    DrawAnswer,
    DrawState,
)
from teaseldale.budgets._draw_queue import DrawQueue, DrawSize
from teaseldale.budgets._responsive_keepers import ResponsiveKeepers
from teaseldale.members import VmEntry
from teaseldale.outcomes import RefusalCode

# Closed exchanges with keepers, of several seconds, whose answers may be late.
_MAX_CLOSED_EXCHANGES = 2000
# Expected size of an answer, counted when its draw is sent.
_ANSWER_BYTES = 230
# Interval between requests for an outcome that is not known; it doubles.
_RESOLVE_INTERVAL_MS = 300
# A keeper that does not answer for this long has ended or is partitioned.
_RESOLVE_TIMEOUT_MS = 10_000


@attrs.define(kw_only=True, eq=False)
class DrawExchange:
    """A draw that was sent to one keeper."""

    draw: Draw
    keeper_name: str
    address: str
    queue: DrawQueue
    sent_ms: int
    next_ms: int = 0  # time of the next request for the outcome
    interval_ms: int = _RESOLVE_INTERVAL_MS
    is_repeated: bool = False  # its round trip is ambiguous
    # Asks for the sum of all waiting requests, so that its refusal does not
    # mean that the keeper cannot pay the smallest one.
    is_sum: bool = False
    answer: DrawAnswer | None = None
    # Set with the credit: further answers do not count.
    is_credited: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether the keeper will not answer differently any more."""
        if self.answer is None:
            return False
        return self.answer.state is not DrawState.PENDING


@attrs.define(kw_only=True, eq=False)
class OpenDraw:
    """A draw with the exchanges that it has begun."""

    queue: DrawQueue
    size: DrawSize
    deadline_ms: int
    exchanges: list[DrawExchange] = attrs.field(factory=list)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def is_paid(self) -> bool:
        """Whether a keeper has paid."""
        return any(
            exchange.answer is not None
            and exchange.answer.state is DrawState.PAID
            for exchange in self.exchanges
        )

    @property
    def is_decided(self) -> bool:
        """Whether other keepers cannot give a better answer."""
        return self.is_paid or RefusalCode.BUDGET_EXHAUSTED in self.codes

    @property
    def is_settled(self) -> bool:
        """Whether each keeper that was asked has paid or refused."""
        return all(exchange.is_settled for exchange in self.exchanges)

    @property
    def codes(self) -> list[str]:
        """Reasons of the keepers that refused."""
        return [
            exchange.answer.refusal
            for exchange in self.exchanges
            if exchange.answer is not None
            and exchange.answer.refusal
            and not exchange.is_sum
        ]

    @property
    def has_asked_for_sum(self) -> bool:
        """Whether a keeper may still pay the smallest waiting request."""
        return any(exchange.is_sum for exchange in self.exchanges)

    @property
    def refusal_code(self) -> RefusalCode:
        """The most informative of the reasons."""
        for code in (RefusalCode.BUDGET_EXHAUSTED, RefusalCode.BUDGET_HELD):
            if code in self.codes:
                return code
        return RefusalCode.BUDGET_UNAVAILABLE

    def notify(self) -> None:
        """Wakes the draw after an answer."""
        self.changed.set()
        self.changed = anyio.Event()


class DrawExchanges:
    """Sends draws to keepers and credits what they pay."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        keepers: ResponsiveKeepers,
        store: StoreAccess,
    ) -> None:
        """Sends on behalf of this incarnation of the VM."""
        self._start = start
        self._keepers = keepers
        self._clock = store.clock
        self._metrics = store.metrics
        self._open_draws: dict[str, OpenDraw] = {}  # by draw id
        self._exchanges: dict[str, DrawExchange] = {}  # by draw id
        self._unresolved: dict[str, DrawExchange] = {}  # of closed draws
        # Set while drawn tokens may be held.
        self.has_drawn_tokens = anyio.Event()
        self._numbers: Iterator[int] = itertools.count()
        self._send: Callable[[str, bytes], None] | None = None

    @property
    def is_resolved(self) -> bool:
        """Whether the outcome of each closed draw is known or given up."""
        return not self._unresolved

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    def handle_answer(self, content: bytes) -> None:
        """Handles a keeper's answer; raises ``msgspec.DecodeError``."""
        answer = msgspec.msgpack.decode(content, type=DrawAnswer)
        if answer.drawer != self._start.holder.text:
            self._metrics.increment('draw_answers_not_taken', 'other start')
            return
        exchange = self._exchanges.get(answer.draw_id)
        if exchange is None:
            self._metrics.increment('draw_answers_not_taken', 'unknown')
            return
        self._keepers.record_answer(
            exchange.keeper_name, pays_waiting=answer.pays_waiting
        )
        if exchange.answer is None:
            self._record_round_trip(exchange)
        else:
            exchange.queue.draw_bytes.count(len(content))
        if not exchange.is_settled:
            self._apply(exchange, answer)

    def resolve_due(self) -> None:
        """Asks again for outcomes that are due and not known.

        Without this, the tokens of a lost answer would be lost. The request
        is a draw of nothing with the same id: a keeper that has paid repeats
        its answer, and one that has not received the draw will not pay it.
        """
        now_ms = self._clock.monotonic_ms()
        for draw_id, exchange in tuple(self._unresolved.items()):
            is_old = now_ms - exchange.sent_ms > _RESOLVE_TIMEOUT_MS
            if exchange.is_settled or is_old:
                self._unresolved.pop(draw_id)
                if not exchange.is_settled:
                    self._metrics.increment('draws_unresolved')
            elif now_ms >= exchange.next_ms:
                self._ask_again(exchange, now_ms)

    def begin(self, draw: OpenDraw, name: str, keeper: VmEntry) -> DrawExchange:
        """Sends a draw to a keeper."""
        holder = self._start.holder.text
        held = draw.queue.shard.held
        size = draw.size
        tokens = size.tokens
        is_sum = (
            size.waiting_tokens > 0
            and self._keepers.must_be_asked_for_sum(held.account, name)
        )
        if is_sum:
            tokens += size.waiting_tokens
        exchange = DrawExchange(
            draw=Draw(
                draw_id=f'{holder}/{next(self._numbers)}',
                account=held.account,
                tokens=tokens,
                spare_tokens=size.total_tokens - tokens,
                prepaid_tokens=held.prepaid_tokens,
                drawer=holder,
                drawer_address=self._start.address,
                waiting_tokens=0 if is_sum else size.waiting_tokens,
            ),
            is_sum=is_sum,
            keeper_name=name,
            address=keeper.address,
            queue=draw.queue,
            sent_ms=self._clock.monotonic_ms(),
        )
        draw.exchanges.append(exchange)
        self._exchanges[exchange.draw.draw_id] = exchange
        self._open_draws[exchange.draw.draw_id] = draw
        self._send_draw(exchange, exchange.draw)
        return exchange

    def _send_draw(self, exchange: DrawExchange, draw: Draw) -> None:
        if self._send is None:
            return
        message = DRAW + msgspec.msgpack.encode(draw)
        exchange.queue.draw_bytes.count(len(message) + _ANSWER_BYTES)
        self._send(exchange.address, message)

    def send_again(self, exchange: DrawExchange) -> None:
        """Repeats a draw; the keeper pays it once."""
        exchange.is_repeated = True
        self._send_draw(exchange, exchange.draw)

    def _ask_again(self, exchange: DrawExchange, now_ms: int) -> None:
        if exchange.queue.draw_bytes.wait_ms() > 0:
            return
        exchange.is_repeated = True
        exchange.next_ms = now_ms + exchange.interval_ms
        exchange.interval_ms *= 2
        self._send_draw(
            exchange,
            attrs.evolve(
                exchange.draw, tokens=0, spare_tokens=0, waiting_tokens=0
            ),
        )

    def _record_round_trip(self, exchange: DrawExchange) -> None:
        if not exchange.is_repeated:
            now_ms = self._clock.monotonic_ms()
            self._keepers.round_trips.add(now_ms - exchange.sent_ms)

    def _apply(self, exchange: DrawExchange, answer: DrawAnswer) -> None:
        exchange.answer = answer
        if answer.state is DrawState.PAID:
            self._credit(exchange, answer)
        elif answer.state is DrawState.REFUSED and exchange.is_sum:
            self._keepers.record_refused_sum(
                answer.account, exchange.keeper_name
            )
        draw = self._open_draws.get(answer.draw_id)
        if draw is not None:
            draw.notify()

    def _credit(self, exchange: DrawExchange, answer: DrawAnswer) -> None:
        if exchange.is_credited:
            return
        exchange.is_credited = True
        if not answer.tokens:
            return
        draw = exchange.draw
        if answer.tokens < draw.tokens + draw.spare_tokens:
            self._keepers.record_shortage(draw.account, exchange.keeper_name)
        held = exchange.queue.shard.held
        held.spent_tokens -= answer.tokens
        held.lender = answer.keeper
        held.lender_address = answer.keeper_address
        held.settled_ms = self._clock.monotonic_ms()
        self.has_drawn_tokens.set()
        self._metrics.increment('draws_paid')
        exchange.queue.serve()

    def close(self, draw: OpenDraw) -> None:
        """Retains exchanges, since their tokens may still arrive."""
        now_ms = self._clock.monotonic_ms()
        for exchange in draw.exchanges:
            draw_id = exchange.draw.draw_id
            self._open_draws.pop(draw_id)
            if not exchange.is_settled:
                exchange.next_ms = now_ms + _RESOLVE_INTERVAL_MS
                self._unresolved[draw_id] = exchange
                self.has_drawn_tokens.set()
        while len(self._exchanges) > _MAX_CLOSED_EXCHANGES:
            self._exchanges.pop(next(iter(self._exchanges)))

"""Connection that bounds what its client occupies."""

import abc
import asyncio
from collections import deque
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.web._client_connections import (
    BaseClientConnection,
    ClientConnections,
    EvictionClass,
    EvictionRank,
    unlimited_clients,
)
from teaseldale.web._connection_buffer import ConnectionBuffer
from teaseldale.web._head_limits import HeadLimits
from teaseldale.web._intake import RequestIntake
from teaseldale.web._parse_refusals import too_slow

_MS_PER_SECOND = 1000
# Memory of a connection with its parser and buffers.
_CONNECTION_BYTES = 8192


class ClientProtocol(HttpToolsProtocol, BaseClientConnection):
    """Holds bytes of the budget for its requests and may be evicted."""

    def __init__(
        self,
        *arguments: Any,
        clients: ClientConnections | None = None,
        **options: Any,
    ) -> None:
        """Creates a protocol; ``clients`` is None if they are trusted."""
        super().__init__(*arguments, **options)
        self._limits = HeadLimits()
        self._is_in_head = False
        self._refusal: Refusal | None = None
        self._send_buffer = ConnectionBuffer(protocol=self)
        self._clients = clients or unlimited_clients(Metrics())
        self._holding = self._clients.budget.hold()
        # Held for each request that has not been answered.
        self._request_bytes: deque[int] = deque()
        self._intakes: deque[RequestIntake] = deque()
        self._active: Any = None  # the request that is being served
        self._since_ms = self._now_ms()  # when it was opened or became idle
        self._paused_ms = self._since_ms  # when the client stopped to read
        self._discard_timer: asyncio.TimerHandle | None = None
        self._answer_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        self._holding.resize(_CONNECTION_BYTES)
        self._clients.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all timers; nothing is sent any more."""
        self._unset_keepalive_if_required()
        _cancel(self._discard_timer)
        _cancel(self._answer_timer)
        super().connection_lost(exc)
        self.pipeline.clear()
        if self._active is not None and not self._active.response_complete:
            # The server itself informs only the last request received.
            self._active.disconnected = True
            self._active.message_event.set()
        for intake in self._intakes:
            intake.release()
        self._intakes.clear()
        self._holding.release()
        self._clients.discard(self)
        self._send_buffer.note_sent()

    def pause_writing(self) -> None:
        """Lets writers wait, and cuts the client off if it never reads."""
        super().pause_writing()
        self._paused_ms = self._now_ms()
        self._watch_answer(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Lets writers go on."""
        super().resume_writing()
        _cancel(self._answer_timer)
        self._answer_timer = None
        self._send_buffer.note_sent()

    def eviction_rank(self, now_ms: float) -> EvictionRank | None:
        """Returns its rank, or None while a runner may work for it."""
        kind = self._eviction_class(now_ms)
        if kind is None:
            return None
        since_ms = self._since_ms
        if kind is EvictionClass.ANSWER_STALLED:
            since_ms = self._paused_ms
        if kind is EvictionClass.BODY_STALLED:
            since_ms = self._intakes[0].started_ms
        return EvictionRank(kind=kind, since_ms=since_ms)

    def evict(self, kind: EvictionClass, *, at_once: bool) -> None:
        """Closes the connection, ``at_once`` or after a refusal."""
        for intake in self._intakes:
            intake.give_up()
        if at_once or kind is not EvictionClass.BODY_STALLED:
            self.transport.abort()
            return
        self._refuse(too_slow())
        self.cycle.disconnected = True
        self.cycle.message_event.set()

    def _eviction_class(self, now_ms: float) -> EvictionClass | None:
        if self._refusal is not None:
            return EvictionClass.REFUSED
        if self._has_stalled_answer(now_ms):
            return EvictionClass.ANSWER_STALLED
        if self._active is None:
            return EvictionClass.NO_REQUEST
        if not self._active.response_complete:
            return self._class_of_request(now_ms)
        if self.cycle.more_body:
            return EvictionClass.REFUSED
        return None if self.flow.write_paused else EvictionClass.IDLE

    def _class_of_request(self, now_ms: float) -> EvictionClass | None:
        is_receiving = (
            self.cycle is self._active
            and self.cycle.more_body
            and not self.cycle.response_started
            and not self.flow.read_paused
        )
        if is_receiving and self._intakes[0].is_stalled(now_ms):
            return EvictionClass.BODY_STALLED
        return None

    def _has_stalled_answer(self, now_ms: float) -> bool:
        if not self.flow.write_paused or self._active is None:
            return False
        # The runner of a request whose answer has not ended may still work.
        is_over = (
            self._clients.limits.runs_outlast_clients
            or self._active.response_complete
            or bool(self.pipeline)
        )
        stalled_ms = now_ms - self._paused_ms
        return is_over and stalled_ms >= self._clients.limits.stall_ms

    def _watch_answer(self, unsent_bytes: int) -> None:
        self._answer_timer = self.loop.call_later(
            self._clients.limits.answer_stall_ms / _MS_PER_SECOND,
            self._check_answer,
            unsent_bytes,
        )

    def _check_answer(self, unsent_bytes: int) -> None:
        left_bytes = self.transport.get_write_buffer_size()
        if left_bytes < unsent_bytes:
            self._paused_ms = self._now_ms()
            self._watch_answer(left_bytes)
            return
        self._clients.note_cut(self)
        self.transport.abort()

    def on_message_complete(self) -> None:
        """Ends the request; its connection may be used again."""
        _cancel(self._discard_timer)
        self._discard_timer = None
        if self.cycle.response_complete:
            self.cycle.more_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Frees what was held for the request and starts the next one."""
        self._holding.resize(
            self._holding.size_bytes - self._request_bytes.popleft(),
        )
        self._intakes.popleft().release()
        self._since_ms = self._now_ms()
        finished = self._active
        finished.body = bytearray()
        finished.scope = {}
        if finished is self.cycle and not self._is_in_head:
            self.headers = []
            self.scope = {}  # type: ignore[typeddict-item]
        super().on_response_complete()
        if finished is self.cycle and finished.more_body:
            self._discard_timer = self.loop.call_later(
                self._limits.idle_timeout_ms / _MS_PER_SECOND,
                self.transport.abort,
            )

    @abc.abstractmethod
    def _refuse(self, refusal: Refusal) -> None:
        """Sends a refusal and closes the connection."""

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        self._active = cycle
        super()._start_asgi_task(cycle, app)

    def _is_serving_request(self) -> bool:
        active = self._active
        if active is None or active.response_complete:
            return False
        if active is not self.cycle:
            return True
        return active.response_started or not active.more_body

    def _stop_request(self) -> None:
        """Ends a request whose body is not received any further."""
        if self._active is not None and not self._active.response_complete:
            self._active.disconnected = True
            self._active.body = bytearray()
            self._active.message_event.set()
        for intake in self._intakes:
            intake.release()

    def _make_intake(self) -> RequestIntake:
        return RequestIntake(
            budget=self._clients.budget,
            limits=self._clients.limits,
            now_ms=self._now_ms(),
        )

    def _now_ms(self) -> float:
        return self.loop.time() * _MS_PER_SECOND


def _cancel(timer: asyncio.TimerHandle | None) -> None:
    if timer is not None:
        timer.cancel()

"""Service that serves callers and the load balancer's health checks."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from teaseldale.budgets import AccountReservation
from teaseldale.forwarding._admission import (
    AdmittedRequest,
    RequestAdmission,
)
from teaseldale.forwarding._caller_answer import CallerAnswer, CutReason
from teaseldale.forwarding._capacity_refusals import (
    link_full,
    memory_full,
)
from teaseldale.forwarding._configuration import EntryLimits
from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.forwarding._node import NodeSettings
from teaseldale.forwarding._refusals import (
    bad_request,
    body_too_large,
    body_too_slow,
    draining,
    internal_error,
    process_ended,
    timed_out,
)
from teaseldale.forwarding._request_log import RequestLog
from teaseldale.forwarding._request_run import RequestRun
from teaseldale.forwarding._wire import ClientRequest
from teaseldale.kernel import BaseService
from teaseldale.memory import Holding
from teaseldale.outcomes import Refusal
from teaseldale.routing import CapacityRequest
from teaseldale.web import (
    BodyTooLargeError,
    ClientConnections,
    EmbeddedServer,
    Exchange,
    HeadLimits,
    NoRoomError,
    reserved_clients,
)

_MS_PER_SECOND = 1000
# The load balancer checks once per second and removes a VM after two failures.
_BALANCER_DETECTION_MS = 2500
# A VM that has not heard from the store for this long gets no new callers: its
# configuration is old, and what its marks allow it to spend ends. If most VMs
# are cut off, the balancer uses them all.
_STORE_SILENCE_MS = 10_000
# Part of the grace period reserved for returning grants and exiting.
_EXIT_RESERVE_MS = 700
# Before that, requests without an answer get one.
_LAST_ANSWERS_MS = 200
_DRAIN_POLL_MS = 20
_EXPIRY_CHECK_MS = 200  # interval of closing idle runner connections
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503


def _no_age() -> int:
    return 0


def _no_tunnels() -> int:
    return 0


class ForwardingEntry(BaseService):
    """Accepts, admits and serves requests of all routes."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        parts: ForwardingDependencies,
        request_log: RequestLog,
        count_tunnels: Callable[[], int] = _no_tunnels,
        store_age_ms: Callable[[], int] = _no_age,
    ) -> None:
        """Listens on the addresses of ``settings`` after ``start``.

        ``count_tunnels`` returns the number of requests that this VM relays for
        other VMs; they may end within the grace period as well.
        ``store_age_ms`` returns the time since the store last answered.
        """
        self._count_tunnels = count_tunnels
        self._store_age_ms = store_age_ms
        self._settings = settings
        self._parts = parts
        self._admission = RequestAdmission(parts=parts)
        self._request_log = request_log
        self._is_draining = False
        self._is_closed = False  # whether new requests are refused
        self._running_count = 0
        self._request_scopes: set[anyio.CancelScope] = set()
        self._callers = EmbeddedServer(
            address=str(settings.callers_address),
            respond=self._respond,
            metrics=parts.metrics,
            peer='caller',
            limits=self._head_limits,
            clients=ClientConnections(
                name='callers',
                limits=settings.client_limits,
                budget=parts.held_bytes,
                metrics=parts.metrics,
            ),
        )
        # The balancer's checks are answered from a reserve of their own.
        self._readiness = EmbeddedServer(
            address=str(settings.readiness_address),
            respond=self._respond_ready,
            metrics=parts.metrics,
            limits=self._head_limits,
            clients=reserved_clients(
                name='readiness',
                limits=settings.client_limits,
                metrics=parts.metrics,
            ),
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'forwarding_entry'

    @property
    def is_ready(self) -> bool:
        """Returns whether the load balancer may send new connections."""
        parts = self._parts
        knows_fleet = (
            parts.configuration.current is not None
            and parts.directory.is_known
            and parts.grants.is_known
        )
        is_cut_off = self._store_age_ms() >= _STORE_SILENCE_MS
        return (
            knows_fleet
            and parts.capacity.is_ready
            and not (self._is_draining or is_cut_off)
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Opens the readiness and the callers' listening sockets."""
        await self._readiness.start(tasks)
        await self._callers.start(tasks)
        tasks.start_soon(self._close_idle_connections)

    async def drain(self) -> None:
        """Serves until the load balancer has removed this VM, then stops.

        Open requests may finish within the grace period. The rest are told
        whether they may have run, or cancelled if their answer has begun.
        """
        self._is_draining = True
        started_ms = self._parts.clock.monotonic_ms()
        deadline_at_ms = started_ms + self._settings.grace_ms - _EXIT_RESERVE_MS
        process_end = self._parts.process_end
        process_end.announce(deadline_at_ms - _LAST_ANSWERS_MS)
        await self._parts.clock.sleep_ms(_BALANCER_DETECTION_MS)
        # The balancer now sends requests here only if it has no other VM. New
        # requests are refused, as the end of the process could cut them.
        self._is_closed = True
        self._parts.grants.retire()
        while self._running_count or self._count_tunnels():
            now_ms = self._parts.clock.monotonic_ms()
            process_end.reach_if_due(now_ms)
            if now_ms >= deadline_at_ms:
                break
            await self._parts.clock.sleep_ms(_DRAIN_POLL_MS)
        self._parts.log.changed('drained', left_count=self._running_count)
        while self._request_scopes:
            self._request_scopes.pop().cancel()

    async def _respond_ready(self, exchange: Exchange) -> None:
        status = _STATUS_OK if self.is_ready else _STATUS_UNAVAILABLE
        await exchange.answer(status, b'', ())

    async def _close_idle_connections(self) -> None:
        while True:
            await self._parts.clock.sleep_ms(_EXPIRY_CHECK_MS)
            self._parts.connections.close_expired()

    async def _respond(self, exchange: Exchange) -> None:
        now_ms = self._parts.clock.monotonic_ms()
        arrival_ms = now_ms - exchange.waited_ms
        answer = CallerAnswer(
            exchange=exchange,
            wire=self._parts.wire,
            held_bytes=self._parts.held_bytes,
            closes_connection=(
                self._is_draining or self._parts.capacity.closes_connection
            ),
        )
        try:
            request = self._parts.wire.read_request(
                method=exchange.method,
                target=exchange.target,
                headers=exchange.headers(),
            )
        except ValueError as error:
            await self._refuse(answer, None, bad_request(str(error)))
            return
        if self._is_closed:
            await self._refuse(answer, request, draining())
            return
        if self._parts.held_bytes.is_exhausted:
            await self._refuse(answer, request, memory_full())
            return
        admitted = self._admission.admit(request, arrival_ms)
        if isinstance(admitted, Refusal):
            await self._refuse(answer, request, admitted)
            return
        refusal = self._find_capacity_refusal(exchange, admitted)
        if refusal is not None:
            self._request_log.log_refusal(request, refusal)
            await answer.refuse_unread(refusal, request)
            return
        self._running_count += 1
        try:
            with self._parts.held_bytes.hold() as holding:
                await self._serve(exchange, admitted, answer, holding)
        finally:
            self._running_count -= 1

    def _find_capacity_refusal(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
    ) -> Refusal | None:
        """Returns a refusal if the link has no capacity for the request."""
        refused = self._parts.capacity.decide(
            CapacityRequest(
                body_bytes=exchange.declared_bytes,
                priority=admitted.priority,
                left_ms=admitted.left_ms(self._parts.clock),
            ),
        )
        return None if refused is None else link_full(refused.retry_after_ms)

    async def _serve(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        answer: CallerAnswer,
        holding: Holding,
    ) -> None:
        body = await self._read_body(exchange, admitted, holding)
        if isinstance(body, Refusal):
            await self._refuse(answer, admitted.request, body)
            return
        run = RequestRun(
            parts=self._parts,
            admitted=admitted,
            body=body,
            answer=answer,
        )
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            self._request_scopes.add(scope)
            tasks.start_soon(_cancel_on_disconnect, exchange, scope)
            try:
                await self._run_in_time(run, admitted, answer)
            finally:
                # ``drain`` removes the scopes that it cancels.
                is_drained = scope not in self._request_scopes
                self._request_scopes.discard(scope)
                scope.cancel()
                if not answer.is_whole:
                    # Closing the connection makes no statement on whether the
                    # request has run.
                    answer.abort(
                        CutReason.VM_ENDED
                        if is_drained
                        else CutReason.CALLER_LEFT,
                    )
                self._request_log.log_outcome(admitted, run, answer)

    async def _read_body(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        holding: Holding,
    ) -> bytes | Refusal:
        limit_bytes = self._limits().body_bytes
        remaining_seconds = self._remaining_seconds(admitted)
        with self._parts.process_end.limit(remaining_seconds):
            try:
                return await exchange.body(limit_bytes, holding)
            except NoRoomError:
                return memory_full()
            except BodyTooLargeError:
                return body_too_large(limit_bytes)
        if self._parts.process_end.is_reached:
            return draining()
        return body_too_slow()

    def _remaining_seconds(self, admitted: AdmittedRequest) -> float:
        left_ms = admitted.deadline_at_ms - self._parts.clock.monotonic_ms()
        return left_ms / _MS_PER_SECOND

    async def _run_in_time(
        self,
        run: RequestRun,
        admitted: AdmittedRequest,
        answer: CallerAnswer,
    ) -> None:
        process_end = self._parts.process_end
        with process_end.limit(self._remaining_seconds(admitted)):
            await self._reserve_and_run(run, admitted, answer)
            return
        if answer.has_started:
            answer.abort(
                CutReason.VM_ENDED
                if process_end.is_reached
                else CutReason.TIME_OVER,
            )
            return
        may_have_run = run.record.may_have_run
        refusal = timed_out(not_run=not may_have_run)
        if process_end.is_reached:
            refusal = process_ended() if may_have_run else draining()
        await answer.refuse(refusal, admitted.request)

    async def _reserve_and_run(
        self,
        run: RequestRun,
        admitted: AdmittedRequest,
        answer: CallerAnswer,
    ) -> None:
        try:
            await self._run_in_turn(run, admitted, answer)
        finally:
            run.turn.end()

    async def _run_in_turn(
        self,
        run: RequestRun,
        admitted: AdmittedRequest,
        answer: CallerAnswer,
    ) -> None:
        # Before the reservation, so that waiting requests hold no tokens.
        refusal = await run.turn.take()
        if refusal is not None:
            await answer.refuse(refusal, admitted.request)
            return
        reserved = await self._admission.reserve(admitted)
        if isinstance(reserved, Refusal):
            await answer.refuse(reserved, admitted.request)
            return
        try:
            await run.run()
        except Exception as error:
            self._request_log.log_failure(admitted, error)
            if answer.has_started:
                answer.abort(CutReason.VM_FAILED)
            else:
                await answer.refuse(internal_error(), admitted.request)
        finally:
            self._settle(run, admitted, reserved)

    def _settle(
        self,
        run: RequestRun,
        admitted: AdmittedRequest,
        reserved: AccountReservation | None,
    ) -> None:
        """Bills delivered output, and the prompt if a runner received it."""
        usage = admitted.request.usage
        if reserved is None or usage is None:
            return
        used_tokens = run.delivered_tokens
        if run.record.arrival_count:
            used_tokens += usage.prompt_tokens
        run.record.reserved_tokens = reserved.most_tokens
        run.record.used_tokens = used_tokens
        self._parts.grants.settle(reserved, used_tokens=used_tokens)

    async def _refuse(
        self,
        answer: CallerAnswer,
        request: ClientRequest | None,
        refusal: Refusal,
    ) -> None:
        self._request_log.log_refusal(request, refusal)
        await answer.refuse(refusal, request)

    def _limits(self) -> EntryLimits:
        configuration = self._parts.configuration.current
        return EntryLimits() if configuration is None else configuration.limits

    def _head_limits(self) -> HeadLimits:
        limits = self._limits()
        return HeadLimits(
            head_bytes=limits.header_bytes,
            head_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )


async def _cancel_on_disconnect(
    exchange: Exchange,
    scope: anyio.CancelScope,
) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()

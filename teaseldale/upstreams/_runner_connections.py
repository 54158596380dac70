"""Pool of keep-alive connections to one runner."""

import asyncio
from collections.abc import Callable

import attrs
import httpcore

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.outcomes import Step
from teaseldale.upstreams._clients import FailureKind, UpstreamError
from teaseldale.upstreams._connection_end import (
    BaseProcessWitness,
    EndFinding,
)
from teaseldale.upstreams._connector import BaseConnector, RunnerChannel
from teaseldale.upstreams._idle_time import usable_idle_ms
from teaseldale.upstreams._process_inquiry import (
    BaseProcessInquiry,
    OptionsInquiry,
)
from teaseldale.upstreams._process_witness import ProcessWitness
from teaseldale.upstreams._response_protocol import (
    ResponseMatcher,
    ResponseProtocol,
)
from teaseldale.upstreams._response_sizes import OversizedResponseError
from teaseldale.upstreams._runner_message import RunnerMessage
from teaseldale.upstreams._tcp_network import PeerAddress
from teaseldale.upstreams._wire_headers import WireHeaders

_MS_PER_SECOND = 1000
# Requests on one connection; bounds the ids that are kept for it.
_MAX_REQUESTS = 1000
# Larger bodies are not copied behind their heads.
_JOINED_BODY_BYTES = 16_384
_HEAD = 'HEAD'

# Returns the request to be written, or raises an error if it may no longer be.
MessageSource = Callable[[], RunnerMessage]


@attrs.define(kw_only=True)
class _Connection:
    channel: RunnerChannel
    idle_until_ms: int = 0  # monotonic; not reused afterwards
    request_count: int = 0
    # An answer with one of these ids may be one that is repeated.
    request_ids: set[str] = attrs.field(factory=set)

    @property
    def transport(self) -> asyncio.Transport:
        return self.channel.transport

    @property
    def protocol(self) -> ResponseProtocol:
        return self.channel.protocol


class RunnerAnswer:
    """Response whose head has arrived."""

    def __init__(
        self,
        *,
        owner: 'RunnerConnections',
        connection: _Connection,
    ) -> None:
        """Reads from ``connection`` and releases it to ``owner``."""
        self._owner = owner
        self._connection = connection
        protocol = connection.protocol
        self.status = protocol.status
        self.headers: WireHeaders = tuple(protocol.headers)
        self.framing = protocol.framing
        # Whether the connection has carried requests before this one.
        self.is_kept = connection.request_count > 1
        self.is_relayed = connection.channel.is_tunnel
        self._has_ended = False

    @property
    def end_finding(self) -> EndFinding:
        """What the examination of the body's end has found, if it took one."""
        return self._connection.protocol.end_finding

    async def read(self, timeout_ms: float | None = None) -> bytes:
        """Returns the buffered body data; empty at the end of the body.

        Raises ``UpstreamError``.
        """
        timeout_seconds = (
            None if timeout_ms is None else timeout_ms / _MS_PER_SECOND
        )
        try:
            received = await self._connection.protocol.read(timeout_seconds)
        except httpcore.ReadTimeout as timeout:
            raise self._owner.count_failure(
                timeout, FailureKind.SILENT
            ) from timeout
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise self._owner.count_failure(
                error, FailureKind.BROKEN
            ) from error
        self._owner.note_heard(self._connection)
        return received

    def release(self) -> None:
        """Ends the exchange and releases the connection for reuse."""
        self._end_exchange()
        self._owner.return_to_pool(self._connection)

    def discard(self) -> None:
        """Ends the exchange and closes the connection."""
        self._end_exchange()
        self._connection.transport.abort()

    def _end_exchange(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._owner.end_exchange(self.end_finding)


class RunnerConnections:
    """All connections of this VM to one incarnation of a runner."""

    def __init__(
        self,
        *,
        address: PeerAddress,
        connector: BaseConnector,
        clock: BaseClock,
        metrics: Metrics,
        inquiry: BaseProcessInquiry | None = None,
    ) -> None:
        """Creates a pool; opens connections to ``address`` on demand.

        ``inquiry`` asks the runner for a sign of life.
        """
        self.address = address
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._idle: list[_Connection] = []
        self._is_closed = False
        self._runner_traffic = PeerTraffic(metrics=metrics, peer='runner')
        self._tunnel_traffic = PeerTraffic(metrics=metrics, peer='tunnel')
        self._witness = ProcessWitness(
            address=address,
            connector=connector,
            inquiry=inquiry or OptionsInquiry(),
            clock=clock,
            metrics=metrics,
            take_idle=self._take_idle,
        )

    @property
    def witness(self) -> BaseProcessWitness:
        """A connection that shows whether the runner's process goes on."""
        return self._witness

    async def send(
        self,
        prepare: MessageSource,
        *,
        belongs: ResponseMatcher,
        timeout_ms: float,
    ) -> RunnerAnswer:
        """Sends a request and returns when the response head has arrived.

        ``prepare`` is called once a connection is open, right before the
        request is written; nothing is sent if it raises an error. It is called
        again if the connection has carried a request with the same id.

        Raises ``UpstreamError``, with ``may_have_run`` false only if no byte
        of the request was sent. Cancellation closes the connection.
        """
        started_ms = self._clock.monotonic_ms()
        connection = self._pop_idle() or await self._open(timeout_ms)
        message = _prepare(connection, prepare)
        if message.request_id in connection.request_ids:
            connection.transport.abort()
            connection = await self._open(timeout_ms)
            message = _prepare(connection, prepare)
        opening_ms = self._clock.monotonic_ms() - started_ms
        left_ms = max(0, timeout_ms - opening_ms)
        try:
            _write(connection, message, belongs)
            await connection.protocol.wait_for_head(left_ms / _MS_PER_SECOND)
        except httpcore.ReadTimeout as timeout:
            connection.transport.abort()
            raise self.count_failure(timeout, FailureKind.SILENT) from timeout
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            connection.transport.abort()
            raise self.count_failure(error, FailureKind.BROKEN) from error
        except BaseException:
            connection.transport.abort()
            raise
        self.note_heard(connection)
        return RunnerAnswer(owner=self, connection=connection)

    def end_exchange(self, end_finding: EndFinding) -> None:
        """Counts what the examination of a response's end has found."""
        if end_finding:
            self._metrics.increment('response_ends', end_finding)

    def note_heard(self, connection: _Connection) -> None:
        """Records that the runner has sent something."""
        if not connection.channel.is_tunnel:
            self._connector.note_heard(self.address)

    def return_to_pool(self, connection: _Connection) -> None:
        """Returns a connection to the pool, or closes it.

        A tunnel carries one request, so that the VM that relays it knows when
        it is no longer used.
        """
        is_usable = (
            connection.protocol.can_be_reused
            and connection.request_count < _MAX_REQUESTS
        )
        if self._is_closed or connection.channel.is_tunnel or not is_usable:
            connection.transport.abort()
            return
        idle_ms = usable_idle_ms(tuple(connection.protocol.headers))
        connection.idle_until_ms = self._clock.monotonic_ms() + idle_ms
        self._idle.append(connection)

    def close(self) -> None:
        """Closes idle connections; busy ones are closed on release."""
        self._is_closed = True
        self.close_idle()
        self._witness.close()

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.transport.abort()
        self._idle.clear()

    def close_expired(self) -> None:
        """Closes idle connections that can no longer be reused."""
        now_ms = self._clock.monotonic_ms()
        kept: list[_Connection] = []
        for connection in self._idle:
            if _is_usable(connection, now_ms):
                kept.append(connection)
            else:
                connection.transport.abort()
        self._idle = kept

    def count_failure(
        self, error: Exception, kind: FailureKind
    ) -> UpstreamError:
        """Counts a failure and returns the ``UpstreamError`` for it."""
        self._metrics.increment('runner_failures', kind)
        if isinstance(error, OversizedResponseError):
            self._metrics.increment('oversized_responses', error.part)
        return UpstreamError(
            step=Step.DISPATCH,
            peer='{0}:{1}'.format(*self.address),
            reason=str(error) or type(error).__name__,
            may_have_run=kind is not FailureKind.REFUSED,
            kind=kind,
        )

    def _take_idle(self) -> tuple[RunnerChannel, int] | None:
        """Takes an idle connection out of the pool for other requests."""
        connection = self._pop_idle()
        if connection is None:
            return None
        connection.protocol.witness = None
        now_ms = self._clock.monotonic_ms()
        return connection.channel, connection.idle_until_ms - now_ms

    def _pop_idle(self) -> _Connection | None:
        now_ms = self._clock.monotonic_ms()
        while self._idle:
            connection = self._idle.pop()
            if _is_usable(connection, now_ms):
                return connection
            connection.transport.abort()
        return None

    def _traffic_of(self, channel: RunnerChannel) -> PeerTraffic:
        if channel.is_tunnel:
            return self._tunnel_traffic
        return self._runner_traffic

    async def _open(self, timeout_ms: float) -> _Connection:
        try:
            channel = await self._connector.connect(
                self.address,
                timeout_ms=timeout_ms,
            )
        except OSError as error:
            raise self.count_failure(error, FailureKind.REFUSED) from error
        self._metrics.increment('runner_connections_opened')
        if not channel.is_tunnel:
            channel.protocol.witness = self._witness
        channel.protocol.traffic = self._traffic_of(channel)
        return _Connection(channel=channel)


def _prepare(
    connection: _Connection,
    prepare: MessageSource,
) -> RunnerMessage:
    """Returns the message; closes the connection if there is none."""
    try:
        return prepare()
    except BaseException:
        connection.transport.abort()
        raise


def _write(
    connection: _Connection,
    message: RunnerMessage,
    belongs: ResponseMatcher,
) -> None:
    head = message.encode_head()
    connection.request_count += 1
    if message.request_id:
        connection.request_ids.add(message.request_id)
    connection.protocol.expect(belongs, has_body=message.method != _HEAD)
    if connection.protocol.traffic is not None:
        connection.protocol.traffic.note_sent(len(head) + len(message.body))
    if len(message.body) <= _JOINED_BODY_BYTES:
        connection.transport.write(head + message.body)
    else:
        connection.transport.write(head)
        connection.transport.write(message.body)


def _is_usable(connection: _Connection, now_ms: int) -> bool:
    protocol = connection.protocol
    return protocol.can_be_reused and now_ms < connection.idle_until_ms

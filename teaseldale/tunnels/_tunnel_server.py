"""Service that relays connections of other VMs to runners.

A VM that has lost its paths to runners sends its requests through one that has
not. The tunnel carries bytes only: the VM that asks for it keeps the admission,
the budget, the deadline and the retries of its requests. A tunnel has one hop.
"""

import functools

from anyio.abc import TaskGroup

from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.tunnels._entrance import Entrance
from teaseldale.tunnels._handshake import (
    TunnelReply,
    TunnelRequest,
    TunnelStatus,
    decode_request,
)
from teaseldale.tunnels._pipe import PipeEnd
from teaseldale.tunnels._relay_policy import BaseRelayPolicy
from teaseldale.tunnels._runner_end import RunnerEnd
from teaseldale.tunnels._runner_paths import RunnerPaths
from teaseldale.upstreams import (
    SURVIVAL_MS,
    BaseTcpNetwork,
    EndFinding,
    Listener,
    PeerAddress,
    probe_listener,
)

_HEAD_TIMEOUT_SECONDS = 1
_DIAL_TIMEOUT_MS = 300
# Two descriptors and up to two buffers each; leaves most of both to requests.
_MAX_TUNNELS = 400
# Most that is buffered while one end reads slowly.
_TUNNEL_BYTES = 196_608


class TunnelServer(BaseService):
    """Opens connections to runners on behalf of other VMs."""

    def __init__(
        self,
        *,
        address: PeerAddress,
        network: BaseTcpNetwork,
        policy: BaseRelayPolicy,
        paths: RunnerPaths,
        held_bytes: ByteBudget,
        metrics: Metrics,
    ) -> None:
        """Listens on ``address`` after ``start``."""
        self._address = address
        self._network = network
        self._policy = policy
        self._paths = paths
        self._held_bytes = held_bytes
        self._metrics = metrics
        self._log = StateLog(channel='tunnels')
        self._traffic = PeerTraffic(metrics=metrics, peer='tunnel')
        self._tasks: TaskGroup | None = None
        self._listener: Listener | None = None
        self._open_count = 0
        self._is_draining = False

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'tunnel_server'

    @property
    def open_count(self) -> int:
        """Returns the number of tunnels that are open or being opened.

        Each of them carries one request.
        """
        return self._open_count

    async def start(self, tasks: TaskGroup) -> None:
        """Listens for other VMs; raises ``OSError`` if it cannot."""
        self._tasks = tasks
        self._listener = await self._network.listen(
            self._accept,
            self._address,
        )

    async def drain(self) -> None:
        """Takes no more tunnels; open ones go on."""
        self._is_draining = True

    async def stop(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            self._listener.close()

    def _accept(self) -> Entrance:
        entrance = Entrance()
        entrance.traffic = self._traffic
        self._traffic.note_connection()
        if self._tasks is not None:
            self._tasks.start_soon(self._serve, entrance)
        return entrance

    async def _serve(self, entrance: Entrance) -> None:
        try:
            head = await entrance.read_head(_HEAD_TIMEOUT_SECONDS)
            request = decode_request(head)
        except (OSError, ValueError) as error:
            self._metrics.increment('tunnel_requests', type(error).__name__)
            entrance.close()
            return
        self._open_count += 1
        try:
            status = await self._open(entrance, request)
        finally:
            self._open_count -= 1
        self._metrics.increment('tunnel_requests', status.name.lower())

    async def _open(
        self,
        entrance: Entrance,
        request: TunnelRequest,
    ) -> TunnelStatus:
        status = self._refusal(request.address)
        runner_end = None
        if status is TunnelStatus.OPEN:
            status, runner_end = await self._dial(request.address)
        sends_chunks = runner_end is not None and request.accepts_chunks
        entrance.reply(
            TunnelReply(
                status=status,
                sends_chunks=sends_chunks,
                examines_ends=sends_chunks,
            ),
        )
        if runner_end is None:
            entrance.close()
            return status
        entrance.join(runner_end)
        with self._held_bytes.hold(_TUNNEL_BYTES):
            await runner_end.ended.wait()
        return status

    def _refusal(self, address: PeerAddress) -> TunnelStatus:
        """Returns why no tunnel is opened, or ``OPEN``."""
        if self._is_draining or self._open_count > _MAX_TUNNELS:
            return TunnelStatus.NOT_TAKEN
        if self._held_bytes.is_tight:
            return TunnelStatus.NOT_TAKEN
        if not self._policy.is_registered(address):
            return TunnelStatus.UNKNOWN_RUNNER
        if self._paths.is_cut(address) or self._policy.is_paused(address):
            return TunnelStatus.NOT_TAKEN
        return TunnelStatus.OPEN

    async def _dial(
        self,
        address: PeerAddress,
    ) -> tuple[TunnelStatus, PipeEnd | None]:
        try:
            _, runner_end = await self._network.dial(
                functools.partial(self._make_runner_end, address),
                address,
                timeout_ms=_DIAL_TIMEOUT_MS,
            )
        except ConnectionRefusedError:
            return TunnelStatus.REFUSED, None
        except OSError:
            return TunnelStatus.UNANSWERED, None
        self._paths.note_heard(address)
        runner_end.traffic = self._traffic
        return TunnelStatus.OPEN, runner_end

    def _make_runner_end(self, address: PeerAddress) -> RunnerEnd:
        return RunnerEnd(
            address=address,
            probe=functools.partial(
                probe_listener,
                hold_ms=SURVIVAL_MS,
                network=self._network,
            ),
            witness=self._policy.witness_of(address),
            on_head=functools.partial(self._policy.note_answer, address),
            on_end=functools.partial(self._note_end, address),
        )

    def _note_end(self, address: PeerAddress, finding: EndFinding) -> None:
        self._metrics.increment('relayed_ends', finding)
        if not finding.is_complete:
            self._log.routine(
                'relayed_end_broken',
                runner_address='{0}:{1}'.format(*address),
                finding=finding,
            )

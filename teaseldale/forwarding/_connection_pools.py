"""Connection pools of all runners, by incarnation."""

from teaseldale.clock import BaseClock
from teaseldale.forwarding._configuration import ConfigurationHolder
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.forwarding._wire import BaseWireFormat
from teaseldale.metrics import Metrics
from teaseldale.tunnels import PathChange
from teaseldale.upstreams import (
    BaseConnector,
    BaseProcessInquiry,
    FailureKind,
    PeerAddress,
    ProbeOutcome,
    RunnerConnections,
)


class RunnerConnectionPools:
    """Holds one connection pool per incarnation of a runner."""

    def __init__(
        self,
        *,
        connector: BaseConnector,
        wire: BaseWireFormat,
        configuration: ConfigurationHolder,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Starts without pools; they are created on first use."""
        self._connector = connector
        self._wire = wire
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._connections: dict[tuple[str, int], RunnerConnections] = {}

    def pool_for(self, runner: ForwardingRunner) -> RunnerConnections:
        """Returns the pool of a runner incarnation; creates it if missing."""
        pool = self._connections.get(runner.incarnation)
        if pool is None:
            pool = RunnerConnections(
                address=_peer_address(runner),
                connector=self._connector,
                inquiry=self._inquiry_of(runner),
                clock=self._clock,
                metrics=self._metrics,
            )
            self._connections[runner.incarnation] = pool
        return pool

    async def probe(
        self,
        runner: ForwardingRunner,
        timeout_ms: float,
    ) -> ProbeOutcome:
        """Returns what became of a new connection to the runner's address.

        A host refuses it if no process listens.
        """
        outcome = await self._connector.probe(
            _peer_address(runner),
            timeout_ms=timeout_ms,
        )
        if outcome is ProbeOutcome.UNANSWERED:
            self._metrics.increment('runner_failures', FailureKind.SILENT)
        return outcome

    def addresses(self) -> tuple[PeerAddress, ...]:
        """Returns the addresses of all runners that this VM has used."""
        return tuple(pool.address for pool in self._connections.values())

    def apply_path_change(self, change: PathChange) -> None:
        """Closes the idle connections of a path that has fallen silent.

        Where new connections are refused, those that are open may still work.
        """
        if not (change.is_cut and change.is_silent):
            return
        for pool in self._connections.values():
            if pool.address == change.address:
                pool.close_idle()

    def keep_only(self, runners: tuple[ForwardingRunner, ...]) -> None:
        """Closes the pools of all incarnations not in ``runners``."""
        kept = {runner.incarnation for runner in runners}
        for incarnation in tuple(self._connections):
            if incarnation not in kept:
                self._connections.pop(incarnation).close()
        self._connector.keep_only(frozenset(map(_peer_address, runners)))

    def close_expired(self) -> None:
        """Closes connections whose idle time-out has expired."""
        for connections in self._connections.values():
            connections.close_expired()

    def _inquiry_of(self, runner: ForwardingRunner) -> BaseProcessInquiry:
        configuration = self._configuration.current
        services = {} if configuration is None else configuration.services
        service = services.get(runner.service)
        health_path = '' if service is None else service.health_path
        return self._wire.inquiry(runner, health_path)


def _peer_address(runner: ForwardingRunner) -> PeerAddress:
    return runner.address.ip, runner.address.port

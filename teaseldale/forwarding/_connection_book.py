"""Connections to all runners, by their starts."""

from teaseldale.clock import BaseClock
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.metrics import Metrics
from teaseldale.upstreams import RunnerConnections


class ConnectionBook:
    """Keeps one set of connections for each start of a runner."""

    def __init__(self, *, clock: BaseClock, metrics: Metrics) -> None:
        """Opens nothing before it is needed."""
        self._clock = clock
        self._metrics = metrics
        self._connections: dict[tuple[str, int], RunnerConnections] = {}

    def of(self, runner: ForwardingRunner) -> RunnerConnections:
        """Returns the connections to a start of a runner."""
        known = self._connections.get(runner.incarnation)
        if known is None:
            known = RunnerConnections(
                ip=runner.address.ip,
                port=runner.address.port,
                clock=self._clock,
                metrics=self._metrics,
            )
            self._connections[runner.incarnation] = known
        return known

    def keep_only(self, runners: tuple[ForwardingRunner, ...]) -> None:
        """Closes the connections to all other starts."""
        kept = {runner.incarnation for runner in runners}
        for incarnation in tuple(self._connections):
            if incarnation not in kept:
                self._connections.pop(incarnation).close()

    def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        for connections in self._connections.values():
            connections.close_expired()

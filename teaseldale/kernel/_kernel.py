"""Registry of services with ordered start, drain and stop."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from teaseldale.kernel._service import BaseService
from teaseldale.logs import StateLog

_STEP_TIMEOUT_MS = 120_000
_MS_PER_SECOND = 1000
_ServiceT = TypeVar('_ServiceT')


class ServiceMissingError(LookupError):
    """No service of the requested type is registered under the name."""


class Kernel:
    """Starts services in registration order and stops them in reverse."""

    def __init__(self, *, step_timeout_ms: int = _STEP_TIMEOUT_MS) -> None:
        """Creates an empty registry.

        The time-out applies to the drain and to the stop of each service,
        separately.
        """
        self._step_timeout_ms = step_timeout_ms
        self._services: dict[str, BaseService] = {}
        self._log = StateLog(channel='kernel')

    def register(self, service: BaseService) -> None:
        """Adds a service, after the services that it depends on.

        Raises ``ValueError`` if its name is already registered.
        """
        if service.name in self._services:
            raise ValueError(
                f'Service {service.name!r} is already registered; '
                'service names must be unique.',
            )
        self._services[service.name] = service

    def find(self, name: str, kind: type[_ServiceT]) -> _ServiceT:
        """Returns the service ``name``.

        Raises ``ServiceMissingError`` if there is none or if it is not an
        instance of ``kind``.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(
                f'No {kind.__name__} is registered as {name!r}; '
                f'registered services: {sorted(self._services)}.',
            )
        return service

    async def run(self, shutdown: anyio.Event) -> None:
        """Runs all services until ``shutdown`` is set, then stops them.

        All services are drained before any is stopped. A failure or time-out
        of one service is logged, and the others are still drained and stopped.
        """
        async with anyio.create_task_group() as tasks:
            for service in self._services.values():
                await service.start(tasks)
            self._log.changed('started')
            await shutdown.wait()
            self._log.changed('draining')
            for draining in reversed(self._services.values()):
                await self._run_step(draining, draining.drain)
            for stopping in reversed(self._services.values()):
                await self._run_step(stopping, stopping.stop)
            self._log.changed('stopped')
            tasks.cancel_scope.cancel()

    async def _run_step(
        self,
        service: BaseService,
        step: Callable[[], Awaitable[None]],
    ) -> None:
        try:
            with anyio.fail_after(self._step_timeout_ms / _MS_PER_SECOND):
                await step()
        except Exception as error:
            self._log.changed(
                'service_failed_to_end',
                service=service.name,
                step=step.__name__,
                reason=str(error) or type(error).__name__,
            )

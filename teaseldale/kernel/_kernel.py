"""Registry of services and their ordered life cycle."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from teaseldale.kernel._service import BaseService
from teaseldale.logs import StateLog

_END_TIMEOUT_MS = 120_000
_MS_PER_SECOND = 1000
_ServiceT = TypeVar('_ServiceT')


class ServiceMissingError(LookupError):
    """A service was asked for by a name that nobody registered."""


class Kernel:
    """Starts services in order of registration, stops them in reverse."""

    def __init__(self, *, end_timeout_ms: int = _END_TIMEOUT_MS) -> None:
        """Creates an empty registry.

        Each service has ``end_timeout_ms`` to drain, and again to stop.
        """
        self._end_timeout_ms = end_timeout_ms
        self._services: dict[str, BaseService] = {}
        self._log = StateLog(channel='kernel')

    def register(self, service: BaseService) -> None:
        """Adds a service; its dependencies are registered before it."""
        if service.name in self._services:
            raise ValueError(
                f'Service {service.name!r} is registered already; '
                'give the second one another name.',
            )
        self._services[service.name] = service

    def find(self, name: str, kind: type[_ServiceT]) -> _ServiceT:
        """Returns the service called ``name``, checked to be a ``kind``."""
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(
                f'No {kind.__name__} is registered as {name!r}; '
                f'register one of {sorted(self._services)} first.',
            )
        return service

    async def run(self, shutdown: anyio.Event) -> None:
        """Runs all services until ``shutdown`` is set, then drains them.

        A service that fails to drain or stop is logged and does not keep the
        others from doing so.
        """
        async with anyio.create_task_group() as tasks:
            for service in self._services.values():
                await service.start(tasks)
            self._log.changed('started')
            await shutdown.wait()
            self._log.changed('draining')
            for draining in reversed(self._services.values()):
                await self._end(draining, draining.drain)
            for stopping in reversed(self._services.values()):
                await self._end(stopping, stopping.stop)
            self._log.changed('stopped')
            tasks.cancel_scope.cancel()

    async def _end(
        self,
        service: BaseService,
        step: Callable[[], Awaitable[None]],
    ) -> None:
        try:
            with anyio.fail_after(self._end_timeout_ms / _MS_PER_SECOND):
                await step()
        except Exception as error:
            self._log.changed(
                'service_failed_to_end',
                service=service.name,
                step=step.__name__,
                reason=str(error) or type(error).__name__,
            )

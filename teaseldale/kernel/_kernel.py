"""Registry of services and their ordered life cycle."""

from typing import TypeVar

import anyio

from teaseldale.kernel._service import BaseService

_ServiceT = TypeVar('_ServiceT')


class ServiceMissingError(LookupError):
    """A service was asked for by a name that nobody registered."""


class Kernel:
    """Starts services in order of registration, stops them in reverse."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._services: dict[str, BaseService] = {}

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
        """Runs all services until ``shutdown`` is set, then drains them."""
        async with anyio.create_task_group() as tasks:
            for service in self._services.values():
                await service.start(tasks)
            await shutdown.wait()
            for draining in reversed(self._services.values()):
                await draining.drain()
            for stopping in reversed(self._services.values()):
                await stopping.stop()
            tasks.cancel_scope.cancel()

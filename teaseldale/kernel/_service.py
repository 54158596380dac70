"""Interface of services that the kernel runs."""

import abc

from anyio.abc import TaskGroup


class BaseService(abc.ABC):
    """Named service with start, drain and stop hooks."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Unique name under which the service is registered."""

    async def start(self, tasks: TaskGroup) -> None:  # noqa: B027
        """Starts background tasks; returns when the service is usable."""

    async def drain(self) -> None:  # noqa: B027
        """Completes requests in flight and hands over state to other VMs."""

    async def stop(self) -> None:  # noqa: B027
        """Releases resources once all services are drained."""

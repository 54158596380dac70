"""What the kernel asks of a service."""

import abc

from anyio.abc import TaskGroup


class BaseService(abc.ABC):
    """A named part of the program with an ordered start, drain and stop."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name under which other services find this one."""

    async def start(self, tasks: TaskGroup) -> None:  # noqa: B027
        """Starts background tasks; returns when the service is usable."""

    async def drain(self) -> None:  # noqa: B027
        """Finishes work in flight and hands state over."""

    async def stop(self) -> None:  # noqa: B027
        """Releases resources after the drain."""

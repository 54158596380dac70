"""Commands that run stand-ins of external services in the foreground."""

import functools
from collections.abc import Awaitable, Callable

import anyio

from teaseldale.command._event_loop import run_until_signal
from teaseldale.standins import (
    EngineFaults,
    EngineSize,
    EngineStandin,
    PlatformStandin,
    ServiceStandin,
)
from teaseldale.web import EmbeddedServer, Exchange


class StandinCommands:
    """Runs a stand-in of an external service until SIGTERM or SIGINT."""

    def platform(self, *, address: str = '127.0.0.1:7000') -> None:
        """Serves an in-memory table service and membership list."""
        _serve(address, PlatformStandin().respond)

    def engine(
        self,
        *,
        address: str,
        name: str = 'engine',
        slot_count: int = 16,
        token_interval_ms: float = 20,
        tokens_per_event: int = 1,
        first_token_ms: int = 50,
        batch_size: int = 0,
        cache_blocks: int = 4096,
        checks_fencing: bool = False,
    ) -> None:
        """Serves a model engine that streams words at a fixed rate."""
        standin = EngineStandin(
            name=name,
            size=EngineSize(
                slot_count=slot_count,
                batch_size=batch_size,
                cache_blocks=cache_blocks,
            ),
            checks_fencing=checks_fencing,
            faults=EngineFaults(
                token_interval_ms=token_interval_ms,
                tokens_per_event=tokens_per_event,
                first_token_ms=first_token_ms,
            ),
        )
        _serve(address, standin.respond)

    def service(
        self,
        *,
        address: str,
        checks_request_key: bool = False,
    ) -> None:
        """Serves an HTTP service for orders and stock."""
        standin = ServiceStandin(checks_request_key=checks_request_key)
        _serve(address, standin.respond)


def _serve(
    address: str,
    respond: Callable[[Exchange], Awaitable[None]],
) -> None:
    run_until_signal(functools.partial(_serve_until, address, respond))


async def _serve_until(
    address: str,
    respond: Callable[[Exchange], Awaitable[None]],
    shutdown: anyio.Event,
) -> None:
    server = EmbeddedServer(address=address, respond=respond)
    async with anyio.create_task_group() as tasks:
        await server.start(tasks)
        await shutdown.wait()
        tasks.cancel_scope.cancel()

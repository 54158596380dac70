"""Event loop set-up, with shutdown on signals."""

import gc
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

# Prevents libuv in uvloop before 0.23 from opening io_uring descriptors.
# Later releases of uvloop ignore the variable.
_IO_URING_VARIABLE = 'UV_USE_IO_URING'
# Garbage collection threshold of the youngest generation. Streams allocate
# many objects that reference counting frees, so collections find almost
# nothing.
_COLLECTION_THRESHOLD = 50_000
_ResultT = TypeVar('_ResultT')


def run_in_loop(
    function: Callable[..., Awaitable[_ResultT]],
    *arguments: Any,
) -> _ResultT:
    """Runs an async function in a uvloop event loop; returns its result."""
    os.environ[_IO_URING_VARIABLE] = '0'
    gc.freeze()
    gc.set_threshold(_COLLECTION_THRESHOLD)
    return anyio.run(
        function,
        *arguments,
        backend='asyncio',
        backend_options={'use_uvloop': True},
    )


def run_until_signal(
    function: Callable[[anyio.Event], Awaitable[None]],
) -> None:
    """Runs ``function`` with an event that SIGTERM and SIGINT set."""

    async def run() -> None:  # noqa: WPS430
        shutdown = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_set_on_signal, shutdown)
            await function(shutdown)
            tasks.cancel_scope.cancel()

    run_in_loop(run)


async def _set_on_signal(shutdown: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shutdown.set()

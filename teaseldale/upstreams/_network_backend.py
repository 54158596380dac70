"""httpcore network backend over asyncio streams.

Costs less processor time per read than the default backend. Reads are bounded
by a timer of the stream's own rather than a cancel scope for each read.
"""

import asyncio
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

_READ_LIMIT_BYTES = 65_536


class _Stream(httpcore.AsyncNetworkStream):
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        timer = self._arm(timeout)
        try:
            return await self._reader.read(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            if timer is not None:
                timer.cancel()
                self._check_timeout(timer)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._writer.write(buffer)
        try:
            async with asyncio.timeout(timeout):
                await self._writer.drain()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        self._writer.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        async with asyncio.timeout(timeout):
            await self._writer.start_tls(
                ssl_context,
                server_hostname=server_hostname,
            )
        return self

    def get_extra_info(self, info: str) -> Any:
        if info == 'is_readable':
            return self._reader.at_eof()
        return self._writer.get_extra_info(info)

    def _arm(self, timeout: float | None) -> asyncio.TimerHandle | None:
        if timeout is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(timeout, self._expire)

    def _expire(self) -> None:
        self._reader.set_exception(httpcore.ReadTimeout())

    def _check_timeout(self, _timer: asyncio.TimerHandle) -> None:
        error = self._reader.exception()
        if isinstance(error, httpcore.ReadTimeout):
            raise error


class StreamNetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections through ``asyncio.open_connection``."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects or raises an httpcore error."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    host,
                    port,
                    limit=_READ_LIMIT_BYTES,
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return _Stream(reader, writer)

    async def sleep(self, seconds: float) -> None:
        """Suspends the task."""
        await asyncio.sleep(seconds)

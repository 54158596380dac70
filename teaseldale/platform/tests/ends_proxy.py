"""Proxy on loopback that passes connections on late, each by its own delay."""

import asyncio
import contextlib
import socket
import struct
import time

_RESET = struct.pack('ii', 1, 0)
_CLOSED_STATE = 7  # TCP_CLOSE, the first byte of TCP_INFO
_POLL_SECONDS = 0.005
_BACKLOG = 256
_PART_BYTES = 65_536


class SlowPath:
    """Accepts connections, then dials the runner.

    Bytes, ends and resets keep their order within a connection.
    """

    def __init__(self, address, target, draw_delay_seconds):
        self.address = address
        self._target = target
        self._draw_delay_seconds = draw_delay_seconds
        self._may_accept = asyncio.Event()
        self._may_accept.set()
        self._tasks = set()
        self._listener = socket.create_server(address, backlog=_BACKLOG)
        self._listener.setblocking(False)

    async def run(self):
        """Serves connections until it is cancelled."""
        loop = asyncio.get_running_loop()
        with contextlib.closing(self._listener):
            while True:
                await self._may_accept.wait()
                channel, _ = await loop.sock_accept(self._listener)
                self._spawn(self._serve(channel))

    async def fill(self, seconds):
        """Fills the queue of new connections, so that further ones hang."""
        self._may_accept.clear()
        self._listener.listen(0)
        with contextlib.ExitStack() as fillers:
            for _ in range(3):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(self.address)
            await asyncio.sleep(seconds)
        self._listener.listen(_BACKLOG)
        self._may_accept.set()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, near):
        far = socket.socket()
        delay_seconds = self._draw_delay_seconds()
        with contextlib.closing(near), contextlib.closing(far):
            for channel in (near, far):
                channel.setblocking(False)
            try:
                await self._connect(far, delay_seconds)
                await _pass_both(near, far, delay_seconds)
            except* OSError:
                for channel in (near, far):
                    channel.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                    )

    async def _connect(self, far, delay_seconds):
        try:
            await asyncio.get_running_loop().sock_connect(far, self._target)
        except OSError:
            await asyncio.sleep(delay_seconds)
            raise


async def _pass_both(near, far, delay_seconds):
    ended = []
    async with asyncio.TaskGroup() as tasks:
        for source, target in ((near, far), (far, near)):
            parts = asyncio.Queue()
            tasks.create_task(_read(source, parts, delay_seconds, ended))
            tasks.create_task(_write(target, parts, ended))


async def _read(source, parts, delay_seconds, ended):
    """Puts bytes, then b'' for an end; an error for a reset, None to stop."""
    loop = asyncio.get_running_loop()
    part = b'-'
    try:
        while part:
            part = await loop.sock_recv(source, _PART_BYTES)
            parts.put_nowait((time.monotonic() + delay_seconds, part))
        # A reset that follows an end is seen in the state alone.
        while len(ended) < 2:
            if _is_closed(source):
                raise ConnectionResetError
            await asyncio.sleep(_POLL_SECONDS)
    except OSError as error:
        parts.put_nowait((time.monotonic() + delay_seconds, error))
    else:
        parts.put_nowait((0, None))


async def _write(target, parts, ended):
    while True:
        due_seconds, part = await parts.get()
        await asyncio.sleep(max(0, due_seconds - time.monotonic()))
        if part is None:
            return
        if isinstance(part, OSError):
            raise part
        if part:
            await asyncio.get_running_loop().sock_sendall(target, part)
        else:
            target.shutdown(socket.SHUT_WR)
            ended.append(target)


def _is_closed(channel):
    info = channel.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return info[0] == _CLOSED_STATE

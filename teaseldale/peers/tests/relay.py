"""A loopback TCP relay that can close connections or drop their bytes."""

import anyio


class Relay:
    """Forwards bytes; ``silence`` and ``cut`` affect the open connections.

    A silenced connection stays silent; connections opened later work.
    """

    def __init__(self, *, listen_port, target_port):
        self.listen_port = listen_port
        self._target_port = target_port
        self._connections = []
        self.down = False  # drops all bytes on all connections
        self.connection_count = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1',
            local_port=self.listen_port,
        )
        task_status.started()
        await listener.serve(self._forward)

    def silence(self):
        """Makes the open connections drop all further bytes."""
        for connection in self._connections:
            connection['silent'] = True

    async def cut(self):
        """Closes the open connections."""
        for connection in self._connections:
            for stream in connection['streams']:
                await stream.aclose()
        self._connections.clear()

    async def _forward(self, client):
        self.connection_count += 1
        try:
            target = await anyio.connect_tcp('127.0.0.1', self._target_port)
        except OSError:
            await client.aclose()
            return
        connection = {'silent': False, 'streams': (client, target)}
        self._connections.append(connection)
        async with client, target, anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, client, target, connection, tasks)
            tasks.start_soon(self._copy, target, client, connection, tasks)

    async def _copy(self, source, sink, connection, tasks):
        closed = (
            anyio.EndOfStream,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        )
        try:
            while True:
                received = await source.receive()
                if not connection['silent'] and not self.down:
                    await sink.send(received)
        except closed:
            tasks.cancel_scope.cancel()

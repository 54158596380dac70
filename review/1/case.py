"""A relaying VM is killed: is the stream that it relayed shown as whole?"""

import asyncio
import pathlib
import signal
import socket
import sys
import time

from review.standins.fleet import TROUBLE, entry, manifest, route, run_case

FOLDER = pathlib.Path(__file__).parent
EVENTS = 40
PAUSE_S = 0.1
# A stream each, and last a plain answer.
TARGETS = ('/draft/letter', '/draft/letter', '/export/letters')


class Runner:
    """Streams events in a body that has no length and ends with its channel.

    While ``is_full`` is set, its queue of new channels is full, so that the
    opening packet of a further channel is dropped.
    """

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        self.sent = {}  # events written, by request id
        self.ended = {}  # how each stream ended, by request id
        self._may_accept = asyncio.Event()
        self._may_accept.set()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.listen(0)
        self._socket.setblocking(False)

    async def run(self):
        """Accepts channels while it may."""
        loop = asyncio.get_running_loop()
        while True:
            await self._may_accept.wait()
            channel, _ = await loop.sock_accept(self._socket)
            if not self._may_accept.is_set():
                # It was accepted while the queue was about to be filled.
                await self._may_accept.wait()
            asyncio.create_task(self._serve(channel))

    async def fill_queue(self):
        """Fills the queue of new channels; returns the channels in it."""
        self._may_accept.clear()
        loop = asyncio.get_running_loop()
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            fillers.append(filler)
            try:
                await asyncio.wait_for(
                    loop.sock_connect(filler, self.address), 0.1
                )
            except TimeoutError:
                break  # its opening packet was dropped: the queue is full
        return fillers

    def empty_queue(self, fillers):
        """Accepts new channels again."""
        for filler in fillers:
            filler.close()
        self._may_accept.set()

    async def _serve(self, channel):
        reader, writer = await asyncio.open_connection(sock=channel)
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            fields = dict(
                line.lower().split(': ', 1) for line in lines[1:] if line
            )
            request_id = fields['x-request-id']
            await reader.readexactly(int(fields.get('content-length', 0)))
            await self._stream(writer, request_id, '/draft/' in lines[0])
        except (asyncio.IncompleteReadError, ConnectionError, KeyError):
            pass
        finally:
            writer.close()

    async def _stream(self, writer, request_id, is_stream):
        kind = b'text/event-stream' if is_stream else b'text/plain'
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: ' + kind + b'\r\n'
            b'Connection: close\r\nX-Server-Stamp: stamp-1\r\n'
            b'X-Request-Id: ' + request_id.encode() + b'\r\n\r\n'
        )
        try:
            for number in range(1, EVENTS + 1):
                writer.write(b'id: %d\ndata: piece %d\n\n' % (number, number))
                await writer.drain()
                self.sent[request_id] = number
                await asyncio.sleep(PAUSE_S)
                if writer.transport.is_closing():
                    raise ConnectionResetError
            self.ended[request_id] = 'whole'
        except ConnectionError:
            self.ended[request_id] = 'its channel was closed'


async def case(fleet):
    """Streams through a relay, which is killed in the middle."""
    runner = Runner(fleet, (fleet.new_ip(), 8500))
    accepting = asyncio.create_task(runner.run())
    born = int(time.time() * 1000)
    await fleet.put('servers', 'i-1', entry('desk', runner.address, born))
    engine = {'Slots': 48, 'KvCapacityTokens': 444_000, 'Stride': 9}
    await fleet.put(
        'op',
        'config',
        manifest(
            1,
            [
                route('draft', '/draft/', 'streaming', 'desk'),
                route('export', '/export/', 'safe', 'desk'),
            ],
            {'desk': {'Engine': engine}},
        ),
    )
    caller_vm, relay_vm = await fleet.start_nodes(2)
    broken = []
    for number, target in enumerate(TARGETS, start=1):
        broken += await play(
            fleet, runner, caller_vm, relay_vm, f'r{number}', target
        )
        if TROUBLE:
            relay_vm.start()
        await relay_vm.ready()
        await asyncio.sleep(3)
    accepting.cancel()
    return '; '.join(broken)


async def play(fleet, runner, caller_vm, relay_vm, request_id, target):
    """Returns what was broken for one request."""
    fillers = await runner.fill_queue()
    fleet.note(f'{request_id}: the queue of new channels is full')
    sending = asyncio.create_task(
        caller_vm.send(
            target,
            request_id=request_id,
            body=b'x' * 600,
            headers=(
                ('X-Model', 'm'),
                ('X-Token-Usage', f'100,{EVENTS * 9}'),
                ('X-Prompt-Prefix', f'5c1e07a2:80,{request_id[1:]}0a:20'),
            ),
        )
    )
    await asyncio.sleep(0.15)
    runner.empty_queue(fillers)
    fleet.note(f'{request_id}: the runner accepts channels again')
    await asyncio.sleep(2.2)
    made = runner.sent.get(request_id, 0)
    fleet.note(f'{request_id}: the runner has made {made} events')
    if TROUBLE:
        relay_vm.signal(signal.SIGKILL)
        relay_vm.process.wait()
        fleet.note(f'{relay_vm.name} was killed')
    answer = await sending
    await asyncio.sleep(0.3)
    got = answer.body.count(b'\n\n')
    fleet.note(
        f'{request_id}: status {answer.status}, signature '
        f'{answer.header("x-server-stamp")}, {got} of {EVENTS} events, '
        f'whole to the client: {answer.is_whole}; at the runner: '
        f'{runner.ended.get(request_id)}'
    )
    if answer.status == 200 and answer.is_whole and got < EVENTS:
        return [f'{request_id} ended as complete after {got} events']
    return []


if __name__ == '__main__':
    sys.exit(run_case(FOLDER / 'record.txt', case))

"""Clients that misbehave, each kind with a fixed number of connections.

A client sends all of its bytes as fast as the server takes them and then keeps
its connection open. Some go on with a byte at a time.
"""

import contextlib
import itertools
import selectors
import socket
import threading
import time

from teaseldale.platform.tests.store_process import (
    BODY_BYTES,
    HEADER_BYTES,
    ROUTE_HOST,
)

_PIECE_BYTES = 262_144
_SMALL_PIECE_BYTES = 1000
_CHUNK_BYTES = 16_384
_MISSING_BYTES = 100
# Clients stop when the server has taken nothing for this long, and at the
# latest after the longest time, so that a test stays short.
_STALL_SECONDS = 0.5
_LONGEST_SECONDS = 4
_SMALL_RECEIVE_BYTES = 4096
_ANSWER_BYTES = 1_000_000
_REQUESTS_BEFORE_BODY = 8
_SLOW_INTERVAL_SECONDS = 0.2  # between single bytes


class Client:
    """One connection and the bytes that it has still to send."""

    def __init__(self, address, pieces):
        self._pieces = iter(pieces)
        self._unsent = b''
        self.connection = socket.socket()
        self.connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _SMALL_RECEIVE_BYTES,
        )
        self.connection.setblocking(False)
        self.connection.connect_ex(address)

    def send(self):
        """Sends what fits; returns whether there is more to send."""
        if not self._unsent:
            self._unsent = next(self._pieces, b'')
        if not self._unsent:
            return False
        try:
            sent = self.connection.send(self._unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._unsent = self._unsent[sent:]
        return True


class Clients:
    """All connections of one kind of client."""

    def __init__(self):
        self._clients = []
        self._stop = threading.Event()
        self._slow = None

    def run(self, address, count, make_pieces):
        """Connects the clients and sends until nothing more is taken."""
        selector = selectors.DefaultSelector()
        for _ in range(count):
            client = Client(address, make_pieces())
            self._clients.append(client)
            selector.register(client.connection, selectors.EVENT_WRITE, client)
        end = time.monotonic() + _LONGEST_SECONDS
        with selector:
            while selector.get_map() and time.monotonic() < end:
                events = selector.select(_STALL_SECONDS)
                if not events:
                    return
                for key, _ in events:
                    if not key.data.send():
                        selector.unregister(key.fileobj)

    def wait_for_first_bytes(self, seconds):
        """Waits until each client has bytes to read, or was closed."""
        end = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for client in self._clients:
                selector.register(client.connection, selectors.EVENT_READ)
            while selector.get_map() and time.monotonic() < end:
                for key, _ in selector.select(_STALL_SECONDS):
                    selector.unregister(key.fileobj)

    def go_on(self, step):
        """Calls ``step`` with each connection again and again."""
        self._slow = threading.Thread(
            target=self._go_on,
            args=(step,),
            daemon=True,
        )
        self._slow.start()

    def _go_on(self, step):
        while not self._stop.wait(_SLOW_INTERVAL_SECONDS):
            for client in self._clients:
                # The VM may have closed the connection.
                with contextlib.suppress(OSError):
                    step(client.connection)

    def close(self):
        """Closes all connections."""
        self._stop.set()
        if self._slow is not None:
            self._slow.join()
        for client in self._clients:
            client.connection.close()


def _head(method, path, *lines):
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'host: {ROUTE_HOST}',
            'x-request-id: misbehaving',
            *lines,
            '\r\n',
        ),
    ).encode()


def _blocks(block, size_bytes):
    """Returns pieces that repeat ``block`` up to a size."""
    piece = block * max(1, _PIECE_BYTES // len(block))
    count, rest = divmod(size_bytes, len(piece))
    yield from itertools.repeat(piece, count)
    yield block * (rest // len(block))


def _unfinished(path, size_bytes=BODY_BYTES):
    yield _head('POST', path, f'content-length: {size_bytes}')
    yield from _blocks(b'x', size_bytes - _MISSING_BYTES)


def _small_pieces(path):
    yield _head('POST', path, 'content-length: 1000000')
    for _ in range(999):
        yield b'x' * _SMALL_PIECE_BYTES


def _chunked(path):
    yield _head('POST', path, 'transfer-encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (_CHUNK_BYTES, b'x' * _CHUNK_BYTES)
    yield from itertools.repeat(chunk, BODY_BYTES // _CHUNK_BYTES)


def _over_limit(path):
    yield from _unfinished(path, 4 * BODY_BYTES)


def _over_limit_chunked(path):
    yield from itertools.chain(_chunked(path), *(_chunked_rest(),) * 4)


def _chunked_rest():
    chunk = b'%x\r\n%s\r\n' % (_CHUNK_BYTES, b'x' * _CHUNK_BYTES)
    yield from itertools.repeat(chunk, BODY_BYTES // _CHUNK_BYTES)


def _short_headers(path):
    head = _head('POST', path, 'content-length: 10')
    left_bytes = HEADER_BYTES - len(head) - 20
    # A header counts with its colon, a space and its line ending.
    lines = b'a:b\r\n' * (left_bytes // 6)
    yield head[:-2] + lines + b'\r\n'
    yield b'x' * 9


def _extensions(path):
    yield _head('POST', path, 'transfer-encoding: chunked')
    yield b'1'
    yield from _blocks(b';a=b', BODY_BYTES)


def _trailers(path):
    yield _head('POST', path, 'transfer-encoding: chunked')
    yield b'0\r\n'
    yield from _blocks(b'a:b\r\n', BODY_BYTES)


def _endless_trailer(path):
    yield _head('POST', path, 'transfer-encoding: chunked')
    yield b'0\r\na:'
    yield from _blocks(b'b', BODY_BYTES)


def _pipelined(path):
    request = _head('GET', path, 'x-answer-bytes: 10000')
    yield from _blocks(request, 4_000_000)


def _unread_answer(path):
    yield _head('GET', path, f'x-answer-bytes: {_ANSWER_BYTES}')


def _half_head(path):
    yield _head('GET', path)[:-10]


def _old_version(path):
    head = _head('GET', path, f'x-answer-bytes: {_ANSWER_BYTES}')
    yield head.replace(b'HTTP/1.1', b'HTTP/1.0')


def _expecting(path):
    yield _head(
        'POST',
        path,
        f'content-length: {BODY_BYTES}',
        'expect: 100-continue',
    )


def _expecting_pieces(path):
    yield from _expecting(path)
    yield from _blocks(b'x', BODY_BYTES - _MISSING_BYTES)


def _upgrade(path):
    yield _head(
        'GET',
        path,
        'connection: upgrade',
        'upgrade: websocket',
        'sec-websocket-version: 13',
        'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==',
    )
    yield from _blocks(b'x', BODY_BYTES)


def _unfinished_behind_unread(path):
    request = _head('GET', path, f'x-answer-bytes: {_ANSWER_BYTES}')
    yield request * _REQUESTS_BEFORE_BODY
    yield from _unfinished(path)


def _requests_behind_unfinished(path):
    yield _head('POST', path, 'transfer-encoding: chunked')
    yield b'%x\r\n%s\r\n' % (_CHUNK_BYTES, b'x' * _CHUNK_BYTES)
    yield from _blocks(_head('GET', path), BODY_BYTES)


def _silent(path):
    return ()


def _send_byte(connection):
    connection.send(b'x')


def _read_byte(connection):
    connection.recv(1)


# How the clients of a kind go on; the others do nothing more.
SLOW_STEPS = {
    'bodies that go on byte by byte': _send_byte,
    'heads that go on byte by byte': _send_byte,
    'requests and read byte by byte': _read_byte,
}
# Number of connections and their bytes, by the kind of client.
KINDS = {
    'bodies in one piece that stop just short of the end': (60, _unfinished),
    'bodies in small pieces that stop short': (120, _small_pieces),
    'bodies in chunks without the last chunk': (60, _chunked),
    'bodies that go on byte by byte': (60, _unfinished),
    'bodies far over the limit': (60, _over_limit),
    'bodies in chunks far over the limit': (60, _over_limit_chunked),
    'very many short headers': (300, _short_headers),
    'very many chunk extensions': (60, _extensions),
    'very many short trailers': (60, _trailers),
    'an endless trailer': (60, _endless_trailer),
    'pipelined requests and read no answer': (40, _pipelined),
    'requests and read no answer': (300, _unread_answer),
    'requests and read byte by byte': (300, _unread_answer),
    'half a head': (700, _half_head),
    'heads that go on byte by byte': (700, _half_head),
    'requests of HTTP/1.0 and read no answer': (300, _old_version),
    'heads that expect 100-continue and no body': (300, _expecting),
    'bodies without waiting for 100-continue': (60, _expecting_pieces),
    'upgrades and further bytes': (60, _upgrade),
    'unfinished bodies behind unread answers': (
        60,
        _unfinished_behind_unread,
    ),
    'requests behind an unfinished body': (60, _requests_behind_unfinished),
    'nothing': (700, _silent),
}

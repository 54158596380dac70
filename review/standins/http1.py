"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio


class Request:
    """One request as read from a connection."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.target = target
        self.headers = headers  # list of (lower-case name, value)
        self.body = body
        self.reader = reader
        self.writer = writer

    def header(self, name):
        """Returns the first header of this name, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def value_of(headers, name):
    """Returns the first header of this name, or None."""
    for known, value in headers:
        if known == name:
            return value
    return None


async def read_chunks(reader, on_part=None):
    """Returns (body, whether the last chunk came)."""
    body = bytearray()
    while True:
        try:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return bytes(body), False
        if not size:
            return bytes(body), True
        body += part[:-2]
        if on_part:
            on_part(part[:-2])


async def serve(host, port, respond, backlog=256):
    """Serves requests; ``respond`` returns whether to keep the connection."""

    async def handle(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(' ', 2)
                length = int(value_of(headers, 'content-length') or 0)
                body = await reader.readexactly(length) if length else b''
                request = Request(method, target, headers, body, reader, writer)
                if not await respond(request):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(
        handle, host, port, backlog=backlog, limit=1 << 20
    )


def encode(status, headers, body):
    """Returns a whole response with its length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Answer:
    """What a client has seen of an answer."""

    def __init__(self):
        self.status = None  # None: no head came
        self.headers = []
        self.body = b''
        self.is_whole = False
        self.error = ''

    def header(self, name):
        """Returns the first header of this name, or None."""
        return value_of(self.headers, name)


async def call(
    host, port, method, target, headers=(), body=b'', timeout=10, on_part=None
):
    """Sends one request on a new connection and returns an ``Answer``."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 20
            )
            try:
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers]
                if body or method != 'GET':
                    lines.append(f'Content-Length: {len(body)}')
                writer.write(
                    '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
                )
                await _read_answer(reader, answer, on_part)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    return answer


async def _read_answer(reader, answer, on_part):
    while True:
        head = await read_head(reader)
        if head is None:
            answer.error = 'closed without an answer'
            return
        status = int(head[0].split(' ')[1])
        if status >= 200:
            break
    answer.status = status
    answer.headers = head[1]
    if 'chunked' in (answer.header('transfer-encoding') or ''):
        answer.body, answer.is_whole = await read_chunks(reader, on_part)
        return
    length = answer.header('content-length')
    if length is None:
        answer.body = await reader.read()
        answer.is_whole = True
        return
    answer.body = await reader.readexactly(int(length))
    answer.is_whole = True

"""Minimal HTTP/1.1 for the stand-ins and clients of the review."""

import asyncio


class Message:
    """Head and body of one request or response."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers  # list of (lower-case name, text)
        self.body = body

    def header(self, name):
        """Returns the first header with this lower-case name, or None."""
        return next(
            (text for known, text in self.headers if known == name), None
        )

    @property
    def method(self):
        """Method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def target(self):
        """Target of a request."""
        return self.first_line.split(' ')[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.first_line.split(' ')[1])


async def read_head(reader):
    """Returns a message without its body, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode('latin-1').split('\r\n')[:-2]
    pairs = [line.partition(':') for line in lines]
    headers = [(name.strip().lower(), text.strip()) for name, _, text in pairs]
    return Message(first_line, headers)


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its end."""
    size = int((await reader.readline()).split(b';')[0], 16)
    chunk = await reader.readexactly(size)
    await reader.readline()
    return chunk


async def read_body(reader, message):
    """Returns the whole body of a request."""
    if 'chunked' in (message.header('transfer-encoding') or ''):
        chunks = []
        while chunk := await read_chunk(reader):
            chunks.append(chunk)
        return b''.join(chunks)
    return await reader.readexactly(int(message.header('content-length') or 0))


def encode(first_line, headers, body=b''):
    """Returns the bytes of a message; ``headers`` are pairs of texts."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body

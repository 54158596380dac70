"""A caller that judges an answer by what it received alone."""

import asyncio

import attrs

from teaseldale.platform.tests.ends_fleet import HOST
from teaseldale.platform.tests.ends_runner import pieces_of

_TIMEOUT_SECONDS = 14
_BUFFER_BYTES = 16_384


@attrs.define(kw_only=True)
class Answer:
    """What a caller has received."""

    status: int = 0
    fields: dict[str, str] = attrs.Factory(dict)
    body: bytes = b''
    is_complete: bool = False  # by its framing


async def call(address, path, request_id, read_after_seconds=0):
    """Returns the answer to a request on a new connection."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                *address, limit=_BUFFER_BYTES
            )
            writer.write(
                f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 10000\r\n'
                f'Content-Length: {len(request_id)}\r\n\r\n'
                f'{request_id}'.encode()
            )
            await asyncio.sleep(read_after_seconds)
            await _read(reader, answer)
    except (OSError, TimeoutError, EOFError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read(reader, answer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    answer.status = int(first.split(' ')[1])
    answer.fields = dict(line.lower().split(': ', 1) for line in lines if line)
    if 'transfer-encoding' not in answer.fields:
        size = int(answer.fields.get('content-length', 0))
        await _read_bytes(reader, answer, size)
        answer.is_complete = 'content-length' in answer.fields
        return
    while size := int(await reader.readuntil(b'\r\n'), 16):
        await _read_bytes(reader, answer, size)
        await reader.readexactly(2)
    answer.is_complete = await reader.readexactly(2) == b'\r\n'


async def _read_bytes(reader, answer, size):
    while size:
        part = await reader.read(min(size, _BUFFER_BYTES))
        if not part:
            raise EOFError
        answer.body += part
        size -= len(part)


def judge(answer, path, request_id):
    """Returns 'whole', 'cut', a failure, or what must never be seen."""
    if answer.status != 200:
        return f'failed {answer.status}'
    expected = b''.join(pieces_of(path.rsplit('/', 1)[1], request_id))
    if answer.fields.get('x-request-id', request_id) != request_id:
        return 'foreign'
    if not answer.is_complete:
        return 'cut' if expected.startswith(answer.body) else 'foreign'
    if answer.body == expected:
        return 'whole'
    is_own = expected.startswith(answer.body)
    return 'shown as whole' if is_own else 'foreign'

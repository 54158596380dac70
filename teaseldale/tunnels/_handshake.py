"""Messages with which a VM asks another one for a tunnel to a runner.

They have the form of HTTP ``CONNECT`` requests and responses. After a response
with the status 200 the connection carries the bytes of the runner's connection.
To a VM that accepts chunks, they are sent in chunks as in an HTTP body: the
last chunk tells the end of the runner's connection from that of the relaying
VM. A VM that says so sends the last chunk only if it has examined that end and
found no fault.
"""

import enum
import re

import attrs

from teaseldale.upstreams import PeerAddress

# A head that is longer is not one of these messages.
MAX_HEAD_BYTES = 1024
HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
LAST_CHUNK = b'0\r\n\r\n'
_REQUEST = re.compile(rb'CONNECT ([0-9.]+):(\d{1,5}) HTTP/1\.1\r\n')
_RESPONSE = re.compile(rb'HTTP/1\.1 (\d{3}) ')
# Earlier builds ignore further headers, and neither send nor accept chunks.
_ACCEPTS_CHUNKS = b'TE: chunked\r\n'
_SENDS_CHUNKS = b'Transfer-Encoding: chunked\r\n'
# Builds before this one send a last chunk for any end.
_EXAMINES_ENDS = b'X-Last-Chunk: examined\r\n'


@enum.unique
class TunnelStatus(enum.IntEnum):
    """What became of a request for a tunnel."""

    OPEN = 200
    UNKNOWN_RUNNER = 404  # not registered at the relaying VM, or leaving
    REFUSED = 502  # the runner's host refused the connection
    # The VM drains, is full, has lost its own path or is to pause.
    NOT_TAKEN = 503
    UNANSWERED = 504  # nothing came from the runner's host in time


@attrs.frozen(kw_only=True)
class TunnelRequest:
    """A VM asks for a tunnel to the runner at ``address``."""

    address: PeerAddress
    accepts_chunks: bool = True


@attrs.frozen(kw_only=True)
class TunnelReply:
    """Answer to a request for a tunnel."""

    status: TunnelStatus
    sends_chunks: bool = False
    # Whether a last chunk says that the runner's response is complete.
    examines_ends: bool = False


def encode_request(request: TunnelRequest) -> bytes:
    """Returns an encoded request."""
    line = b'CONNECT %b:%d HTTP/1.1\r\n' % (
        request.address[0].encode(),
        request.address[1],
    )
    header = _ACCEPTS_CHUNKS if request.accepts_chunks else b''
    return line + header + _LINE_END


def decode_request(head: bytes) -> TunnelRequest:
    """Decodes a request; raises ``ValueError`` if it is malformed."""
    match = _REQUEST.match(head)
    if match is None:
        raise ValueError('not a request for a tunnel')
    return TunnelRequest(
        address=(match.group(1).decode(), int(match.group(2))),
        accepts_chunks=_ACCEPTS_CHUNKS in head,
    )


def encode_reply(reply: TunnelReply) -> bytes:
    """Returns an encoded answer."""
    line = b'HTTP/1.1 %d %b\r\n' % (reply.status, reply.status.name.encode())
    if reply.sends_chunks:
        line += _SENDS_CHUNKS
    if reply.examines_ends:
        line += _EXAMINES_ENDS
    return line + _LINE_END


def decode_reply(head: bytes) -> TunnelReply:
    """Decodes an answer; raises ``ValueError`` if it is malformed."""
    match = _RESPONSE.match(head)
    if match is None:
        raise ValueError('not an answer to a request for a tunnel')
    return TunnelReply(
        status=TunnelStatus(int(match.group(1))),
        sends_chunks=_SENDS_CHUNKS in head,
        examines_ends=_EXAMINES_ENDS in head,
    )


def encode_chunk(content: bytes) -> bytes:
    """Returns bytes of the runner as a chunk; ``content`` is not empty."""
    return b'%x\r\n%b\r\n' % (len(content), content)

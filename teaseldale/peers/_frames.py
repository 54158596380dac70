"""Frames, which batch calls and replies between two VM incarnations."""

import msgspec
import xxhash

from teaseldale.peers._codec import EncodedMessage, MalformedMessageError
from teaseldale.peers._identity import VmIdentity

FRAME_FORMAT = 1
HANDLER_FAILED_KIND = 'handler_failed'


class FrameItem(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A call, or the reply to the call with the same number."""

    number: int  # assigned by the caller, unique within its incarnation
    message: EncodedMessage


class Frame(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Payload of one socket message; later releases may append fields."""

    format: int
    sender_tag: int  # hash of the sending incarnation's key
    target_tag: int  # hash of the intended incarnation's key
    sender: VmIdentity | None  # omitted once the target has replied
    calls: tuple[FrameItem, ...]
    replies: tuple[FrameItem, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def identity_tag(identity: VmIdentity) -> int:
    """Returns the 64-bit hash that identifies an incarnation in frames."""
    return xxhash.xxh3_64_intdigest(identity.key.encode())


def encode_frame(frame: Frame) -> bytes:
    """Returns the MessagePack encoding of a frame."""
    return _encoder.encode(frame)


def decode_frame(encoded: bytes) -> Frame:
    """Returns the decoded frame.

    Raises ``MalformedMessageError`` for invalid bytes and for a frame format
    that this release does not support.
    """
    try:
        frame = _decoder.decode(encoded)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise MalformedMessageError(f'frame: {error}') from error
    if frame.format != FRAME_FORMAT:
        raise MalformedMessageError(
            f'frame format {frame.format} is not supported; '
            'the sender runs another release.',
        )
    return frame

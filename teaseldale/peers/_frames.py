"""Frames: batches of calls and replies between two incarnations."""

import msgspec
import xxhash

from teaseldale.peers._codec import EncodedMessage, MalformedMessageError
from teaseldale.peers._identity import VmIdentity

FRAME_FORMAT = 1
HANDLER_FAILED_KIND = 'handler_failed'


class FrameItem(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One call, or the reply to the call of the same number."""

    number: int  # chosen by the caller, unique within its incarnation
    message: EncodedMessage


class Frame(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one socket message holds; later releases may append fields."""

    format: int
    sender_tag: int  # hash of the sending incarnation's key
    target_tag: int  # hash of the key of the incarnation that is meant
    sender: VmIdentity | None  # left out once the target has answered
    calls: tuple[FrameItem, ...]
    replies: tuple[FrameItem, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def tag_of(identity: VmIdentity) -> int:
    """Returns the 64-bit hash by which frames name an incarnation."""
    return xxhash.xxh3_64_intdigest(identity.key.encode())


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame."""
    return _encoder.encode(frame)


def decode_frame(encoded: bytes) -> Frame:
    """Decodes a frame or raises ``MalformedMessageError``."""
    try:
        frame = _decoder.decode(encoded)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise MalformedMessageError(f'frame: {error}') from error
    if frame.format != FRAME_FORMAT:
        raise MalformedMessageError(
            f'frame format {frame.format} is unknown here; '
            'the sender runs another release.',
        )
    return frame

"""Encoding of typed messages: a kind, a version and a MessagePack body."""

from typing import Any

import attrs
import msgspec


class UnknownMessageError(ValueError):
    """A message of a kind or version that this release does not know."""


@attrs.frozen(kw_only=True)
class _Envelope:
    kind: str  # registered name of the message
    version: int  # version of the body's fields
    sender: bytes  # encoded VmIdentity
    body: bytes  # encoded message


class MessageCodec:
    """Encodes attrs classes that were registered under a kind."""

    def __init__(self) -> None:
        """Creates a codec that knows no message."""
        self._kinds: dict[type, tuple[str, int]] = {}
        self._types: dict[tuple[str, int], type] = {}

    def register(
        self,
        message_type: type,
        *,
        kind: str,
        version: int = 1,
    ) -> None:
        """Makes a message type known under ``kind`` and ``version``."""
        self._kinds[message_type] = (kind, version)
        self._types[kind, version] = message_type

    def encode(self, message: object, *, sender: bytes = b'') -> bytes:
        """Encodes a registered message."""
        kind, version = self._kinds[type(message)]
        return msgspec.msgpack.encode(
            _Envelope(
                kind=kind,
                version=version,
                sender=sender,
                body=msgspec.msgpack.encode(message),
            ),
        )

    def decode(self, encoded: bytes) -> tuple[Any, bytes]:
        """Returns the message and the encoded sender."""
        envelope = msgspec.msgpack.decode(encoded, type=_Envelope)
        message_type = self._types.get((envelope.kind, envelope.version))
        if message_type is None:
            raise UnknownMessageError(
                f'{envelope.kind} version {envelope.version} is unknown here; '
                'the sender runs another release.',
            )
        message: Any = msgspec.msgpack.decode(
            envelope.body,
            type=message_type,
        )
        return message, envelope.sender

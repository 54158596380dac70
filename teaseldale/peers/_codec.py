"""Encoding of typed messages as a kind, a version and a MessagePack body.

A message is encoded in the lowest version that can express its fields: a field
added later is declared with ``since`` and raises the version only if its value
differs from the default. A receiver rejects versions that it does not know, so
a field that must be obeyed is never silently dropped. Fields that may be
ignored are added without ``since``.
"""

from typing import Any, TypeVar

import attrs
import msgspec

_SINCE = 'since'
_FIRST_VERSION = 1
_FieldT = TypeVar('_FieldT')


class UnknownMessageError(ValueError):
    """The kind or version of a message is not known to this release."""


class MalformedMessageError(ValueError):
    """Bytes are not a valid message of their kind."""


class EncodedMessage(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    kw_only=True,
):
    """A message as sent on the wire; later releases may append fields."""

    kind: str  # registered name of the message
    version: int  # lowest version of the kind that can express the body
    body: bytes  # MessagePack map of the message's fields


@attrs.frozen(kw_only=True)
class _MessageKind:
    message_type: type
    kind: str
    version: int  # newest version that this release knows
    later_fields: tuple[tuple[str, int, object], ...]


def since(version: int, *, default: _FieldT) -> _FieldT:
    """Declares a message field that was added in ``version``.

    The default must mean the same as the absence of the field.
    """
    return attrs.field(default=default, metadata={_SINCE: version})


class MessageCodec:
    """Encodes and decodes attrs classes registered under a kind."""

    def __init__(self) -> None:
        """Creates a codec without registered messages."""
        self._by_type: dict[type, _MessageKind] = {}
        self._by_name: dict[str, _MessageKind] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def register(
        self,
        message_type: type,
        *,
        kind: str,
        version: int = _FIRST_VERSION,
    ) -> None:
        """Registers a message type as ``kind``, up to ``version``."""
        registered = _MessageKind(
            message_type=message_type,
            kind=kind,
            version=version,
            later_fields=_later_fields(message_type),
        )
        self._by_type[message_type] = registered
        self._by_name[kind] = registered

    def encode(self, message: object) -> EncodedMessage:
        """Encodes a registered message in the lowest version it needs."""
        registered = self._by_type[type(message)]
        return EncodedMessage(
            kind=registered.kind,
            version=_lowest_version(registered, message),
            body=self._encoder.encode(message),
        )

    def decode(self, encoded: EncodedMessage) -> Any:
        """Returns the decoded message; unknown fields are ignored.

        Raises ``UnknownMessageError`` for an unknown kind or version and
        ``MalformedMessageError`` for an invalid body.
        """
        registered = self._by_name.get(encoded.kind)
        if registered is None or not self._supports(
            registered, encoded.version
        ):
            raise UnknownMessageError(
                f'{encoded.kind} version {encoded.version} is unknown here; '
                'the sender runs another release.',
            )
        try:
            return msgspec.msgpack.decode(
                encoded.body,
                type=registered.message_type,
            )
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise MalformedMessageError(f'{encoded.kind}: {error}') from error

    def _supports(self, registered: _MessageKind, version: int) -> bool:
        return _FIRST_VERSION <= version <= registered.version


def _later_fields(message_type: type) -> tuple[tuple[str, int, object], ...]:
    if not attrs.has(message_type):
        return ()
    return tuple(
        (field.name, field.metadata[_SINCE], field.default)
        for field in attrs.fields(message_type)
        if _SINCE in field.metadata
    )


def _lowest_version(registered: _MessageKind, message: object) -> int:
    required_versions = [
        version
        for name, version, default in registered.later_fields
        if getattr(message, name) != default
    ]
    return max(required_versions, default=_FIRST_VERSION)

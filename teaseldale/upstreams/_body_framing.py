"""How the end of a response body is marked."""

import enum

from teaseldale.upstreams._wire_headers import WireHeaders


@enum.unique
class BodyFraming(enum.StrEnum):
    """Framing of a response body.

    The end of a connection alone does not show that a body is complete.
    """

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'  # ends with its connection


def framing_of(headers: WireHeaders) -> BodyFraming:
    """Returns the framing that the headers of a response announce."""
    names = {name for name, _ in headers}
    if b'transfer-encoding' in names:
        return BodyFraming.CHUNKS
    if b'content-length' in names:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION

"""Headers as they stand on a connection."""

# Lower-case names and contents, in the order of the message.
WireHeaders = tuple[tuple[bytes, bytes], ...]


def header_of(headers: WireHeaders, name: bytes) -> bytes | None:
    """Returns the first header of a lower-case ``name``."""
    for known, content in headers:
        if known == name:
            return content
    return None

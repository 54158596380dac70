"""Representation of HTTP headers on a connection."""

# Pairs of lower-case name and value, in message order.
WireHeaders = tuple[tuple[bytes, bytes], ...]


def header_of(headers: WireHeaders, name: bytes) -> bytes | None:
    """Returns the first value of the lower-case ``name``, or None."""
    for candidate, content in headers:
        if candidate == name:
            return content
    return None

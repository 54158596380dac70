"""Limits on the parts of a response that a parser accumulates or skips."""

import enum

import httpcore

_PART_LIMIT_BYTES = 65_536  # of a head, a chunk's extension, or the trailers
_HEADER_LIMIT = 256  # headers of one response
_SKIPPED_LIMIT_BYTES = 1_048_576  # of responses to other requests


@enum.unique
class ResponsePart(enum.StrEnum):
    """Part of a response that may exceed its limit."""

    HEAD = 'head'
    HEADERS = 'headers'
    CHUNK = 'chunk'
    SKIPPED = 'skipped bytes'


class OversizedResponseError(httpcore.RemoteProtocolError):
    """A part of a response exceeds its limit."""

    def __init__(self, *, part: ResponsePart, limit: str) -> None:
        """Records the part and its limit with the unit."""
        super().__init__(f'response exceeds {limit} ({part})')
        self.part = part


class ResponseSizes:
    """Counts the received bytes that have not become body data."""

    def __init__(self) -> None:
        """Starts before the first byte of a response."""
        self._part_bytes = 0  # since the last complete part
        self._skipped_bytes = 0
        self._header_count = 0

    def add_received(self, byte_count: int, *, has_head: bool) -> None:
        """Counts bytes before they are parsed."""
        self._part_bytes += byte_count
        if not has_head:
            self._skipped_bytes += byte_count

    def add_header(self) -> bool:
        """Counts a header; returns whether it is within the limit."""
        self._header_count += 1
        return self._header_count <= _HEADER_LIMIT

    def end_part(self) -> None:
        """Restarts the count of bytes at the end of a head or of body data."""
        self._part_bytes = 0

    def end_skipped_response(self) -> None:
        """Restarts the counts of a head after a response was skipped."""
        self._part_bytes = 0
        self._header_count = 0

    def find_excess(self, *, has_head: bool) -> OversizedResponseError | None:
        """Returns an error if a count exceeds its limit, or None."""
        if self._header_count > _HEADER_LIMIT:
            return OversizedResponseError(
                part=ResponsePart.HEADERS,
                limit=f'{_HEADER_LIMIT} lines',
            )
        if self._part_bytes > _PART_LIMIT_BYTES:
            return OversizedResponseError(
                part=ResponsePart.CHUNK if has_head else ResponsePart.HEAD,
                limit=f'{_PART_LIMIT_BYTES} bytes',
            )
        if not has_head and self._skipped_bytes > _SKIPPED_LIMIT_BYTES:
            return OversizedResponseError(
                part=ResponsePart.SKIPPED,
                limit=f'{_SKIPPED_LIMIT_BYTES} bytes',
            )
        return None

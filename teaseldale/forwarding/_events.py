"""Splits a server-sent event stream into complete events."""

import re

import attrs

from teaseldale.upstreams import check_partial_event

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_SEPARATOR_BYTES = 4  # longest separator of two events
# A line of an event; blank lines and comments belong to none.
_EVENT_LINE = re.compile(rb'^[^:\r\n]', re.MULTILINE)
_EVENT_ID = re.compile(rb'^id: ?(\d+)\s*$', re.MULTILINE)


class StreamOrderError(ValueError):
    """A resumed stream does not continue after the last delivered event."""


@attrs.define(kw_only=True)
class EventSplitter:
    """Splits received bytes into events and tracks their count and last id."""

    last_id: int | None = None  # of the events returned so far
    event_count: int = 0  # events with an id returned so far
    _buffer: bytearray = attrs.field(factory=bytearray, init=False)
    _requires_successor: bool = attrs.field(default=False, init=False)

    def feed(self, received: bytes) -> bytes:
        """Returns the bytes of all events that ``received`` completes.

        Raises ``StreamOrderError`` if a resumed stream skips or repeats
        events, and ``OversizedEventError`` if an event exceeds its limit.
        """
        # The buffer holds no whole separator, but it may end with a part.
        searched_bytes = max(0, len(self._buffer) - _SEPARATOR_BYTES + 1)
        self._buffer += received
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched_bytes):
            self._record_event_id(bytes(self._buffer[end : match.end()]))
            end = match.end()
        complete = bytes(self._buffer[:end])
        self._buffer = self._buffer[end:]
        check_partial_event(len(self._buffer))
        return complete

    def resume(self) -> None:
        """Drops a partial event; the next id must follow the last one."""
        self._buffer.clear()
        self._requires_successor = self.last_id is not None

    @property
    def partial_event_bytes(self) -> int:
        """Returns the size of an event whose end has not been received."""
        if _EVENT_LINE.search(self._buffer) is None:
            return 0
        return len(self._buffer)

    def take_remainder(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        return remainder

    def _record_event_id(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None:
            return
        event_id = int(match.group(1))
        if self._requires_successor and event_id != (self.last_id or 0) + 1:
            raise StreamOrderError(
                f'event {event_id} after event {self.last_id}'
            )
        self.last_id = event_id
        self.event_count += 1

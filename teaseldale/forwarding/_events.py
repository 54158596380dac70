"""Splits a server-sent event stream into complete events."""

import re

import attrs

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?(\d+)\s*$', re.MULTILINE)


class StreamOrderError(ValueError):
    """A resumed stream does not continue after the last delivered event."""


@attrs.define(kw_only=True)
class EventSplitter:
    """Buffers bytes, returns complete events, tracks count and last id."""

    last_id: int | None = None  # of the events returned so far
    event_count: int = 0  # events with an id returned so far
    _rest: bytearray = attrs.field(factory=bytearray, init=False)
    _must_follow: bool = attrs.field(default=False, init=False)

    def feed(self, received: bytes) -> bytes:
        """Returns the bytes of all events that ``received`` completes.

        Raises ``StreamOrderError`` if a resumed stream skips or repeats
        events.
        """
        self._rest += received
        end = 0
        for found in _EVENT_END.finditer(self._rest):
            self._take(bytes(self._rest[end : found.end()]))
            end = found.end()
        whole = bytes(self._rest[:end])
        self._rest = self._rest[end:]
        return whole

    def resume(self) -> None:
        """Drops a partial event; the next id must follow the last one."""
        self._rest.clear()
        self._must_follow = self.last_id is not None

    def take_rest(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def _take(self, event: bytes) -> None:
        found = _EVENT_ID.search(event)
        if found is None:
            return
        event_id = int(found.group(1))
        if self._must_follow and event_id != (self.last_id or 0) + 1:
            raise StreamOrderError(
                f'event {event_id} after event {self.last_id}'
            )
        self.last_id = event_id
        self.event_count += 1

"""Part of an answer's body that waits for the rest of it."""

from collections import deque
from collections.abc import Iterator
from types import TracebackType
from typing import Self

from teaseldale.memory import SMALL_BYTES, ByteBudget

# Answers up to this size are buffered until they are complete, so that a broken
# one can be replaced by a retry. Larger ones are streamed as they arrive.
_MOST_BYTES = 262_144


class BufferedBody:
    """Buffers a body and counts it as held bytes until the exit."""

    def __init__(self, *, held_bytes: ByteBudget) -> None:
        """Starts with an empty body."""
        self._held_bytes = held_bytes
        self._holding = held_bytes.hold()
        # Joining them would need the same number of bytes once more.
        self._parts: deque[bytes] = deque()
        self._size_bytes = 0

    def __enter__(self) -> Self:
        """Returns the buffer."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Releases the bytes."""
        self._holding.release()

    @property
    def is_full(self) -> bool:
        """Returns whether the body has to be sent before its end."""
        return self._size_bytes > _MOST_BYTES

    async def add(self, part: bytes) -> None:
        """Buffers a part.

        Once the body is large, waits until there is room for a full buffer,
        which is held to the end.
        """
        self._parts.append(part)
        self._size_bytes += len(part)
        if self._holding.size_bytes >= _MOST_BYTES:
            return
        self._holding.resize(self._size_bytes)
        if self._size_bytes > SMALL_BYTES:
            await self._held_bytes.wait_for_room()
            self._holding.resize(max(self._size_bytes, _MOST_BYTES))

    def take_parts(self) -> Iterator[bytes]:
        """Returns and removes the parts one by one."""
        while self._parts:
            part = self._parts.popleft()
            self._size_bytes -= len(part)
            yield part

    def take_all(self) -> bytes:
        """Returns and removes what is buffered."""
        return b''.join(self.take_parts())

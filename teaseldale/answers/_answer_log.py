"""Answer log of one request, with one writer and many readers."""

from collections.abc import AsyncIterator

import attrs

from teaseldale.answers._answer_text import AnswerText
from teaseldale.answers._stored_answer import StoredAnswer
from teaseldale.answers._wake_signal import WakeSignal
from teaseldale.outcomes import Refusal

WINDOW_BYTES = 16_384


@attrs.frozen(kw_only=True)
class AnswerPart:
    """A chunk of answer text."""

    offset: int  # number of tokens before this part
    token_count: int
    text: str


@attrs.define(kw_only=True, eq=False)
class _Reader:
    position_bytes: int = 0  # text passed to the reader
    offset: int = 0  # tokens passed to the reader


class AnswerLog:
    """Buffers the text of an answer; each reader starts at the beginning.

    The writer checks ``has_room`` after each part and waits if it is false.
    This back-pressure limits the backlog of the slowest reader to the window
    and one part.
    """

    def __init__(self, *, window_bytes: int = WINDOW_BYTES) -> None:
        """Creates an empty log; ``window_bytes`` limits the backlog."""
        self.stored: StoredAnswer | None = None  # set once it is complete
        self.refusal: Refusal | None = None  # set if the run failed
        self.output_tokens = 0  # tokens appended so far
        self._window_bytes = window_bytes
        self._text = AnswerText()
        self._readers: list[_Reader] = []
        self._changed = WakeSignal()
        self._consumed = WakeSignal()

    @classmethod
    def replayed(cls, stored: StoredAnswer) -> 'AnswerLog':
        """Creates the completed log of a stored answer."""
        answer = cls()
        answer.append(
            AnswerPart(
                offset=0,
                token_count=stored.output_tokens,
                text=stored.body.decode(errors='replace'),
            ),
        )
        answer.finish(stored)
        return answer

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.stored is not None or self.refusal is not None

    @property
    def size_bytes(self) -> int:
        """Length of the UTF-8 text appended so far."""
        return len(self._text)

    @property
    def memory_bytes(self) -> int:
        """Memory that the text occupies, after compression."""
        return self._text.memory_bytes

    @property
    def backlog_bytes(self) -> int:
        """Backlog of the slowest reader; 0 without readers."""
        if not self._readers:
            return 0
        return self.size_bytes - self._slowest_position()

    @property
    def has_room(self) -> bool:
        """Whether the backlog of the slowest reader is below the window."""
        return self.backlog_bytes < self._window_bytes

    def text(self) -> bytes:
        """Returns the UTF-8 text appended so far."""
        return self._text.read_from(0)

    def append(self, part: AnswerPart) -> None:
        """Appends a part and wakes the readers."""
        self._text.append(part.text)
        self.output_tokens = part.offset + part.token_count
        self._changed.wake()

    def finish(self, stored: StoredAnswer) -> None:
        """Completes the answer; ``stored`` holds its token counts."""
        self.stored = stored
        self._changed.wake()

    def fail(self, refusal: Refusal) -> None:
        """Fails the answer with a refusal."""
        self.refusal = refusal
        self._changed.wake()

    async def batches(self) -> AsyncIterator[list[AnswerPart]]:
        """Yields all text in order, in the largest batches available."""
        reader = _Reader()
        self._readers.append(reader)
        try:
            while True:
                batch = self._batch_for(reader)
                if batch:
                    yield batch
                    self._advance(reader, batch)
                elif self.ended:
                    return
                else:
                    await self._changed.wait()
        finally:
            self._readers.remove(reader)
            self._consumed.wake()

    async def wait_for_room(self) -> None:
        """Waits until the backlog is at most half of the window."""
        while self.backlog_bytes > self._window_bytes // 2:
            await self._consumed.wait()

    async def wait_for_start(self) -> None:
        """Waits until the answer has text or has ended."""
        while not (self.output_tokens or self.ended):
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Waits until the answer is complete or has failed."""
        while not self.ended:
            await self._changed.wait()

    def _batch_for(self, reader: _Reader) -> list[AnswerPart]:
        if reader.offset == self.output_tokens:
            return []
        return [
            AnswerPart(
                offset=reader.offset,
                token_count=self.output_tokens - reader.offset,
                text=self._text.read_from(reader.position_bytes).decode(),
            ),
        ]

    def _advance(self, reader: _Reader, batch: list[AnswerPart]) -> None:
        for part in batch:
            reader.position_bytes += len(part.text.encode())
            reader.offset += part.token_count
        self._text.compress_until(self._slowest_position())
        self._consumed.wake()

    def _slowest_position(self) -> int:
        return min(reader.position_bytes for reader in self._readers)

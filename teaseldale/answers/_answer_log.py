"""Answer of one request; one writer, any number of readers."""

from collections.abc import AsyncIterator

import anyio
import attrs

from teaseldale.answers._answer_text import AnswerText
from teaseldale.answers._stored_answer import StoredAnswer
from teaseldale.outcomes import Refusal

WINDOW_BYTES = 16_384


@attrs.frozen(kw_only=True)
class AnswerPart:
    """Text that was produced together."""

    offset: int  # tokens before this part
    token_count: int
    text: str


@attrs.define(kw_only=True, eq=False)
class _Reader:
    position_bytes: int = 0  # text handed out
    offset: int = 0  # tokens handed out


class AnswerLog:
    """Keeps the text of an answer; readers follow from the start.

    The writer asks ``has_room`` after each part and waits for room, so that
    the slowest reader is never further behind than the window and one part.
    """

    def __init__(self, *, window_bytes: int = WINDOW_BYTES) -> None:
        """Creates an empty answer."""
        self.stored: StoredAnswer | None = None  # set once complete
        self.refusal: Refusal | None = None  # set if the run failed
        self.output_tokens = 0  # tokens appended so far
        self._window_bytes = window_bytes
        self._text = AnswerText()
        self._readers: list[_Reader] = []
        self._changed = anyio.Event()
        self._read = anyio.Event()

    @classmethod
    def replayed(cls, stored: StoredAnswer) -> 'AnswerLog':
        """Creates the answer of a request that has ended earlier."""
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
        """Whether nothing more will be appended."""
        return self.stored is not None or self.refusal is not None

    @property
    def size_bytes(self) -> int:
        """Length of the text so far."""
        return len(self._text)

    @property
    def held_bytes(self) -> int:
        """Memory that the text takes now."""
        return self._text.held_bytes

    @property
    def unread_bytes(self) -> int:
        """How far the slowest reader is behind; 0 without readers."""
        if not self._readers:
            return 0
        return self.size_bytes - self._slowest_bytes()

    @property
    def has_room(self) -> bool:
        """Whether the slowest reader is within the window."""
        return self.unread_bytes < self._window_bytes

    def text(self) -> bytes:
        """Returns the whole text so far."""
        return self._text.read_from(0)

    def append(self, part: AnswerPart) -> None:
        """Adds a part and wakes the readers."""
        self._text.append(part.text)
        self.output_tokens = part.offset + part.token_count
        self._wake()

    def finish(self, stored: StoredAnswer) -> None:
        """Marks the answer as whole; its bill is in ``stored``."""
        self.stored = stored
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """Ends the answer with a refusal."""
        self.refusal = refusal
        self._wake()

    async def batches(self) -> AsyncIterator[list[AnswerPart]]:
        """Yields all text in order, as much at once as is there."""
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
            self._wake_writer()

    async def wait_for_room(self) -> None:
        """Returns when readers have read half of the window, or left."""
        while self.unread_bytes > self._window_bytes // 2:
            await self._read.wait()

    async def wait_for_start(self) -> None:
        """Returns when there is text, an end or a refusal."""
        while not (self.output_tokens or self.ended):
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Returns when the answer is whole or refused."""
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
        self._text.compress_until(self._slowest_bytes())
        self._wake_writer()

    def _slowest_bytes(self) -> int:
        return min(reader.position_bytes for reader in self._readers)

    def _wake(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    def _wake_writer(self) -> None:
        read = self._read
        self._read = anyio.Event()
        read.set()

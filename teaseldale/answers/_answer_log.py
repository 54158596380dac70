"""Answer of one request; one writer, any number of readers."""

from collections.abc import AsyncIterator

import anyio
import attrs

from teaseldale.answers._stored_answer import StoredAnswer
from teaseldale.outcomes import Refusal


@attrs.frozen(kw_only=True)
class AnswerPart:
    """Text that was produced together."""

    offset: int  # tokens before this part
    token_count: int
    text: str


class AnswerLog:
    """Keeps the parts of an answer; readers follow from the start."""

    def __init__(self) -> None:
        """Creates an empty answer."""
        self.parts: list[AnswerPart] = []
        self.stored: StoredAnswer | None = None  # set once complete
        self.refusal: Refusal | None = None  # set if the run failed
        self._changed = anyio.Event()

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
    def output_tokens(self) -> int:
        """Tokens appended so far."""
        if not self.parts:
            return 0
        return self.parts[-1].offset + self.parts[-1].token_count

    def append(self, part: AnswerPart) -> None:
        """Adds a part and wakes the readers."""
        self.parts.append(part)
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
        """Yields all parts in order, as many at once as are there."""
        position = 0
        while True:
            batch = self.parts[position:]
            position += len(batch)
            if batch:
                yield batch
            elif self.ended:
                return
            else:
                await self._changed.wait()

    async def wait_for_start(self) -> None:
        """Returns when there is a part, an end or a refusal."""
        while not (self.parts or self.ended):
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Returns when the answer is whole or refused."""
        while not self.ended:
            await self._changed.wait()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

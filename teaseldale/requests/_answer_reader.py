"""Handler for peers that read the answer of a request run on this VM."""

from collections.abc import Callable

from teaseldale.answers import AnswerLog, AnswerPart
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._intent_guard import IntentGuard
from teaseldale.requests._messages import ReadAnswer, ReadAnswerReply
from teaseldale.requests._records import RecordStore


class AnswerReader:
    """Serves in-progress and stored answers to peers."""

    def __init__(
        self,
        *,
        peers: BasePeerNetwork,
        find_running: Callable[[RequestIdentity], AnswerLog | None],
        store: RecordStore,
        guard: IntentGuard,
    ) -> None:
        """Registers the handler for ``ReadAnswer`` messages."""
        self._find_running = find_running
        self._store = store
        self._guard = guard
        peers.handle(
            ReadAnswer,
            kind='read_answer',
            reply_type=ReadAnswerReply,
            handler=self._read_answer,
        )

    async def _read_answer(
        self,
        _sender: VmIdentity,
        message: ReadAnswer,
    ) -> ReadAnswerReply:
        answer = self._find_running(message.request)
        if answer is None:
            return self._read_stored(message)
        return ReadAnswerReply(
            known=True,
            failed=answer.refusal is not None,
            cancelled_attempt='',
            parts=_remaining_parts(
                message, answer.text(), answer.output_tokens
            ),
            stored=answer.stored,
        )

    def _read_stored(self, message: ReadAnswer) -> ReadAnswerReply:
        record = self._store.find(message.request)
        if record is None or record.stored is None:
            return ReadAnswerReply(
                known=False,
                failed=True,
                cancelled_attempt=self._guard.cancelled_attempt(
                    message.request
                ),
                parts=(),
                stored=None,
            )
        return ReadAnswerReply(
            known=True,
            failed=False,
            cancelled_attempt='',
            parts=_remaining_parts(
                message,
                record.stored.body,
                record.stored.output_tokens,
            ),
            stored=record.stored,
        )


def _remaining_parts(
    message: ReadAnswer,
    body: bytes,
    output_tokens: int,
) -> tuple[AnswerPart, ...]:
    if output_tokens <= message.offset:
        return ()
    text = body.decode(errors='replace')
    part = AnswerPart(
        offset=message.offset,
        token_count=output_tokens - message.offset,
        text=text[message.character_count :],
    )
    return (part,)

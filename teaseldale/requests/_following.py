"""Polling of an answer that another VM produces."""

from teaseldale.answers import AnswerLog
from teaseldale.clock import BaseClock
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._messages import ReadAnswer, ReadAnswerReply
from teaseldale.requests._refusals import runner_lost

_POLL_MS = 100
_TIMEOUT_MS = 800
_FAILURE_LIMIT = 3


class AnswerFollower:
    """Polls a peer and copies its answer into a local answer log."""

    def __init__(self, *, peers: BasePeerNetwork, clock: BaseClock) -> None:
        """Sends requests through the links of ``peers``."""
        self._peers = peers
        self._clock = clock

    async def follow(
        self,
        peer: VmIdentity,
        request: RequestIdentity,
        answer: AnswerLog,
    ) -> None:
        """Finishes ``answer``, or fails it if the peer is lost."""
        failures = 0
        while not answer.ended:
            reply = await self._read(peer, request, answer)
            if reply is None:
                failures += 1
                if failures == _FAILURE_LIMIT:
                    answer.fail(runner_lost(peer.key))
                    return
            else:
                failures = 0
                _apply_reply(answer, reply, peer)
            if not answer.ended:
                await self._clock.sleep_ms(_POLL_MS)

    async def read_once(
        self,
        peer: VmIdentity,
        request: RequestIdentity,
    ) -> ReadAnswerReply | None:
        """Returns the peer's reply, or None if the peer is unreachable."""
        return await self._read(peer, request, AnswerLog())

    async def _read(
        self,
        peer: VmIdentity,
        request: RequestIdentity,
        answer: AnswerLog,
    ) -> ReadAnswerReply | None:
        message = ReadAnswer(
            request=request,
            offset=answer.output_tokens,
            character_count=len(answer.text().decode()),
        )
        try:
            reply: ReadAnswerReply = await self._peers.request(
                peer,
                message,
                timeout_ms=_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return None
        return reply


def _apply_reply(
    answer: AnswerLog, reply: ReadAnswerReply, peer: VmIdentity
) -> None:
    for part in reply.parts:
        answer.append(part)
    if reply.stored is not None:
        answer.finish(reply.stored)
    elif reply.failed or not reply.known:
        answer.fail(runner_lost(peer.key))

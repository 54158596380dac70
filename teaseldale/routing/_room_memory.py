"""Memory that requests at a brittle runner need."""

from collections.abc import Iterable

from teaseldale.routing._room_client import RoomClient
from teaseldale.routing._room_messages import WaitingStart


def tokens_in_use(clients: Iterable[RoomClient], *more: WaitingStart) -> int:
    """Returns the tokens of all held permits and of more starts.

    A part that several prompts share counts once.
    """
    parts: dict[str, int] = {}
    own_tokens = sum(start.own_tokens for start in more)
    for client in clients:
        own_tokens += client.own_tokens
        parts.update(client.part_tokens())
    for start in more:
        parts.update(
            (part.part_id, part.token_count) for part in start.shared_parts
        )
    return own_tokens + sum(parts.values())


def exceeds(memory_tokens: int, start: WaitingStart) -> bool:
    """Returns whether a start does not even fit into an empty runner.

    ``memory_tokens`` is 0 if it is unknown.
    """
    return 0 < memory_tokens < tokens_in_use((), start)

"""Identity, priority and deadline from the head of a request."""

import uuid

import attrs
import xxhash

from teaseldale.notes import ClientAccount, Route
from teaseldale.requests import RequestIdentity
from teaseldale.web import Exchange

KEY_HEADER = b'idempotency-key'
_PRIORITY_HEADER = b'x-teaseldale-priority'
_DEADLINE_HEADER = b'x-teaseldale-deadline-ms'
_LOWEST_PRIORITY = 9
_MAX_DEADLINE_MS = 3_600_000
_MAX_KEY_CHARACTERS = 200
_UNDECODABLE = '\N{REPLACEMENT CHARACTER}'


class WrongHeaderError(ValueError):
    """The path or a header of the request is invalid; the text says why."""


@attrs.frozen(kw_only=True)
class Arrival:
    """Validated head of one request."""

    request: RequestIdentity
    has_caller_key: bool  # the caller sent it, so it may be a retry
    priority: int  # 0 is the highest
    deadline_ms: int | None  # duration; None if the caller sent none

    def duration_ms(self, route: Route) -> int:
        """Returns the time-out of the answer."""
        return self.deadline_ms or route.deadline_ms


def read_arrival(exchange: Exchange, account: ClientAccount) -> Arrival:
    """Parses the headers; raises ``WrongHeaderError``."""
    key = exchange.header(KEY_HEADER)
    if key is not None:
        _check_key(key)
    deadline_ms = _parse_number(exchange, _DEADLINE_HEADER, _MAX_DEADLINE_MS)
    if deadline_ms == 0:
        raise WrongHeaderError('x-teaseldale-deadline-ms must be above 0')
    priority = _parse_number(exchange, _PRIORITY_HEADER, _LOWEST_PRIORITY)
    return Arrival(
        request=RequestIdentity(
            client_account=account.name,
            key=key or uuid.uuid4().hex,
        ),
        has_caller_key=key is not None,
        priority=max(account.priority, priority or 0),
        deadline_ms=deadline_ms,
    )


def check_path(path: str) -> None:
    """Raises ``WrongHeaderError`` for a path with ambiguous meaning."""
    if _UNDECODABLE in path:
        raise WrongHeaderError('the path is not UTF-8')
    parts = path.split('/')
    if '.' in parts or '..' in parts:
        raise WrongHeaderError('the path has "." or ".." as a part')


def request_digest(exchange: Exchange, content: bytes) -> str:
    """Returns a hash of the request that detects reuse of its key."""
    hashed = xxhash.xxh3_128(exchange.method.encode())
    hashed.update(exchange.target)
    hashed.update(content)
    return hashed.hexdigest()


def _check_key(key: str) -> None:
    if not (key.isascii() and key.isprintable() and ' ' not in key):
        raise WrongHeaderError(
            'idempotency-key must be printable ASCII without spaces',
        )
    if not 1 <= len(key) <= _MAX_KEY_CHARACTERS:
        raise WrongHeaderError(
            f'idempotency-key must have 1 to {_MAX_KEY_CHARACTERS} characters',
        )


def _parse_number(exchange: Exchange, name: bytes, maximum: int) -> int | None:
    text = exchange.header(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()) or int(text) > maximum:
        raise WrongHeaderError(
            f'{name.decode()} must be a whole number up to {maximum}',
        )
    return int(text)

"""Routing table of HTTP endpoints, which the services register."""

from collections.abc import Awaitable, Callable

import attrs

from teaseldale.web._exchange import Exchange

_NAME_PLACEHOLDER = '{name}'
_SEPARATOR = '/'


@attrs.frozen(kw_only=True)
class EndpointCall:
    """A request to an endpoint and the parameter of its path."""

    exchange: Exchange
    name: str = ''  # path segment that matched "{name}"

    def query(self, name: str, default: str = '') -> str:
        """Returns the first query parameter ``name``, or ``default``."""
        return self.exchange.query(name, default)

    async def body(self, limit_bytes: int) -> bytes:
        """Returns the complete request body.

        Raises ``BodyTooLargeError`` above ``limit_bytes`` and
        ``CallerGoneError`` if the caller disconnects first.
        """
        return await self.exchange.body(limit_bytes)


# Returns a document to be sent as JSON, or a ``Refusal``; None if the responder
# has sent the response of the exchange itself.
Responder = Callable[[EndpointCall], Awaitable[object]]
_PathParts = tuple[str, ...]


@attrs.frozen(kw_only=True)
class EndpointMatch:
    """The endpoint that matches a request."""

    responder: Responder
    name: str  # path segment that matched "{name}", or empty


class EndpointTable:
    """Endpoints by method and path; a path may contain one ``{name}``."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._responders: dict[tuple[str, _PathParts], Responder] = {}

    def add(self, method: str, path: str, responder: Responder) -> None:
        """Registers ``responder``; raises ``ValueError`` for a duplicate."""
        key = (method, tuple(path.split(_SEPARATOR)))
        if key in self._responders:
            raise ValueError(f'{method} {path} is registered already.')
        self._responders[key] = responder

    def find(self, method: str, path: str) -> EndpointMatch | None:
        """Returns the endpoint of a request, or None.

        A literal path takes precedence over one with ``{name}``.
        """
        parts = tuple(path.split(_SEPARATOR))
        responder = self._responders.get((method, parts))
        if responder is not None:
            return EndpointMatch(responder=responder, name='')
        return self._find_named(method, parts)

    def _find_named(
        self,
        method: str,
        parts: _PathParts,
    ) -> EndpointMatch | None:
        for index, name in enumerate(parts):
            pattern = (*parts[:index], _NAME_PLACEHOLDER, *parts[index + 1 :])
            responder = self._responders.get((method, pattern))
            if responder is not None and name:
                return EndpointMatch(responder=responder, name=name)
        return None

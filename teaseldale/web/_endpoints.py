"""Table of endpoints by method and path, filled by the services."""

from collections.abc import Awaitable, Callable

import attrs

from teaseldale.web._exchange import Exchange

_NAME_PLACE = '{name}'
_SEPARATOR = '/'


@attrs.frozen(kw_only=True)
class EndpointCall:
    """One call of an endpoint."""

    exchange: Exchange
    name: str = ''  # what stands in the path in place of "{name}"

    def query(self, name: str, default: str = '') -> str:
        """Returns the first query parameter called ``name``."""
        return self.exchange.query(name, default)

    async def body(self, limit_bytes: int) -> bytes:
        """Reads the whole body or raises ``BodyTooLargeError``."""
        return await self.exchange.body(limit_bytes)


# Returns a document to be sent as JSON, or a ``Refusal``. A responder that
# has answered the exchange itself returns None.
Responder = Callable[[EndpointCall], Awaitable[object]]
_PathParts = tuple[str, ...]


@attrs.frozen(kw_only=True)
class FoundEndpoint:
    """An endpoint that matches a path."""

    responder: Responder
    name: str  # what stands in place of "{name}"


class EndpointTable:
    """Endpoints by method and path; a path may hold one ``{name}``."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._responders: dict[tuple[str, _PathParts], Responder] = {}

    def add(self, method: str, path: str, responder: Responder) -> None:
        """Registers ``responder``; raises ``ValueError`` if it is taken."""
        key = (method, tuple(path.split(_SEPARATOR)))
        if key in self._responders:
            raise ValueError(f'{method} {path} is registered already.')
        self._responders[key] = responder

    def find(self, method: str, path: str) -> FoundEndpoint | None:
        """Returns the endpoint of a request; whole paths go first."""
        parts = tuple(path.split(_SEPARATOR))
        responder = self._responders.get((method, parts))
        if responder is not None:
            return FoundEndpoint(responder=responder, name='')
        return self._find_named(method, parts)

    def _find_named(
        self,
        method: str,
        parts: _PathParts,
    ) -> FoundEndpoint | None:
        for place, name in enumerate(parts):
            pattern = (*parts[:place], _NAME_PLACE, *parts[place + 1 :])
            responder = self._responders.get((method, pattern))
            if responder is not None and name:
                return FoundEndpoint(responder=responder, name=name)
        return None

"""HTTP server shared by the caller, operator and stand-in interfaces."""

from teaseldale.web._client_connections import (
    ClientConnections,
    reserved_clients,
)
from teaseldale.web._client_limits import ClientLimits, connection_count_of
from teaseldale.web._endpoints import (
    EndpointCall,
    EndpointMatch,
    EndpointTable,
    Responder,
)
from teaseldale.web._exchange import (
    BodyTooLargeError,
    CallerGoneError,
    Exchange,
    NoRoomError,
)
from teaseldale.web._head_limits import HeadLimits
from teaseldale.web._refusal_answer import refusal_body
from teaseldale.web._server import EmbeddedServer

__all__ = (
    'BodyTooLargeError',
    'CallerGoneError',
    'ClientConnections',
    'ClientLimits',
    'EmbeddedServer',
    'EndpointCall',
    'EndpointTable',
    'Exchange',
    'EndpointMatch',
    'HeadLimits',
    'NoRoomError',
    'Responder',
    'connection_count_of',
    'refusal_body',
    'reserved_clients',
)

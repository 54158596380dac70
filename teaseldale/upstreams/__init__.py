"""Clients of model engines and plain services."""

from teaseldale.upstreams._clients import (
    BaseEngineClient,
    BaseServiceClient,
    EngineCall,
    EngineFinished,
    ServiceAnswer,
    ServiceCall,
    UpstreamError,
)
from teaseldale.upstreams._http_engine import (
    HttpEngineClient,
    UpstreamRejectedError,
)
from teaseldale.upstreams._http_service import HttpServiceClient
from teaseldale.upstreams._network_backend import StreamNetworkBackend

__all__ = (
    'BaseEngineClient',
    'BaseServiceClient',
    'EngineCall',
    'EngineFinished',
    'HttpEngineClient',
    'HttpServiceClient',
    'ServiceAnswer',
    'ServiceCall',
    'StreamNetworkBackend',
    'UpstreamError',
    'UpstreamRejectedError',
)

"""Request registry: one key, one run, one bill."""

from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._registry import (
    AttachedAnswer,
    BaseRequestRegistry,
    OpenedRequest,
)
from teaseldale.requests._table_registry import TableRequestRegistry

__all__ = (
    'AttachedAnswer',
    'BaseRequestRegistry',
    'OpenedRequest',
    'RequestIdentity',
    'TableRequestRegistry',
)

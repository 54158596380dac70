"""Tagged outcomes: refusals and failures that carry their step and peer."""

from teaseldale.outcomes._errors import PeerUnreachableError, PlatformError
from teaseldale.outcomes._refusal import Refusal, RefusalCode
from teaseldale.outcomes._step import Step

__all__ = (
    'PeerUnreachableError',
    'PlatformError',
    'Refusal',
    'RefusalCode',
    'Step',
)

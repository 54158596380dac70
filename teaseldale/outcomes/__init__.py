"""Refusals and exceptions that carry the step and peer of a failure."""

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

"""Version moves: which version serves a request, and on what evidence."""

from teaseldale.moves._assignment import (
    BaseVersionAssignment,
    EvidenceSample,
    InForceVersion,
)

__all__ = ('BaseVersionAssignment', 'EvidenceSample', 'InForceVersion')

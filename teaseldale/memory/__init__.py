"""Bound on the bytes that a process holds for callers, runners and VMs."""

from teaseldale.memory._byte_budget import (
    SMALL_BYTES,
    ByteBudget,
    Holding,
    budget_bytes_of,
)

__all__ = (
    'SMALL_BYTES',
    'ByteBudget',
    'Holding',
    'budget_bytes_of',
)

"""Requests whose responses are collected, within limits."""

from teaseldale.fetching._fetch import (
    FetchedResponse,
    FetchLimits,
    OversizedBodyError,
    fetch,
)

__all__ = (
    'FetchLimits',
    'FetchedResponse',
    'OversizedBodyError',
    'fetch',
)

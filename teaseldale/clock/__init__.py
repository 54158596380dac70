"""Millisecond clocks: the type that every part reads time from."""

from teaseldale.clock._clock import STARTED_MS, BaseClock, SystemClock

__all__ = ('STARTED_MS', 'BaseClock', 'SystemClock')

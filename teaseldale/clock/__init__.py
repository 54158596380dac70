"""Millisecond clocks: the interface through which all code reads the time."""

from teaseldale.clock._clock import STARTED_MS, BaseClock, SystemClock

__all__ = ('STARTED_MS', 'BaseClock', 'SystemClock')

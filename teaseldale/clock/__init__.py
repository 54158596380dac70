"""Millisecond clocks: the interface through which all code reads the time."""

from teaseldale.clock._clock import PROCESS_START_MS, BaseClock, SystemClock

__all__ = ('PROCESS_START_MS', 'BaseClock', 'SystemClock')

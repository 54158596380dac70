"""Millisecond clocks: the type that every part reads time from."""

from teaseldale.clock._clock import BaseClock, SystemClock

__all__ = ('BaseClock', 'SystemClock')

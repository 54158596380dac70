"""Structured log lines on changes of state."""

from teaseldale.logs._logs import LogFormat, StateLog, make_log_handler

__all__ = ('LogFormat', 'StateLog', 'make_log_handler')

"""Structured logging of state changes, bounded in rate and memory."""

from teaseldale.logs._logs import LogFormat, StateLog, make_log_handler

__all__ = ('LogFormat', 'StateLog', 'make_log_handler')

"""HTTP interface for callers, and the execution of their requests."""

from teaseldale.entry._callers import CallersInterface
from teaseldale.entry._completion import CompletionRunner
from teaseldale.entry._dependencies import RequestDependencies

__all__ = ('CallersInterface', 'CompletionRunner', 'RequestDependencies')

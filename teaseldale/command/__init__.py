"""The command line ``teaseldale``."""

from teaseldale.command._main import main

__all__ = ('main',)

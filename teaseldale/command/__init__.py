"""Command-line interface ``teaseldale``."""

from teaseldale.command._start import main

__all__ = ('main',)

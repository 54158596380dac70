"""Hooks of behave: everything started for a scenario is stopped after it."""

import contextlib


def before_scenario(context, scenario):
    """Gives each scenario a stack of things to close."""
    context.cleanup = contextlib.ExitStack()


def after_scenario(context, scenario):
    """Closes what the scenario opened."""
    context.cleanup.close()

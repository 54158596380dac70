"""behave hooks that release the resources of each scenario after it."""

import contextlib


def before_scenario(context, scenario):
    """Creates the exit stack on which steps register their resources."""
    context.cleanup = contextlib.ExitStack()


def after_scenario(context, scenario):
    """Closes the resources that the scenario has registered."""
    context.cleanup.close()

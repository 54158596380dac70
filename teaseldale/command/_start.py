"""Start of the program: imports what the command needs."""

import importlib
import sys

_NODE = ['node']


def main() -> None:
    """Runs the command line; exits with 0, 1 (failed) or 2 (wrong use).

    A VM that starts again imports nothing of the other commands, and serves
    that much earlier.
    """
    is_node = sys.argv[1:] == _NODE
    name = '_node_command' if is_node else '_main'
    importlib.import_module(f'teaseldale.command.{name}').main()

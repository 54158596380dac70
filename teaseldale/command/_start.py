"""Program entry point, which imports only the modules of the command."""

import importlib
import sys

_NODE_ARGUMENTS = ['node']


def main() -> None:
    """Runs a command; exits with 0, 1 (failed) or 2 (usage error).

    The ``node`` command does not import the modules of other commands, which
    shortens the time until a restarted VM serves requests.
    """
    is_node = sys.argv[1:] == _NODE_ARGUMENTS
    name = '_node_command' if is_node else '_main'
    importlib.import_module(f'teaseldale.command.{name}').main()

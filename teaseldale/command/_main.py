"""Entry point of the command line."""

import functools
import sys

import anyio
import fire
import msgspec

from teaseldale import VERSION
from teaseldale.command._event_loop import run_until_signal
from teaseldale.command._fleet import BudgetCommands, NoteCommands
from teaseldale.command._operators_client import CommandFailedError
from teaseldale.command._program import build_kernel
from teaseldale.command._standins import StandinCommands
from teaseldale.logs import make_log_handler
from teaseldale.settings import Settings, SettingsError, load_settings

_EXIT_FAILED = 1


class Commands:
    """Router fleet that spends prepaid token budgets."""

    def __init__(self) -> None:
        """Creates the groups of commands."""
        self.note = NoteCommands()
        self.budget = BudgetCommands()
        self.standin = StandinCommands()

    def serve(self, *, settings: str) -> None:
        """Runs one VM with the settings file SETTINGS."""
        loaded = load_settings(settings)
        handler = make_log_handler(loaded.logs.format, loaded.vm.name)
        with handler.applicationbound():
            run_until_signal(functools.partial(_serve, loaded))

    def check(self, *, settings: str) -> str:
        """Checks the settings file SETTINGS and lists every mistake."""
        load_settings(settings)
        return 'settings are right'

    def version(self) -> str:
        """Prints the version of the program."""
        return VERSION


def main() -> None:
    """Runs the command line; exits with 0, 1 (failed) or 2 (wrong use)."""
    try:
        fire.Fire(Commands, name='teaseldale', serialize=_printable)
    except (SettingsError, CommandFailedError) as error:
        print(error, file=sys.stderr)  # noqa: WPS421
        sys.exit(_EXIT_FAILED)


async def _serve(settings: Settings, shutdown: anyio.Event) -> None:
    await build_kernel(settings, shutdown).run(shutdown)


def _printable(outcome: object) -> object:
    if isinstance(outcome, dict | list):
        return msgspec.json.format(msgspec.json.encode(outcome)).decode()
    return outcome

"""Command-line interface with all commands."""

import contextlib
import functools
import sys
from typing import Any

import anyio
import attrs
import fire
import msgspec

from teaseldale import VERSION
from teaseldale.command._account_tokens import account_seconds
from teaseldale.command._causes import find_causes
from teaseldale.command._configuration_check import (
    ConfigurationReport,
    check_configuration_file,
)
from teaseldale.command._event_loop import run_until_signal
from teaseldale.command._exits import (
    EXIT_FAILED,
    EXIT_USAGE_ERROR,
    exit_on_expected_errors,
    exit_with,
)
from teaseldale.command._explain import build_timeline
from teaseldale.command._fleet import (
    BudgetCommands,
    FleetCommands,
    MoveCommands,
    NoteCommands,
)
from teaseldale.command._load import run_load
from teaseldale.command._log_lines import read_lines
from teaseldale.command._node_command import run_node
from teaseldale.command._program import build_kernel
from teaseldale.command._standins import StandinCommands
from teaseldale.command._usage import UsageError, string_argument
from teaseldale.logs import make_log_handler
from teaseldale.settings import Settings, load_settings

_USAGE = 'Usage: teaseldale COMMAND --help lists the arguments of a command.'


class Commands:
    """Router fleet that spends prepaid token budgets."""

    def __init__(self) -> None:
        """Creates the command groups."""
        self.note = NoteCommands
        self.budget = BudgetCommands
        self.move = MoveCommands
        self.standin = StandinCommands()
        self.load = run_load

    def serve(self, *, settings: str) -> None:
        """Runs one VM with the settings file at path SETTINGS."""
        loaded = load_settings(string_argument(settings, '--settings'))
        handler = make_log_handler(loaded.logs.format, loaded.vm.name)
        with contextlib.closing(handler), handler.applicationbound():
            run_until_signal(functools.partial(_serve, loaded))

    def node(self) -> None:
        """Runs one VM with the settings file given in the environment."""
        run_node()

    @fire.decorators.SetParseFns(  # type: ignore[untyped-decorator]
        str,
        request=str,
    )
    def explain(
        self,
        request: str,
        *paths: str,
        json: bool = False,
    ) -> object:
        """Prints the timeline of REQUEST from log files or standard input."""
        timeline = build_timeline(str(request), read_lines(map(str, paths)))
        return timeline.document() if json else timeline.render()

    @fire.decorators.SetParseFns(  # type: ignore[untyped-decorator]
        str,
        account=str,
    )
    def explain_account(self, account: str, *paths: str) -> object:
        """Prints where the tokens of ACCOUNT were, by second, from logs."""
        seconds = account_seconds(str(account), read_lines(map(str, paths)))
        return [attrs.asdict(second) for second in seconds]

    def causes(self, *paths: str) -> object:
        """Counts failed requests by cause from log files or standard input."""
        return find_causes(read_lines(map(str, paths))).document()

    def check(self, *, settings: str) -> str:
        """Validates the settings file at path SETTINGS; lists all errors."""
        load_settings(string_argument(settings, '--settings'))
        return 'settings are right'

    @fire.decorators.SetParseFns(  # type: ignore[untyped-decorator]
        file=str,
    )
    def check_configuration(
        self,
        file: str,
        *,
        against: str | None = None,
        json: bool = False,
    ) -> ConfigurationReport:
        """Checks FILE, a release note or a configuration.

        Exits with 1 if something is found. With AGAINST, another such file,
        the differences from it are printed as well.
        """
        other = against
        if other is not None:
            other = string_argument(against, '--against')
        return check_configuration_file(file, other, is_json=json)

    def version(self) -> str:
        """Prints the version of teaseldale."""
        return VERSION


def main() -> None:
    """Runs a command; exits with 0, 1 (failed) or 2 (usage error)."""
    with exit_on_expected_errors():
        try:
            outcome = fire.Fire(
                Commands, name='teaseldale', serialize=_to_printable
            )
        except UsageError as error:
            exit_with(f'{error}\n{_USAGE}', EXIT_USAGE_ERROR)
    if isinstance(outcome, ConfigurationReport) and outcome.checked.findings:
        sys.exit(EXIT_FAILED)


async def _serve(settings: Settings, shutdown: anyio.Event) -> None:
    await build_kernel(settings, shutdown).run(shutdown)


def _to_printable(outcome: Any) -> Any:
    if isinstance(outcome, Commands | StandinCommands | FleetCommands | type):
        raise UsageError('Name a command of this group.')
    if isinstance(outcome, ConfigurationReport):
        return outcome.render()
    if isinstance(outcome, dict | list):
        return msgspec.json.format(msgspec.json.encode(outcome)).decode()
    return outcome

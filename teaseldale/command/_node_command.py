"""Command that runs one VM on the platform."""

import contextlib
import functools
import sys

import anyio

from teaseldale.command._event_loop import run_until_signal
from teaseldale.command._exits import exit_on_expected_errors
from teaseldale.command._node_program import build_node_kernel, settings_path
from teaseldale.forwarding import NodeSettings
from teaseldale.logs import LogFormat, make_log_handler
from teaseldale.platform import read_settings_file


def main() -> None:
    """Runs a VM until SIGTERM or SIGINT; exits with 1 if it fails."""
    with exit_on_expected_errors():
        run_node()


def run_node() -> None:
    """Runs a VM with the settings file given in the environment."""
    loaded = read_settings_file(settings_path())
    handler = make_log_handler(
        LogFormat.JSON,
        loaded.name,
        stream=sys.stdout.buffer,
    )
    with contextlib.closing(handler), handler.applicationbound():
        run_until_signal(functools.partial(_serve, loaded))


async def _serve(settings: NodeSettings, shutdown: anyio.Event) -> None:
    await build_node_kernel(settings).run(shutdown)

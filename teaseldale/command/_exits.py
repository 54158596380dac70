"""Exit statuses and reporting of expected errors without a traceback."""

import contextlib
import sys
from collections.abc import Iterator
from typing import NoReturn

from teaseldale.command._usage import CommandFailedError
from teaseldale.settings import SettingsError

EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
_EXPECTED_ERRORS = (SettingsError, CommandFailedError, OSError)


@contextlib.contextmanager
def exit_on_expected_errors() -> Iterator[None]:
    """Exits with status 1 and the message of an expected error.

    Other exceptions propagate. Of an exception group only the first expected
    error is reported.
    """
    try:
        yield
    except _EXPECTED_ERRORS as error:
        exit_with(str(error), EXIT_FAILED)
    except ExceptionGroup as group:
        expected_errors = group.subgroup(_EXPECTED_ERRORS)
        if expected_errors is None:
            raise
        exit_with(_first_text(expected_errors), EXIT_FAILED)


def exit_with(text: str, status: int) -> NoReturn:
    """Writes ``text`` to standard error and exits with ``status``."""
    print(text, file=sys.stderr)  # noqa: WPS421
    sys.exit(status)


def _first_text(group: BaseException) -> str:
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)

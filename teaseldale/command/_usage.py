"""Validation of command-line arguments in addition to that of Fire."""

import pathlib


class UsageError(ValueError):
    """A command has invalid arguments; the message states the valid ones."""


class CommandFailedError(Exception):
    """A command was refused or failed."""


def string_argument(argument: object, name: str) -> str:
    """Returns an argument as a string.

    Raises ``UsageError`` for a flag without a value.
    """
    if isinstance(argument, bool) or not isinstance(argument, str | int):
        raise UsageError(f'{name}: expected a string')
    return str(argument)


def integer_argument(argument: object, name: str, *, maximum: int) -> int:
    """Returns an argument as an integer of at least 1 and within the limit.

    Raises ``UsageError`` for other values.
    """
    is_number = isinstance(argument, int) and not isinstance(argument, bool)
    if not is_number or not 1 <= int(str(argument)) <= maximum:
        raise UsageError(f'{name}: expected an integer from 1 to {maximum}')
    return int(str(argument))


def read_file_bytes(path: str) -> bytes:
    """Returns the content of a file.

    Raises ``CommandFailedError`` if the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise CommandFailedError(f'{path}: {error.strerror}') from error

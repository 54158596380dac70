"""Validation of command-line arguments in addition to that of Fire."""

import pathlib


class UsageError(ValueError):
    """A command has invalid arguments; the message states the valid ones."""


class CommandFailedError(Exception):
    """A command was refused or failed."""


def text_of(found: object, name: str) -> str:
    """Returns an argument as a string.

    Raises ``UsageError`` for a flag without a value.
    """
    if isinstance(found, bool) or not isinstance(found, str | int):
        raise UsageError(f'{name}: expected a string')
    return str(found)


def count_of(found: object, name: str, *, most: int) -> int:
    """Returns an argument as an integer of at least 1 and within the limit.

    Raises ``UsageError`` for other values.
    """
    is_number = isinstance(found, int) and not isinstance(found, bool)
    if not is_number or not 1 <= int(str(found)) <= most:
        raise UsageError(f'{name}: expected an integer from 1 to {most}')
    return int(str(found))


def bytes_of_file(path: str) -> bytes:
    """Returns the content of a file.

    Raises ``CommandFailedError`` if the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise CommandFailedError(f'{path}: {error.strerror}') from error

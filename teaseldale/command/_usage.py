"""Checks of command-line arguments beyond what the library does."""

import pathlib


class UsageError(ValueError):
    """A command was used wrongly; the text tells what is allowed."""


class CommandFailedError(Exception):
    """A command was refused or could not be carried out."""


def text_of(found: object, name: str) -> str:
    """Returns an argument as a text; a flag without one is refused."""
    if isinstance(found, bool) or not isinstance(found, str | int):
        raise UsageError(f'{name}: give a text after it')
    return str(found)


def count_of(found: object, name: str, *, most: int) -> int:
    """Returns an argument as a whole number from 1 to ``most``."""
    is_number = isinstance(found, int) and not isinstance(found, bool)
    if not is_number or not 1 <= int(str(found)) <= most:
        raise UsageError(f'{name}: give a whole number from 1 to {most}')
    return int(str(found))


def bytes_of_file(path: str) -> bytes:
    """Reads a file or raises ``CommandFailedError``."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise CommandFailedError(f'{path}: {error.strerror}') from error

"""Loading of settings files; errors are collected and reported together."""

import pathlib
import tomllib

import msgspec

from teaseldale.settings._mistakes import find_errors
from teaseldale.settings._settings import Settings


class SettingsError(ValueError):
    """A settings file is invalid; the message lists every error."""


def load_settings(path: str) -> Settings:
    """Returns the validated settings of the TOML file at ``path``.

    Raises ``SettingsError`` if the file cannot be read or is invalid.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    errors = find_errors(document, Settings)
    if errors:
        raise SettingsError(
            '\n'.join(f'{path}: {message}' for message in errors),
        )
    try:
        return msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error


def read_secret(path: str, *, field: str) -> str:
    """Returns the secret in the file at ``path``, without outer white space.

    Raises ``SettingsError``, which names the settings ``field``, if the file
    cannot be read or is empty.
    """
    try:
        secret = pathlib.Path(path).read_text('utf-8').strip()
    except (OSError, ValueError) as error:
        raise SettingsError(f'{field}: {error}') from error
    if not secret:
        raise SettingsError(f'{field}: {path} is empty; put a secret there')
    return secret

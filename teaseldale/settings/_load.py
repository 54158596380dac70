"""Reading of settings files with all mistakes listed at once."""

import pathlib
import tomllib

import msgspec

from teaseldale.settings._mistakes import mistakes_in
from teaseldale.settings._settings import Settings


class SettingsError(ValueError):
    """A settings file is wrong; the text lists every mistake."""


def load_settings(path: str) -> Settings:
    """Reads and checks the file at ``path`` or raises ``SettingsError``."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    mistakes = mistakes_in(document, Settings)
    if mistakes:
        raise SettingsError(
            '\n'.join(f'{path}: {mistake}' for mistake in mistakes),
        )
    try:
        return msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error


def read_secret(path: str, *, field: str) -> str:
    """Reads a secret; the error names the ``field`` with its path."""
    try:
        secret = pathlib.Path(path).read_text('utf-8').strip()
    except (OSError, ValueError) as error:
        raise SettingsError(f'{field}: {error}') from error
    if not secret:
        raise SettingsError(f'{field}: {path} is empty; put a secret there')
    return secret

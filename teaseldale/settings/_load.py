"""Reading of settings files with all mistakes listed at once."""

import pathlib
import tomllib

import cattrs

from teaseldale.settings._settings import Settings


class SettingsError(ValueError):
    """A settings file is wrong; the text lists every mistake."""


def load_settings(path: str) -> Settings:
    """Reads and checks the file at ``path`` or raises ``SettingsError``."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    converter = cattrs.Converter(
        detailed_validation=True,
        forbid_extra_keys=True,
    )
    converter.register_structure_hook(int, _whole_number)
    converter.register_structure_hook(str, _text)
    try:
        return converter.structure(document, Settings)
    except cattrs.ClassValidationError as mistakes:
        lines = [f'{path}: {line}' for line in cattrs.transform_error(mistakes)]
        raise SettingsError('\n'.join(lines)) from mistakes


def _whole_number(found: object, _kind: object) -> int:
    if not isinstance(found, int) or isinstance(found, bool):
        raise ValueError(f'{found!r} is not a whole number')
    return found


def _text(found: object, _kind: object) -> str:
    if not isinstance(found, str):
        raise ValueError(f'{found!r} is not a text')
    return found

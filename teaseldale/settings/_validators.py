"""Validators of settings; error messages state the allowed values."""

import ipaddress
from collections.abc import Callable
from typing import Any

_MAX_PORT = 65_535
_MAX_NAME_CHARS = 64


def is_address(_instance: object, _field: object, address: str) -> None:
    """Accepts an IP address with a port; raises ``ValueError`` otherwise."""
    host, separator, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        separator = ''
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(
            f'{address!r} is not an IP number and a port, such as '
            '"10.0.0.1:7201"',
        )


def is_url(_instance: object, _field: object, url: str) -> None:
    """Accepts an ``http://`` URL without a trailing slash.

    Raises ``ValueError`` otherwise.
    """
    if not url.startswith('http://') or url.endswith('/'):
        raise ValueError(
            f'{url!r} is not a URL such as "http://10.0.0.1:7000" without a '
            'slash at its end',
        )


def is_name(_instance: object, _field: object, name: str) -> None:
    """Accepts a name that is safe in store keys and URL paths.

    Raises ``ValueError`` otherwise.
    """
    is_valid = name and all(
        character.isalnum() or character in '-_' for character in name
    )
    if not is_valid or len(name) > _MAX_NAME_CHARS:
        raise ValueError(
            f'{name!r} must be 1 to {_MAX_NAME_CHARS} letters, digits, - and _',
        )


def is_between(
    minimum: int,
    maximum: int,
) -> Callable[[Any, Any, int], None]:
    """Returns a validator for integers in an inclusive range."""

    def check(  # noqa: WPS430
        _instance: object,
        _field: object,
        number: int,
    ) -> None:
        if not minimum <= number <= maximum:
            raise ValueError(f'{number} is not within {minimum} to {maximum}')

    return check

"""Typed settings and the ranges that are allowed."""

import ipaddress

import attrs

from teaseldale.logs import LogFormat

_LARGEST_PORT = 65_535


def _is_address(
    _instance: object,
    attribute: 'attrs.Attribute[str]',
    address: str,
) -> None:
    host, separator, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        separator = ''
    if not separator or not port.isdecimal() or int(port) > _LARGEST_PORT:
        raise ValueError(
            f'{attribute.name}: {address!r} is not an IP number and a port, '
            'such as "10.0.0.1:7201"',
        )


def _is_url(
    _instance: object,
    attribute: 'attrs.Attribute[str]',
    url: str,
) -> None:
    if not url.startswith('http://') or url.endswith('/'):
        raise ValueError(
            f'{attribute.name}: {url!r} is not a URL such as '
            '"http://10.0.0.1:7000" without a slash at its end',
        )


def _is_name(
    _instance: object,
    attribute: 'attrs.Attribute[str]',
    name: str,
) -> None:
    if not name or not all(mark.isalnum() or mark in '-_' for mark in name):
        raise ValueError(
            f'{attribute.name}: {name!r} must be letters, digits, - and _',
        )


_positive = attrs.validators.ge(1)


@attrs.frozen(kw_only=True)
class VmSettings:
    """Who this VM is and where it listens."""

    name: str = attrs.field(validator=_is_name)
    availability_zone: str = attrs.field(validator=_is_name)
    peer_address: str = attrs.field(validator=_is_address)
    callers_address: str = attrs.field(validator=_is_address)
    operators_address: str = attrs.field(validator=_is_address)
    operators_key_file: str  # path of a file that holds the operators' key


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Where the platform's services are."""

    table_url: str = attrs.field(validator=_is_url)
    membership_url: str = attrs.field(validator=_is_url)
    timeout_ms: int = attrs.field(default=1000, validator=_positive)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bounds on what callers can make a VM hold."""

    body_limit_bytes: int = attrs.field(default=1_048_576, validator=_positive)
    output_limit_tokens: int = attrs.field(default=4096, validator=_positive)
    coalesce_ms: int = attrs.field(
        default=4,
        validator=attrs.validators.and_(
            attrs.validators.ge(0),
            attrs.validators.le(50),
        ),
    )
    drain_timeout_ms: int = attrs.field(default=120_000, validator=_positive)


@attrs.frozen(kw_only=True)
class LogSettings:
    """How log lines are written."""

    format: LogFormat = LogFormat.JSON


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one VM."""

    vm: VmSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()

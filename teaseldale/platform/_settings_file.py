"""Settings file that the platform provides to each process."""

import ipaddress
import pathlib
import re
import tomllib
from collections.abc import Mapping

import msgspec

from teaseldale.forwarding import (
    UNLIMITED_RETRIES,
    Address,
    ExposureLimits,
    NodeSettings,
    RetryLimits,
)
from teaseldale.platform._vm_limits import (
    VmLimits,
    client_limits_of,
    link_bytes_per_s_of,
    memory_bytes_of,
)
from teaseldale.settings import SettingsError

SETTINGS_VARIABLE = 'TEASELDALE_NODE_FILE'
# Port of the metrics in text format; the deploy file names it as well.
METRICS_PORT = 9464

_MS_PER_SECOND = 1000
_MAX_PORT = 65_535
# Bounds that a contract requires. Without the contract they may be missing, and
# the feature that they limit is off.
_BOUNDS_BY_CONTRACT: Mapping[str, tuple[str, ...]] = {
    'retry': ('RetryBudgetRatio', 'BudgetWindowS', 'BudgetExtraTries'),
    'rollout': ('ExposureShare',),
}
_ADDRESS = re.compile('(?P<ip>[0-9.]+):(?P<port>[0-9]{1,5})')


class _Listen(msgspec.Struct):
    frontend: str = msgspec.field(name='Frontend')
    ready: str = msgspec.field(name='Ready')


class _Bounds(msgspec.Struct):
    grace_s: float = msgspec.field(name='GraceS')
    # The rest is required by contracts, see ``_BOUNDS_BY_CONTRACT``.
    retry_share: float | None = msgspec.field(
        name='RetryBudgetRatio',
        default=None,
    )
    retry_window_s: float | None = msgspec.field(
        name='BudgetWindowS',
        default=None,
    )
    extra_tries: float | None = msgspec.field(
        name='BudgetExtraTries',
        default=None,
    )
    exposure_share: float | None = msgspec.field(
        name='ExposureShare',
        default=None,
    )
    exposure_extra: float = msgspec.field(name='ExposureTolerance', default=0)


class _Platform(msgspec.Struct):
    address: str = msgspec.field(name='Address')


class _SettingsFile(msgspec.Struct):
    name: str = msgspec.field(name='NodeName')
    ip: str = msgspec.field(name='Ip')
    zone: str = msgspec.field(name='Zone')
    # First and last port available to the protocol between nodes.
    port_range: tuple[int, int] = msgspec.field(name='PortRange')
    listen: _Listen = msgspec.field(name='Listen')
    bounds: _Bounds = msgspec.field(name='Bounds')
    platform: _Platform = msgspec.field(name='Platform')
    limits: VmLimits = msgspec.field(name='Limits', default_factory=VmLimits)
    # Whether the whole system is started for the first time.
    is_first_start: bool = msgspec.field(name='Bootstrap', default=False)
    # Parts of the rules in force; each requires some of the bounds.
    contracts: frozenset[str] = msgspec.field(
        name='Contracts',
        default=frozenset(),
    )


def read_settings_file(path: str) -> NodeSettings:
    """Reads and validates the settings file at ``path``.

    Raises ``SettingsError``, whose message lists all errors in the file.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    errors = _validate_struct(document, _SettingsFile, '')
    errors.extend(_missing_bounds(document))
    if errors:
        raise SettingsError('\n'.join(f'{path}: {text}' for text in errors))
    return _settings_of(msgspec.convert(document, _SettingsFile))


def decode_address(text: str) -> Address:
    """Parses ``ip:port``; raises ``ValueError`` if it is malformed."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not 1 <= int(match['port']) <= _MAX_PORT:
        raise ValueError(f'{text!r} is not an address such as 10.0.0.1:80')
    return Address(
        ip=str(ipaddress.IPv4Address(match['ip'])),
        port=int(match['port']),
    )


def _settings_of(decoded: _SettingsFile) -> NodeSettings:
    bounds = decoded.bounds
    return NodeSettings(
        name=decoded.name,
        availability_zone=decoded.zone,
        is_first_start=decoded.is_first_start,
        callers_address=decode_address(decoded.listen.frontend),
        readiness_address=decode_address(decoded.listen.ready),
        metrics_address=Address(ip=decoded.ip, port=METRICS_PORT),
        peer_address=Address(ip=decoded.ip, port=decoded.port_range[0]),
        store_address=decode_address(decoded.platform.address),
        retry_bounds=_retry_limits_of(bounds),
        memory_bytes=memory_bytes_of(decoded.limits),
        link_bytes_per_s=link_bytes_per_s_of(decoded.limits),
        client_limits=client_limits_of(decoded.limits),
        grace_ms=int(bounds.grace_s * _MS_PER_SECOND),
        exposure=_exposure_limits_of(bounds),
    )


def _retry_limits_of(bounds: _Bounds) -> RetryLimits:
    if bounds.retry_share is None or bounds.retry_window_s is None:
        return UNLIMITED_RETRIES
    return RetryLimits(
        share=bounds.retry_share,
        extra_count=int(bounds.extra_tries or 0),
        window_ms=int(bounds.retry_window_s * _MS_PER_SECOND),
    )


def _exposure_limits_of(bounds: _Bounds) -> ExposureLimits | None:
    if bounds.exposure_share is None:
        return None
    return ExposureLimits(
        share=bounds.exposure_share,
        extra_count=int(bounds.exposure_extra),
    )


def _missing_bounds(document: Mapping[str, object]) -> list[str]:
    """Returns one message for each bound that a listed contract lacks."""
    contracts = document.get('Contracts')
    bounds = document.get('Bounds')
    if not isinstance(contracts, list) or not isinstance(bounds, dict):
        return []
    return [
        f'Bounds.{bound}: missing, the contract {contract!r} requires it'
        for contract, required in _BOUNDS_BY_CONTRACT.items()
        if contract in contracts
        for bound in required
        if bound not in bounds
    ]


def _validate_struct(
    document: object,
    expected_type: type[msgspec.Struct],
    prefix: str,
) -> list[str]:
    """Returns one message for each missing or invalid field."""
    if not isinstance(document, dict):
        return [f'{prefix}: expected a table']
    errors: list[str] = []
    for field in msgspec.structs.fields(expected_type):
        name = f'{prefix}{field.encode_name}'
        raw_value = document.get(field.encode_name)
        if raw_value is None and field.required:
            errors.append(f'{name}: missing')
        elif raw_value is not None:
            errors.extend(_validate_field(raw_value, field.type, name))
    return errors


def _validate_field(
    raw_value: object, expected_type: object, name: str
) -> list[str]:
    if isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    ):
        return _validate_struct(raw_value, expected_type, f'{name}.')
    return _validate_value(raw_value, expected_type, name)


def _validate_value(
    raw_value: object, expected_type: object, name: str
) -> list[str]:
    try:
        decoded = msgspec.convert(raw_value, expected_type)
        if name in _ADDRESS_FIELDS:
            decode_address(str(decoded))
    except ValueError as error:
        return [f'{name}: {error}']
    return []


_ADDRESS_FIELDS = frozenset(
    ('Listen.Frontend', 'Listen.Ready', 'Platform.Address')
)

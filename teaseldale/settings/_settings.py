"""Settings classes with the valid ranges of their fields."""

import attrs

from teaseldale.logs import LogFormat
from teaseldale.settings._validators import (
    is_address,
    is_between,
    is_name,
    is_url,
)

_MAX_MS = 3_600_000
_MAX_BODY_BYTES = 67_108_864
_MAX_OUTPUT_TOKENS = 1_000_000
_MAX_COALESCE_MS = 50
_MAX_MEMORY_MB = 1_000_000
_MAX_DESCRIPTORS = 1_000_000


@attrs.frozen(kw_only=True)
class VmSettings:
    """Identity of the VM and the addresses that it listens on."""

    name: str = attrs.field(validator=is_name)
    availability_zone: str = attrs.field(validator=is_name)
    peer_address: str = attrs.field(validator=is_address)
    callers_address: str = attrs.field(validator=is_address)
    operators_address: str = attrs.field(validator=is_address)
    operators_key_file: str  # path of the file with the operators' key


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """URLs and time-out of the platform's services."""

    table_url: str = attrs.field(validator=is_url)
    membership_url: str = attrs.field(validator=is_url)
    timeout_ms: int = attrs.field(
        default=1000,
        validator=is_between(1, _MAX_MS),
    )


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on requests, and time-outs of a shutdown."""

    body_limit_bytes: int = attrs.field(
        default=1_048_576,
        validator=is_between(1, _MAX_BODY_BYTES),
    )
    output_limit_tokens: int = attrs.field(
        default=4096,
        validator=is_between(1, _MAX_OUTPUT_TOKENS),
    )
    coalesce_ms: int = attrs.field(
        default=40,
        validator=is_between(0, _MAX_COALESCE_MS),
    )  # tokens that arrive within this interval are sent in one event
    balancer_grace_ms: int = attrs.field(
        default=3000,
        validator=is_between(0, _MAX_MS),
    )  # requests are still served this long after readiness fails
    drain_timeout_ms: int = attrs.field(
        default=120_000,
        validator=is_between(1, _MAX_MS),
    )  # time-out for open requests during a shutdown
    memory_mb: int = attrs.field(
        default=256,
        validator=is_between(1, _MAX_MEMORY_MB),
    )  # of the process, part of which may be held for callers
    descriptor_count: int = attrs.field(
        default=0,
        validator=is_between(0, _MAX_DESCRIPTORS),
    )  # that the process may open; 0 if only the system limits it


@attrs.frozen(kw_only=True)
class LogSettings:
    """Output format of log lines."""

    format: LogFormat = LogFormat.JSON


@attrs.frozen(kw_only=True)
class Settings:
    """Complete settings of one VM; the fields are the tables of the file."""

    vm: VmSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()

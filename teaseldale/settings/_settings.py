"""Typed settings and the ranges that are allowed."""

import attrs

from teaseldale.logs import LogFormat
from teaseldale.settings._validators import (
    is_address,
    is_between,
    is_name,
    is_url,
)

_LONGEST_MS = 3_600_000
_LARGEST_BODY_BYTES = 67_108_864
_LARGEST_OUTPUT_TOKENS = 1_000_000
_LONGEST_COALESCE_MS = 50


@attrs.frozen(kw_only=True)
class VmSettings:
    """Who this VM is and where it listens."""

    name: str = attrs.field(validator=is_name)
    availability_zone: str = attrs.field(validator=is_name)
    peer_address: str = attrs.field(validator=is_address)
    callers_address: str = attrs.field(validator=is_address)
    operators_address: str = attrs.field(validator=is_address)
    operators_key_file: str  # path of a file that holds the operators' key


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Where the platform's services are."""

    table_url: str = attrs.field(validator=is_url)
    membership_url: str = attrs.field(validator=is_url)
    timeout_ms: int = attrs.field(
        default=1000,
        validator=is_between(1, _LONGEST_MS),
    )


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bounds on what callers can make a VM hold."""

    body_limit_bytes: int = attrs.field(
        default=1_048_576,
        validator=is_between(1, _LARGEST_BODY_BYTES),
    )
    output_limit_tokens: int = attrs.field(
        default=4096,
        validator=is_between(1, _LARGEST_OUTPUT_TOKENS),
    )
    coalesce_ms: int = attrs.field(
        default=40,
        validator=is_between(0, _LONGEST_COALESCE_MS),
    )  # tokens that arrive within this time are sent together
    balancer_grace_ms: int = attrs.field(
        default=3000,
        validator=is_between(0, _LONGEST_MS),
    )  # requests are served so long after readiness has failed
    drain_timeout_ms: int = attrs.field(
        default=120_000,
        validator=is_between(1, _LONGEST_MS),
    )  # longest wait for open requests at a shutdown


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

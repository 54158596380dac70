"""Rows of the store that hold crashes, one for each suspect and runner."""

import attrs
import msgspec

from teaseldale.upstreams import CRASH_EXPIRY_MS, ReportedCrash

CRASH_TABLE = 'request_crashes'
_SEPARATOR = '/'
# Earlier builds write the time since their last answer from the store instead
# of the store's time, so a time up to this one does not tell when it was.
_UNCERTAIN_STORE_MS = 10_000


@attrs.frozen(kw_only=True)
class CrashRow:
    """A crash of a runner under a request or a part of its prompt."""

    crashed_store_ms: int  # by the store's clock
    running_ms: int  # from the start of the attempt to the crash
    part_position: int | None = None  # in the prompt; None for a request


def row_key_of(suspect: str, upstream: str) -> str:
    """Returns the key of the row of a crash."""
    return f'{suspect}{_SEPARATOR}{upstream}'


def suspect_of(row_key: str) -> str:
    """Returns the key of the suspect that a row is about."""
    return row_key.partition(_SEPARATOR)[0]


def upstream_of(row_key: str) -> str:
    """Returns the incarnation of the runner that a row is about."""
    return row_key.partition(_SEPARATOR)[2]


def encode_crash(crash: ReportedCrash, store_ms: int) -> bytes:
    """Encodes a crash at the store's time ``store_ms``."""
    row = CrashRow(
        crashed_store_ms=store_ms - crash.age_ms,
        running_ms=crash.running_ms,
        part_position=crash.part_position,
    )
    return msgspec.msgpack.encode(row)


def decode_crash(
    row_key: str,
    encoded: bytes,
    store_ms: int | None,
) -> ReportedCrash:
    """Decodes a row; raises ``msgspec.DecodeError``.

    ``store_ms`` is the store's time, or None if it is not known. An expired
    crash whose time is not certain counts as one of now.
    """
    row = msgspec.msgpack.decode(encoded, type=CrashRow)
    age_ms = 0 if store_ms is None else store_ms - row.crashed_store_ms
    is_certain = row.crashed_store_ms > _UNCERTAIN_STORE_MS
    if age_ms >= CRASH_EXPIRY_MS and not is_certain:
        age_ms = 0
    return ReportedCrash(
        upstream=upstream_of(row_key),
        running_ms=row.running_ms,
        age_ms=max(0, age_ms),
        part_position=row.part_position,
    )

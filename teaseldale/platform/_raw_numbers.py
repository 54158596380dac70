"""Numbers of documents that stay readable whatever is in their place."""

import math

import msgspec

MISSING_NUMBER = msgspec.Raw(b'')


def decode_non_negative(raw_value: msgspec.Raw) -> float | None:
    """Returns a finite number that is not negative, or None."""
    try:
        number = msgspec.json.decode(raw_value, type=float)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None

"""Limits on request heads and on idle connections."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class HeadLimits:
    """Limits of a connection, with the defaults of the server."""

    head_bytes: int = 65_536  # request line and headers, as received
    # From the first byte of a head to its end. None disables the timeout.
    head_timeout_ms: int | None = None
    # For a connection without a request. Clients and load balancers commonly
    # drop idle connections after 60 s, and the server must not close first.
    idle_timeout_ms: int = 75_000


# Called for each request, because limits may change while a server runs.
HeadLimitsSource = Callable[[], HeadLimits]

"""Bounds on what callers send before a request is served."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class HeadLimits:
    """Bounds of a connection, where its owner sets no others."""

    head_bytes: int = 65_536  # request line and headers, as sent
    # From a head's first byte to its end. None sets no bound.
    head_timeout_ms: int | None = None
    # A connection without a request is closed after it. Clients and balancers
    # commonly drop idle connections after 60 s, so the server is not first.
    idle_timeout_ms: int = 75_000


# Asked for each request, since the bounds may change while a server runs.
HeadLimitsSource = Callable[[], HeadLimits]

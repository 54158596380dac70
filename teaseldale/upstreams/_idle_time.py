"""How long a connection to a runner may stay idle."""

import re

from teaseldale.upstreams._wire_headers import WireHeaders, header_of

_MS_PER_SECOND = 1000
# Runners without a Keep-Alive timeout header close idle connections after less
# than a second.
_DEFAULT_IDLE_MS = 300
# Usable part of the advertised keep-alive timeout: a request must not race with
# the runner closing the connection.
_USABLE_IDLE_SHARE = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,9})')


def usable_idle_ms(headers: WireHeaders) -> int:
    """Returns for how long a connection can be reused after its response."""
    keep_alive = header_of(headers, b'keep-alive') or b''
    match = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
    if match is None:
        return _DEFAULT_IDLE_MS
    return int(int(match.group(1)) * _MS_PER_SECOND * _USABLE_IDLE_SHARE)

"""Messages by which a VM uses the store through another one."""

import enum

import attrs

from teaseldale.tables import Row, Transaction

# First byte of a datagram, which identifies the type of its content.
RELAY_CALL = b'y'
RELAY_ANSWER = b'z'


@enum.unique
class RelayState(enum.StrEnum):
    """Outcome of a relayed call."""

    COMMITTED = 'committed'
    CONFLICTED = 'conflicted'
    READ = 'read'
    AVAILABLE = 'available'  # answer to an inquiry: the store answers here
    UNAVAILABLE = 'unavailable'  # not executed
    FAILED = 'failed'  # a transaction may have been applied


@attrs.frozen(kw_only=True)
class RelayCall:
    """Asks another VM to call the store, or whether it reaches the store."""

    call_id: str  # unique for each call
    caller_address: str  # receives the answer
    part: str = ''  # of the accounts table, to be read
    transaction: Transaction | None = None
    is_inquiry: bool = False


@attrs.frozen(kw_only=True)
class RelayAnswer:
    """The store's answer to a relayed call."""

    call_id: str
    state: RelayState
    revision: int = 0
    store_ms: int = 0  # the store's monotonic clock
    rows: tuple[Row, ...] = ()
    # Another VM that reached the store lately; empty if none is known.
    relay_address: str = ''

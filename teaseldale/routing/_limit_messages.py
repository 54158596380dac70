"""Datagrams in which VMs agree on the requests to limited runners."""

import msgspec

LIMIT_REQUEST = b'm'
LIMIT_STATE = b's'


class LimitRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells the holder of a limit what the sender knows, and may ask for it.

    ``permit_id`` is 0 unless the sender asks for a permit.
    """

    vm_name: str
    runner: str  # incarnation
    limit_per_s: float | None  # as last known; None if the runner named none
    age_ms: int  # since the runner or the holder told the sender
    permit_id: int = 0
    max_wait_ms: float = 0  # longest wait that a permit may require
    cold_left_ms: float = 0  # 0 if the runner is warm, as far as is known
    cold_limit_per_s: float = 0
    cold_revision: int = 0  # of the entry that states it


class LimitState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells a VM what the holder of a limit knows, and answers a request."""

    vm_name: str  # the holder
    runner: str  # incarnation
    limit_per_s: float | None  # None if the runner is not limited
    permit_id: int = 0
    is_granted: bool = False
    wait_ms: float = 0  # until the start if granted, else until a free one
    cold_left_ms: float = 0  # 0 if the runner is warm, as far as is known
    cold_limit_per_s: float = 0
    cold_revision: int = 0  # of the entry that states it

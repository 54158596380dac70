"""Datagrams in which VMs agree on the room at brittle runners.

Both hold all that the sender knows, so that a later one replaces a lost one.
"""

import msgspec

ROOM_REPORT = b'u'
ROOM_STATE = b'v'


class PartTokens(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A part of prompts that a runner keeps once for all requests with it."""

    part_id: str
    token_count: int


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The load that a runner has reported in an answer to a VM."""

    number: int  # increases with each answer to the VM
    running_count: int
    waiting_count: int
    slot_count: int
    age_ms: int = 0  # since the answer


class WaitingStart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request that waits for room."""

    permit_id: int
    max_wait_ms: float  # from now on; longest useful wait
    # VMs of earlier versions name no tokens and ignore those of others.
    own_tokens: int = 0  # memory that only this request needs
    shared_parts: tuple[PartTokens, ...] = ()


class RoomReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells the holder of a runner's room what one VM has there."""

    vm_name: str
    runner: str  # incarnation
    epoch: int  # of the VM's process
    sequence: int  # increases with each report of the process
    # Rejections per second that the runner survives; None if its latest
    # answer to the VM names none.
    tolerated_rejections: int | None
    mention_age_ms: int  # since an answer to the VM has named them
    open_ids: tuple[int, ...]  # permits in use
    waiting: tuple[WaitingStart, ...]
    rejected_count: int  # requests of the VM that the runner rejected so far
    is_alone: bool = False  # whether the VM starts requests within its share
    # VMs of earlier versions send none of the following and ignore them.
    load: ReportedLoad | None = None  # the latest that the VM has received
    open_tokens: tuple[int, ...] = ()  # own tokens of each of ``open_ids``
    open_parts: tuple[PartTokens, ...] = ()  # shared ones of all ``open_ids``
    memory_tokens: int = 0  # of the runner, as configured; 0 if unknown


class RefusedStart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request for which there is no room in time."""

    permit_id: int
    wait_ms: float  # until there may be room


class RoomState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells a VM what the holder of a runner's room grants it."""

    vm_name: str  # the holder
    runner: str  # incarnation
    sequence: int  # of the latest report of the receiver; 0 without any
    tolerated_rejections: int | None  # None if the runner is not brittle
    mention_age_ms: int  # since an answer to any VM has named them
    room_count: int  # requests that the runner takes from all VMs together
    granted_ids: tuple[int, ...] = ()  # of the waiting requests
    refused: tuple[RefusedStart, ...] = ()

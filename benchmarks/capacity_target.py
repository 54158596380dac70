"""Target size of the fleet, and the limits that must hold at that size."""

import enum

import attrs

VM_COUNT = 2700
RUNNER_COUNT = 10_000
REQUESTS_PER_SECOND = 110_000
TOKENS_PER_SECOND = 25_000_000
BUDGET_COUNT = 11_000
ACCOUNT_COUNT = 7200
CHANGES_PER_DAY = 8200
REGION_COUNT = 3
ZONE_COUNT = 7
FAILED_VMS_PER_DAY = 78
REPLACED_VMS_PER_DAY = 1000
SECONDS_PER_DAY = 86_400
PLATFORM_WRITES_PER_SECOND = 300
PLATFORM_READS_PER_SECOND = 2000


@enum.unique
class LimitKind(enum.Enum):
    """Source of the figure that is compared with a limit."""

    SUM_OF_SLOPES = enum.auto()  # sum of a unit's slopes at the target size
    LARGEST_ROW = enum.auto()  # largest row whose name contains a word


@attrs.frozen(kw_only=True)
class Limit:
    """A stated limit on a cost at the target size."""

    name: str
    stated: float
    unit: str
    kind: LimitKind
    words: tuple[str, ...]  # substrings of slope or row names to include
    units: tuple[str, ...]  # units of the slopes or rows to include
    needed: str  # remedy if the limit is exceeded


LIMITS = (
    Limit(
        name='processor time for control, each VM',
        stated=2.1,
        unit='% of a core',
        kind=LimitKind.SUM_OF_SLOPES,
        words=('',),
        units=('% of a core',),
        needed='slots renewed for the runners in use only, several requests in '
        'a frame, or links without native threads',
    ),
    Limit(
        name='memory for control, each VM',
        stated=256,
        unit='MB',
        kind=LimitKind.SUM_OF_SLOPES,
        words=('',),
        units=('MB',),
        needed='records in arrays in place of objects',
    ),
    Limit(
        name='control traffic sent, each VM',
        stated=8192,
        unit='B/s',
        kind=LimitKind.SUM_OF_SLOPES,
        words=('',),
        units=('B/s',),
        needed='slots lent within groups of VMs and not by every VM, one call '
        'for each request at most, several requests in a frame, and a '
        'membership list that gives changes only',
    ),
    Limit(
        name='writes at the table service, all VMs',
        stated=PLATFORM_WRITES_PER_SECOND,
        unit='writes/s',
        kind=LimitKind.SUM_OF_SLOPES,
        words=('',),
        units=('writes/s', 'commits/s'),
        needed='one batched write for a cell in place of one for a VM',
    ),
    Limit(
        name='reads at the table service, all VMs',
        stated=PLATFORM_READS_PER_SECOND,
        unit='reads/s',
        kind=LimitKind.SUM_OF_SLOPES,
        words=('',),
        units=('reads/s',),
        needed='fewer readers that pass changes on to others',
    ),
    Limit(
        name='a change in force everywhere',
        stated=3000,
        unit='ms',
        kind=LimitKind.LARGEST_ROW,
        words=('in_force',),
        units=('ms',),
        needed='a shorter polling interval of the readers, or a flatter tree',
    ),
    Limit(
        name='first token, 95 in 100',
        stated=330,
        unit='ms',
        kind=LimitKind.LARGEST_ROW,
        words=('first_token',),
        units=('ms',),
        needed='earlier refusals, or more runners',
    ),
    Limit(
        name='between tokens, 95 in 100',
        stated=76,
        unit='ms',
        kind=LimitKind.LARGEST_ROW,
        words=('token_gap', 'between_tokens'),
        units=('ms',),
        needed='less work in the event loop between two chunks',
    ),
)

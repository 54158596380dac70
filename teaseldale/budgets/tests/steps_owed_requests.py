"""Steps for the tokens served of those that accounts have."""

import random

import attrs
import msgspec
from behave import given, then, when

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rows import (
    STAGE_COUNT,
    STAGE_MS,
    MarkedAccount,
    SpendingMark,
)
from teaseldale.budgets._spending_marks import allowance_of
from teaseldale.budgets.tests.owed_requests import (
    Burst,
    Cut,
    OwedRun,
    PowerLoss,
)
from teaseldale.fakes import VirtualClock, run_in_virtual_time

_SEEDS = (1, 2, 3)
_BURSTS = tuple(
    Burst(account=account, at_s=13, for_s=6, factor=3)
    for account in ('medium', 'small')
)
_LATE_CUT = Cut(at_s=17, for_s=8, vm_count=5)
_POWER_LOSS = PowerLoss(at_s=27, down_s=0.6)
FAULTS = {
    'no fault': (),
    'a loss of power for 0.7 s': (PowerLoss(at_s=25, down_s=0.7),),
    'a loss of power for 2 s': (PowerLoss(at_s=25, down_s=2),),
    'a cut of 1 VM from the store for 8 s': (
        Cut(at_s=20, for_s=8, vm_count=1),
    ),
    'a cut of 5 VMs from the store for 8 s': (
        Cut(at_s=20, for_s=8, vm_count=5),
    ),
    'a cut of 6 VMs from the store for 8 s': (
        Cut(at_s=20, for_s=8, vm_count=6),
    ),
    'a cut of 5 VMs, and a loss of power 2 s after it': (
        _LATE_CUT,
        _POWER_LOSS,
    ),
    'two cuts of 5 VMs, and a loss of power 2 s after the second': (
        Cut(at_s=4, for_s=8, vm_count=5),
        _LATE_CUT,
        _POWER_LOSS,
    ),
    'a burst, a cut of 5 VMs, and a loss of power 2 s after it': (
        *_BURSTS,
        _LATE_CUT,
        _POWER_LOSS,
    ),
    'a loss of power during a cut of 5 VMs': (
        Cut(at_s=14, for_s=8, vm_count=5),
        PowerLoss(at_s=18, down_s=0.6),
    ),
}


@attrs.frozen(kw_only=True)
class MarkWithLead:
    """What a build that knows leads but no ramps reads of a mark."""

    limit_tokens: int
    step_tokens: int
    spare_tokens: int
    lead_tokens: int

    def bound_tokens(self, age_ms):
        """Evaluates the mark as that build does."""
        stage = age_ms / STAGE_MS
        staged = self.limit_tokens + int(
            age_ms // STAGE_MS * self.step_tokens
            + self.spare_tokens * (age_ms // STAGE_MS / STAGE_COUNT) ** 2
        )
        demand_stages = min(stage, max(0, stage - 0.7) * 1.5)
        ramp = demand_stages * self.step_tokens
        ramp += self.spare_tokens * (stage / STAGE_COUNT) ** 2
        return min(staged, self.lead_tokens + int(ramp))


@given('{count:d} VMs with accounts that run out of tokens')
def accounts_that_run_out(context, count):
    context.vm_count = count


@when('requests arrive during {faults}')
def requests_arrive(context, faults):
    context.results = []
    context.runs = []
    for seed in _SEEDS:
        run = OwedRun(
            vm_count=context.vm_count,
            seed=seed,
            faults=FAULTS[faults],
        )
        context.results.append(run.play())
        context.runs.append(run)


@then(
    'at least {share:d} in 100 of the owed tokens are served, '
    'the mean of seeds 1 to 3'
)
def owed_served(context, share):
    shares = [result.share for result in context.results]
    assert sum(shares) * 100 >= share * len(shares), shares


@then('at most {share:d} in 100 of the tokens are at no known location')
def tokens_located(context, share):
    located = [
        location for run in context.runs for location in run.found.values()
    ]
    prepaid = sum(location.prepaid for location in located)
    unexplained = sum(location.unexplained for location in located)
    assert abs(unexplained) * 100 <= share * prepaid, (unexplained, located)


@attrs.frozen(kw_only=True)
class EarlierMark:
    """What a build without leads reads of a mark."""

    limit_tokens: int
    step_tokens: int
    spare_tokens: int

    def bound_tokens(self, age_ms):
        """Evaluates the mark as that build does."""
        stage = max(0, age_ms) // STAGE_MS
        spare_share = (stage / STAGE_COUNT) ** 2
        allowed = stage * self.step_tokens + self.spare_tokens * spare_share
        return self.limit_tokens + int(allowed)


@given('marks of accounts with different demand')
def different_marks(context):
    source = random.Random(7)
    context.marks = []
    for _ in range(200):
        used = source.randrange(1_000_000)
        lead = source.randrange(20_000)
        context.marks.append(
            MarkedAccount(
                limit_tokens=used + source.randrange(40_000),
                step_tokens=source.randrange(50_000),
                spare_tokens=source.randrange(400_000),
                lead_tokens=used + lead,
                ramp_start_ms=source.randrange(700, 3000),
                ramp_percent=source.randrange(50, 151),
            )
        )


@given('marks that a VM with different demand has made')
def made_marks(context):
    context.marks = run_in_virtual_time(_made_marks)


async def _made_marks():
    source = random.Random(7)
    marks = []
    for _ in range(50):
        demand = AccountDemand(clock=VirtualClock())
        held = HeldAccount(account='any', demand=demand)
        for _ in range(source.randrange(20)):
            tokens = source.randrange(10_000)
            demand.record_request(tokens)
            demand.record_payment(tokens)
        granted = source.randrange(300_000)
        marks.append(allowance_of(held, granted, lead_ms=50))
    return marks


@when('they are read by a build that knows leads but no ramps')
def read_without_ramps(context):
    context.read = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(mark), type=MarkWithLead)
        for mark in context.marks
    ]


@when('they are read by an earlier build')
def read_by_earlier_build(context):
    context.read = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(mark), type=EarlierMark)
        for mark in context.marks
    ]


@then('no mark allows more at any age than the earlier build expects')
def never_more(context):
    for mark, read in zip(context.marks, context.read, strict=True):
        bounds = [
            mark.bound_tokens(age_ms)
            for age_ms in range(0, STAGE_COUNT * STAGE_MS, 50)
        ]
        assert bounds == sorted(bounds)
        for position, bound in enumerate(bounds):
            assert bound <= read.bound_tokens(position * 50), (mark, position)


@given('marks of a build that knows leads but no ramps')
def marks_with_lead(context):
    different_marks(context)
    names = [field.name for field in attrs.fields(MarkWithLead)]
    context.earlier = [
        MarkWithLead(**{name: getattr(mark, name) for name in names})
        for mark in context.marks
    ]


@then('this build expects exactly the spending that they allow at any age')
def exactly_expected(context):
    for earlier in context.earlier:
        mark = msgspec.msgpack.decode(
            msgspec.msgpack.encode(earlier), type=MarkedAccount
        )
        for age_ms in range(0, STAGE_COUNT * STAGE_MS, 37):
            assert mark.bound_tokens(age_ms) == earlier.bound_tokens(age_ms)


@given(
    'a mark of an earlier build that allows {limit} tokens, '
    'and {step:d} more a second'
)
def earlier_mark(context, limit, step):
    encoded = msgspec.msgpack.encode(
        {
            'made_store_ms': 0,
            'allowed': {
                'limit_tokens': int(limit.replace(',', '')),
                'step_tokens': step,
                'spare_tokens': 0,
            },
        }
    )
    context.mark = msgspec.msgpack.decode(encoded, type=SpendingMark)


@then('it allows 1,000 tokens after 999 ms and 1,500 after 1,000 ms')
def allows_in_stages(context):
    assert context.mark.bound_tokens(999) == 1000
    assert context.mark.bound_tokens(1000) == 1500

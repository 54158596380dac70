"""Steps of fairness under overload, in virtual time."""

import attrs
from behave import given, then, when

from teaseldale.routing.tests.overload_fleet import (
    Kind,
    Model,
    Site,
    is_on_time,
    percentile,
)

_SPREAD = 0.5
_KINDS = (
    Kind(
        name='long prompts',
        goal_ms=845,
        deadline_ms=12_680,
        prompt_tokens=12_000,
        output_tokens=42,
        work_ms=(1050, 1470),
    ),
    Kind(
        name='letters',
        goal_ms=1000,
        deadline_ms=10_186,
        prompt_tokens=800,
        output_tokens=32,
        work_ms=(800, 1120),
    ),
    Kind(
        name='summaries',
        goal_ms=2000,
        deadline_ms=3033,
        prompt_tokens=2400,
        output_tokens=3,
        work_ms=(75, 105),
    ),
)
_MEAN_TOKENS = sum(kind.prompt_tokens for kind in _KINDS) / len(_KINDS)
_USUAL_LOAD = 0.5  # of what the runners can read
_WARM_MS = 2000
_SETTLE_MS = 1000  # after the start of the overload
_ACCOUNTS = tuple(f'account-{number}' for number in range(6))
_ACCOUNT_WARM_MS = 4000


@given('{vms:d} VMs that share {runners:d} model runners of {slots:d} slots')
def model_site(context, vms, runners, slots):
    site = Site(vm_count=vms, runner_count=runners, slot_count=slots)
    per_s = site.tokens_per_ms * 1000 * runners / _MEAN_TOKENS
    context.model = Model(attrs.evolve(site, per_s=per_s * _USUAL_LOAD))


@given('kinds of streams with the ranks {ranks}')
def model_kinds(context, ranks):
    kinds = tuple(
        attrs.evolve(
            kind,
            rank=int(rank),
            share=1 / len(_KINDS),
            prompt_spread=_SPREAD,
        )
        for kind, rank in zip(_KINDS, ranks.split(), strict=True)
    )
    context.model.site = attrs.evolve(context.model.site, kinds=kinds)


@given('{count:d} accounts')
def plain_accounts(context, count):
    context.accounts = _ACCOUNTS[:count]
    kinds = (Kind(accounts=context.accounts),)
    context.model.site = attrs.evolve(context.model.site, kinds=kinds)


@given('{count:d} accounts of each kind')
def model_accounts(context, count):
    context.accounts = _ACCOUNTS[:count]
    site = context.model.site
    kinds = tuple(
        attrs.evolve(kind, accounts=context.accounts) for kind in site.kinds
    )
    context.model.site = attrs.evolve(site, kinds=kinds)


@when('the load is {load:f} times what the runners can read for {seconds:d} s')
def play_overload(context, load, seconds):
    model = context.model
    end_ms = _WARM_MS + seconds * 1000
    model.load(0, _WARM_MS)
    model.load(_WARM_MS, end_ms, factor=load / _USUAL_LOAD)
    model.exchange_notices(end_ms)
    model.play()
    context.calls = model.select(_WARM_MS + _SETTLE_MS, end_ms)
    context.by_kind = {
        kind: [call for call in context.calls if call.kind is kind]
        for kind in model.site.kinds
    }


@when('one account sends {factor:d} times its usual load for {seconds:d} s')
def play_account_burst(context, factor, seconds):
    context.served_shares = [
        _others_share(context, burst, seconds) for burst in (1, factor)
    ]


@then('no kind is served less, by more than {part:f}, than a less urgent one')
def ranks_hold(context, part):
    kinds = sorted(context.by_kind, key=lambda kind: kind.rank)
    shares = [_served_share(context.by_kind[kind]) for kind in kinds]
    for index, share in enumerate(shares):
        assert share + part >= max(shares[index:]), shares


@then('each kind is served at least {part:f} as often as all')
def no_kind_starves(context, part):
    all_share = _served_share(context.calls)
    for kind, calls in context.by_kind.items():
        share = _served_share(calls)
        assert share >= part * all_share, (kind.name, share, all_share)


@then(
    'the largest tenth of each kind is served at least {part:f} as often as it'
)
def large_requests_served(context, part):
    for kind, calls in context.by_kind.items():
        ordered = sorted(calls, key=lambda call: call.prompt_tokens)
        share = _served_share(ordered[-(len(ordered) // 10) :])
        kind_share = _served_share(calls)
        assert share >= part * kind_share, (kind.name, share, kind_share)


@then('99% of the refusals of each kind come within an eighth of its goal')
def kinds_refused_early(context):
    for kind, calls in context.by_kind.items():
        refusals_ms = [late for call in calls for late in call.refusal_ms]
        late_ms = percentile(refusals_ms, 0.99)
        assert late_ms <= kind.goal_ms / 8, (kind.name, late_ms)


@then('at least {part:f} of all requests are served within their goals')
def served_in_time(context, part):
    share = sum(map(is_on_time, context.calls)) / len(context.calls)
    assert share >= part, share


@then('the others get at least {part:f} of what they get without that')
def others_served(context, part):
    alone, beside_burst = context.served_shares
    assert beside_burst >= part * alone, (beside_burst, alone)


@then('at least {part:f} of the callers that return are served')
def returns_kept(context, part):
    returned = [call for call in context.calls if call.tries]
    assert returned
    share = _served_share(returned)
    assert share >= part, (share, len(returned))


def _served_share(calls):
    return sum(call.outcome == 'served' for call in calls) / len(calls)


def _others_share(context, factor, seconds):
    """Returns the share of tokens of the other accounts served in time."""
    model = Model(context.model.site)
    model.loses_notices = context.model.loses_notices
    start_ms = _ACCOUNT_WARM_MS
    end_ms = start_ms + seconds * 1000
    bursting = context.accounts[0]
    model.load(0, start_ms)
    model.load(start_ms, end_ms, accounts=((bursting, factor),))
    model.exchange_notices(end_ms)
    model.play()
    calls = [
        call
        for call in model.select(start_ms + _SETTLE_MS, end_ms)
        if call.account != bursting
    ]
    served = sum(_cost(call) for call in calls if is_on_time(call))
    return served / sum(map(_cost, calls))


def _cost(call):
    return call.prompt_tokens or 1

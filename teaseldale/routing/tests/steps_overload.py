"""Steps of overload admission in virtual time."""

from behave import given, then, when

from teaseldale.routing.tests.overload_fleet import (
    Model,
    Site,
    percentile,
)

_BURST_MS = 3000  # start of the burst
_WARM_MS = 500
_AFTER_MS = 2000
_FACTOR = 10


@given('{vms:d} VMs that share {runners:d} plain runners of {slots:d} slots')
def plain_site(context, vms, runners, slots):
    context.model = Model(
        Site(vm_count=vms, runner_count=runners, slot_count=slots),
    )


@given('a third of the VMs hears of no others')
def cut_third(context):
    vm_count = context.model.site.vm_count
    context.model.cut_vms = frozenset(range(0, vm_count, 3))


@given('no VM hears of others')
def lose_notices(context):
    context.model.loses_notices = True


@when('the load is ten times as high as usual for {seconds:d} s')
def play_burst(context, seconds):
    model = context.model
    context.end_ms = _BURST_MS + seconds * 1000
    model.load(0, _BURST_MS)
    model.load(_BURST_MS, context.end_ms, factor=_FACTOR)
    model.load(context.end_ms, context.end_ms + 2 * _AFTER_MS)
    model.exchange_notices(context.end_ms + 2 * _AFTER_MS)
    model.play()
    context.usual_per_s = model.on_time_per_s(_WARM_MS, _BURST_MS)


@then('at least {share:f} of the usual rate is served on time during the burst')
def served_in_burst(context, share):
    served_per_s = context.model.on_time_per_s(_BURST_MS, context.end_ms)
    figures = (served_per_s, context.usual_per_s)
    assert served_per_s >= share * context.usual_per_s, figures


@then('99% of the refusals come within an eighth of the goal')
def refused_early(context):
    refusals_ms = [
        refusal_ms
        for call in context.model.calls
        for refusal_ms in call.refusal_ms
    ]
    goal_ms = context.model.site.kinds[0].goal_ms
    assert refusals_ms
    late_ms = percentile(refusals_ms, 0.99)
    assert late_ms <= goal_ms / 8, late_ms


@then('the usual rate is served on time from 2 s after the burst')
def recovered(context):
    start_ms = context.end_ms + _AFTER_MS
    end_ms = start_ms + _AFTER_MS
    offered = len(context.model.select(start_ms, end_ms))
    served = context.model.on_time_per_s(start_ms, end_ms) * _AFTER_MS / 1000
    assert served >= 0.98 * offered, (served, offered)


@then('no request is refused while under half of the slots are taken')
def not_refused_early(context):
    assert not context.model.early_refusals, context.model.early_refusals

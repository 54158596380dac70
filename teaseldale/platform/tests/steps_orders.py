"""Steps for the operator's version orders."""

import random

import attrs
import logbook
import msgspec
from behave import given, then, when

from teaseldale.budgets import (
    AccountGrants,
    HolderKey,
    StoreAccess,
    VmIncarnation,
)
from teaseldale.fakes import FakeTableService
from teaseldale.forwarding import (
    Address,
    CellLimitHolders,
    ConfigurationHolder,
    ExposureLimits,
    FleetState,
    FleetWatch,
    ForwardingRunner,
    MoveStore,
    RunnerAnnouncements,
    RunnerConnectionPools,
    RunnerDirectory,
    VersionMoves,
    VersionOrder,
)
from teaseldale.members import (
    AccountKeepers,
    FixedMembers,
    FleetCells,
)
from teaseldale.metrics import Metrics
from teaseldale.moves import OrderPhase
from teaseldale.platform import (
    PlatformFleetFormat,
    PlatformOrderStatus,
    PlatformWireFormat,
)
from teaseldale.routing import BacklogChoice, RunnerLimits, RunnerRooms
from teaseldale.tables import InMemoryTable, Row
from teaseldale.upstreams import DirectConnector


class _StillClock:
    def monotonic_ms(self):
        return 0


def make_watch(directory, clock=None):
    clock, metrics = clock or _StillClock(), Metrics()
    table = FakeTableService(
        state=InMemoryTable(),
        random_source=random.Random(1),
    )
    store = StoreAccess(table=table, feed=table, clock=clock, metrics=metrics)
    holder = HolderKey(vm_name='vm', incarnation='1')
    members = FixedMembers(entries={})
    shared = {
        'vm_name': 'vm',
        'holders': CellLimitHolders(
            members=members,
            cells=FleetCells(members=members, vm_name='vm'),
            directory=directory,
        ),
        'clock': clock,
        'metrics': metrics,
    }
    return FleetWatch(
        feed=table,
        format=PlatformFleetFormat(),
        state=FleetState(
            configuration=ConfigurationHolder(),
            directory=directory,
            connections=RunnerConnectionPools(
                connector=DirectConnector(),
                wire=PlatformWireFormat(),
                configuration=ConfigurationHolder(),
                clock=clock,
                metrics=metrics,
            ),
            choice=BacklogChoice(clock=clock, random_source=random.Random(1)),
            announcements=RunnerAnnouncements(
                directory=directory,
                limits=RunnerLimits(**shared),
                rooms=RunnerRooms(**shared),
                clock=clock,
                metrics=metrics,
            ),
            grants=AccountGrants(
                start=VmIncarnation(
                    holder=holder,
                    address='127.0.0.1:1',
                    started_ms=0,
                ),
                keepers=AccountKeepers(
                    members=members,
                    vm_name='vm',
                ),
                store=store,
            ),
            moves=VersionMoves(
                holder=holder,
                limits=ExposureLimits(share=0.1, extra_count=50),
                vm_count=lambda: 1,
                directory=directory,
                store=MoveStore(
                    table=table,
                    feed=table,
                    status=PlatformOrderStatus(),
                ),
                clock=clock,
                metrics=metrics,
            ),
        ),
        clock=clock,
        metrics=metrics,
    )


def make_runner(number, version):
    return ForwardingRunner(
        runner_id=f'i-{version}-{number}',
        started_wall_ms=1,
        service='s',
        address=Address(ip='10.0.0.9', port=number),
        availability_zone='z',
        version=version,
        slot_count=4,
    )


@given(
    '{count:d} runners of version "{first}" and {more:d} of version "{second}"'
)
def two_versions(context, count, first, more, second):
    context.directory = RunnerDirectory()
    context.directory.replace_all(
        [
            *(make_runner(number, first) for number in range(count)),
            *(make_runner(number, second) for number in range(more)),
        ]
    )
    context.watch = make_watch(context.directory)


def order_row(value):
    return Row(table='op', key='rollout/s', revision=1, value=value)


@when('the operator orders version "{version}"')
def order_version(context, version):
    document = {'Service': 's', 'Target': version, 'DurationS': 12}
    context.watch._apply_operator_rows(
        (order_row(msgspec.json.encode(document)),)
    )


@when("the operator's order is unreadable")
def unreadable_order(context):
    context.watch._apply_operator_rows((order_row(b'{"Target":7}'),))


@when('the order is removed')
def order_removed(context):
    context.watch._apply_operator_rows((order_row(None),))


@when('a full read of the table does not return the order')
def read_without_order(context):
    context.watch._apply_all_operator_rows(())


@when('the runners of version "{version}" have been removed')
def remove_runners(context, version):
    context.directory.apply_changes(
        {
            runner.runner_id: None
            for runner in context.directory.all_runners()
            if runner.version == version
        }
    )


def used_versions(context):
    return {runner.version for runner in context.directory.usable('s')}


@then('only runners of version "{version}" are used')
def only_version(context, version):
    assert used_versions(context) == {version}, used_versions(context)


@then('runners of both versions are used')
def both_versions(context):
    assert used_versions(context) == {'v1', 'v2'}, used_versions(context)


@when('odd entries are read beside 3 runners, and then one more runner')
def odd_entries(context):
    rows = [entry_row(number) for number in range(3)]
    odd = (
        b'[' * 100_000,
        b'{"Service":' + b'[' * 2000 + b']' * 2000 + b'}',
        b'\xff\x00',
        b'',
        b'null',
        b'{"Service":"s","Address":"10.0.0.9:99999","Zone":"z",'
        b'"Version":"v1","Slots":4,"State":"ready"}',
    )
    rows.extend(
        Row(table='servers', key=f'odd-{number}', revision=1, value=content)
        for number, content in enumerate(odd)
    )
    context.watch._apply_all_runners(tuple(rows))
    context.watch._apply_changed_runners((rows[-1], rows[3], entry_row(3)))


def entry_row(number):
    document = {
        'Service': 's',
        'Address': f'10.0.0.9:{number + 1}',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 4,
        'State': 'ready',
        'born': 1,
    }
    return Row(
        table='servers',
        key=f'i-{number}',
        revision=1,
        value=msgspec.json.encode(document),
    )


def evacuation_row(zone, value=b'{}'):
    return Row(table='op', key=f'evacuate/{zone}', revision=1, value=value)


def runners_in(zones):
    return [
        attrs.evolve(make_runner(number, 'v1'), availability_zone=zone)
        for number, zone in enumerate(zones)
    ]


def order_of(text):
    """Returns whether runners are read last, the read, and the zone."""
    return text.startswith('after'), 'full read' in text, text.split('"')[1]


@given('runners in the zones "{zones}", read {order}')
def zoned_runners(context, zones, order):
    is_last, is_full, zone = order_of(order)
    context.directory = RunnerDirectory()
    context.watch = make_watch(context.directory)
    runners = runners_in(zones.split(','))
    if not is_last:
        context.directory.replace_all(runners)
    with logbook.TestHandler() as handler:
        if is_full:
            context.watch._apply_all_operator_rows((evacuation_row(zone),))
        else:
            context.watch._apply_operator_rows((evacuation_row(zone),))
    context.records = handler.records
    if is_last:
        context.directory.replace_all(runners)
    context.evacuated_zone = zone


def used_zones(context):
    return sorted(
        runner.availability_zone for runner in context.directory.usable('s')
    )


@then('the runners of the zones "{zones}" are used, also after a full read')
def zones_used_after_read(context, zones):
    zones_used(context, zones)
    context.watch._apply_all_operator_rows(
        (evacuation_row(context.evacuated_zone),),
    )
    zones_used(context, zones)


@then('the runners of the zones "{zones}" are used')
def zones_used(context, zones):
    assert used_zones(context) == zones.split(','), used_zones(context)


@then('no runner is used')
def none_used(context):
    assert not context.directory.usable('s'), used_versions(context)


@then('only runners of the zones "{zones}" get an objection to a send')
@then('only runners of the zones "" get an objection to a send')
def objections(context, zones=''):
    announcements = context.watch._state.announcements
    found = {
        runner.availability_zone: announcements.find_objection(runner)
        for runner in context.directory.all_runners()
    }
    expected = dict.fromkeys(filter(None, zones.split(',')), 'zone_evacuated')
    assert {
        zone: reason for zone, reason in found.items() if reason
    } == expected, found


@when('the evacuation of zone "{zone}" ends by {end}')
def end_evacuation(context, zone, end):
    removal = evacuation_row(zone, None)
    if end == 'a removal of the row':
        context.watch._apply_operator_rows((removal,))
    elif 'empty' in end:
        context.watch._apply_all_operator_rows((removal,))
    else:
        context.watch._apply_all_operator_rows(())


@when(
    'odd operator rows and one that evacuates zone "{zone}" with the value '
    '"{value}" are read'
)
def odd_operator_rows(context, zone, value):
    odd = (
        order_row(b'?'),
        Row(table='op', key='config', revision=1, value=b'?'),
        Row(table='op', key='evacuate', revision=1, value=b'{}'),
    )
    context.watch._apply_operator_rows(
        (*odd, evacuation_row(zone, value.encode())),
    )


@then(
    'a log line states that zone "{zone}" is evacuated with {count:d} runners'
)
def zone_logged(context, zone, count):
    (fields,) = (
        record.extra
        for record in context.records
        if record.message == 'zone_evacuation_changed'
    )
    assert (fields['zone'], fields['runners']) == (zone, count), fields
    assert fields['is_evacuated']
    assert fields['are_runners_known']


@when('the operator evacuates the zone of version "{version}"')
def evacuate_version(context, version):
    context.directory.apply_changes(
        {
            runner.runner_id: attrs.evolve(
                runner,
                availability_zone=runner.version,
            )
            for runner in context.directory.all_runners()
        }
    )
    context.watch._apply_operator_rows((evacuation_row(version),))


@then('{count:d} runners are used')
def count_used(context, count):
    used = context.directory.usable('s')
    assert len(used) == count, used


@when('an order for {seconds:g} s is decoded')
def decode_order(context, seconds):
    document = {'Service': 's', 'Target': 'v2', 'DurationS': seconds}
    context.order = PlatformFleetFormat().decode_order(
        order_row(msgspec.json.encode(document)),
    )


@then('its duration is {duration} ms')
def duration_is(context, duration):
    assert context.order.duration_ms == int(duration.replace(',', ''))
    assert context.order.revision == 1


@then('its status row in phase "{phase}" has the state "{state}"')
def state_row(context, phase, state):
    order = VersionOrder(
        service='s',
        version='v2',
        duration_ms=12_000,
        revision=1,
    )
    write = PlatformOrderStatus().status_write(order, OrderPhase(phase))
    assert (write.table, write.key) == ('status', 'rollout/s')
    assert msgspec.json.decode(write.value) == {
        'Service': 's',
        'Target': 'v2',
        'State': state,
    }

"""Steps for entries of cold runners."""

import logbook
import msgspec
from behave import given, then, when

from teaseldale.forwarding import RunnerDirectory
from teaseldale.platform.tests.steps_orders import make_watch
from teaseldale.routing import ColdStatement
from teaseldale.routing._runner_limits import _terms_of
from teaseldale.tables import Row

_WALL_MS = 1_700_000_000_000


class SetClock:
    """A clock that a test sets."""

    now_ms = 5000

    def monotonic_ms(self):
        return self.now_ms

    def wall_ms(self):
        return _WALL_MS + self.now_ms


def configuration_row(version, terms):
    document = {
        'Version': version,
        'Routes': [],
        'Services': [{'Name': 's', **terms}],
    }
    return Row(
        table='op',
        key='config',
        revision=version,
        value=msgspec.json.encode(document),
    )


def fields_of(text):
    """Returns the field that a text such as ``ColdLeftMs 0`` names."""
    if text.startswith('no '):
        return {}
    name, _, content = text.partition(' ')
    return {name: msgspec.Raw(content.encode())}


def start_watch(context, terms):
    context.clock = SetClock()
    context.revision = 1
    context.directory = RunnerDirectory()
    context.watch = make_watch(context.directory, context.clock)
    context.watch._apply_all_operator_rows((configuration_row(1, terms),))


@given(
    'a service whose runners are cold for {seconds:g} s after a start and '
    'tolerate {limit:g} requests per second'
)
def cold_service(context, seconds, limit):
    start_watch(context, {'ColdStartS': seconds, 'ColdPerS': limit})


@given('a service with {terms}')
def other_service(context, terms):
    start_watch(context, {'ColdStartS': 3, **fields_of(terms)})


@when('the configuration says that they tolerate {limit:g} requests per second')
def later_configuration(context, limit):
    terms = {'ColdStartS': 3, 'ColdPerS': limit}
    context.watch._apply_operator_rows((configuration_row(2, terms),))


def read_entry(context, field):
    document = {
        'Service': 's',
        'Address': '10.0.0.9:1',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 4,
        'State': 'ready',
        'born': context.started_ms,
        **fields_of(field),
    }
    context.row = Row(
        table='servers',
        key='i-1',
        revision=context.revision,
        value=msgspec.json.encode(document),
    )
    with logbook.TestHandler() as handler:
        context.watch._apply_changed_runners((context.row,))
    context.records = handler.records


@when(
    'an entry with {field} of a runner that started {seconds:g} s ago is read'
)
def entry_read(context, field, seconds):
    context.started_ms = int(context.clock.wall_ms() - seconds * 1000)
    read_entry(context, field)


@when('a later entry with {field} is read')
def later_entry(context, field):
    context.revision += 1
    read_entry(context, field)


@when('{duration:d} ms later the table is read in full')
def read_in_full(context, duration):
    context.clock.now_ms += duration
    context.watch._apply_all_runners((context.row,))


def runner_name(context):
    (runner,) = context.directory.all_runners()
    return runner.incarnation_name


def limits_of(context):
    return context.watch._state.announcements._limits


@when('another VM states {left:d} ms by {entry}')
def stated(context, left, entry):
    limits_of(context).cold.note_message(
        runner_name(context),
        ColdStatement(
            limit_per_s=7.7,
            left_ms=left,
            revision=context.revision + (entry == 'a later entry'),
        ),
    )


@then('the runner is cold for {duration:g} ms, {logged}')
def cold_for(context, duration, logged):
    left_ms = limits_of(context).cold.left_ms(runner_name(context))
    assert left_ms == duration, left_ms
    lines = [
        record.message
        for record in context.records
        if record.message == 'cold_state_unreadable'
    ]
    assert len(lines) == (logged == 'with a log line'), lines


@when('the runner names a limit of {named} requests per second')
def named_limit(context, named):
    if named != 'no':
        limits_of(context)._book.set_limit(runner_name(context), float(named))


def check_limit(context, limit):
    limits = limits_of(context)
    terms = _terms_of(limits._book, limits.cold, runner_name(context))
    expected = None if limit == 'no' else float(limit)
    found = None if terms is None else terms.limit_per_s
    assert found == expected, found


@then('its limit is {limit} requests per second')
def limit_is(context, limit):
    check_limit(context, limit)


@then('{duration:d} ms later its limit is {limit} requests per second')
def later_limit(context, duration, limit):
    context.clock.now_ms += duration
    check_limit(context, limit)

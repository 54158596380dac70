"""Steps for platform answers that end early."""

import asyncio

from behave import given, then, when

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    HttpMembershipList,
    HttpTableService,
    make_transaction,
)
from teaseldale.upstreams.tests.listening_runner import ListeningRunner

_TRUNCATED = (
    b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'
    b'[{"table":"t","key":"k","revision":1'
)
_TIMEOUT_MS = 2000


def commit_nothing(table):
    return table.commit(make_transaction(checks=(), writes=()))


_TABLE_CALLS = {
    'read': lambda table: table.read(table='t', key='k'),
    'scan': lambda table: table.scan(table='t'),
    'commit': commit_nothing,
}


@given('a platform that ends its answers early, without a length')
def truncating_platform(context):
    context.metrics = Metrics()


@when('the VM calls {call}')
def calls(context, call):
    async def run():
        platform = ListeningRunner(answer=[_TRUNCATED])
        context.address = f'http://{platform.ip}:{platform.port}'
        options = {
            'base_url': context.address,
            'timeout_ms': _TIMEOUT_MS,
            'metrics': context.metrics,
        }
        async with platform.serving():
            if call == 'members':
                return await HttpMembershipList(**options).members()
            return await _TABLE_CALLS[call](HttpTableService(**options))

    context.error, context.received = None, None
    try:
        context.received = asyncio.run(run())
    except PlatformError as error:
        context.error = error


@then("the call fails with the platform's address and a reason")
def fails(context):
    assert context.error is not None, context.received
    assert context.error.peer == context.address
    failed = context.metrics.counter_value(
        'platform_call_failed',
        context.error.reason,
    )
    assert failed == 1, context.metrics.render()

"""Step definitions for the life cycle of services."""

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.kernel import BaseService, Kernel, ServiceMissingError


class _RecordingService(BaseService):
    def __init__(self, *, name, steps, fails):
        self._name = name
        self._steps = steps
        self._fails = fails

    @property
    def name(self):
        return self._name

    async def start(self, tasks):
        self._steps.append(f'{self._name}.start')

    async def drain(self):
        self._record_call('drain')

    async def stop(self):
        self._record_call('stop')

    def _record_call(self, step):
        self._steps.append(f'{self._name}.{step}')
        if self._fails:
            raise ConnectionError('the platform is unavailable')


class _HangingService(_RecordingService):
    async def drain(self):
        self._record_call('drain')
        await anyio.sleep_forever()


@given('services a and b, where the drain of b never returns')
def make_hanging(context):
    context.steps = []
    context.kernel = Kernel(step_timeout_ms=5_000)
    for name, kind in (('a', _RecordingService), ('b', _HangingService)):
        context.kernel.register(
            kind(name=name, steps=context.steps, fails=False)
        )


@given('services a, b and c, where b raises an error in drain and stop')
def make_services(context):
    context.steps = []
    context.kernel = Kernel()
    for name in 'abc':
        context.kernel.register(
            _RecordingService(name=name, steps=context.steps, fails=name == 'b')
        )


@when('the kernel runs and is shut down')
def run_kernel(context):
    async def main():
        shutdown = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.kernel.run, shutdown)
            await anyio.sleep(1)
            shutdown.set()
            started = anyio.current_time()
        context.shutdown_seconds = anyio.current_time() - started

    run_in_virtual_time(main)


@then('the life-cycle calls are {expected}')
def steps_are(context, expected):
    assert context.steps == expected.split(), context.steps


@then('the shutdown takes exactly one drain time-out')
def took_timeout(context):
    assert context.shutdown_seconds == 5, context.shutdown_seconds


@then('looking up b by its name and type succeeds')
def found(context):
    assert context.kernel.find('b', _RecordingService).name == 'b'


@then('an unknown name and a duplicate name b raise descriptive errors')
def refused(context):
    try:
        context.kernel.find('d', _RecordingService)
    except ServiceMissingError as error:
        assert "['a', 'b', 'c']" in str(error), error
    else:
        raise AssertionError('looking up d did not raise')
    try:
        context.kernel.register(
            _RecordingService(name='b', steps=[], fails=False)
        )
    except ValueError as error:
        assert "'b'" in str(error), error
    else:
        raise AssertionError('registering a duplicate b did not raise')

"""Steps for the event loop in virtual time."""

import anyio
from behave import then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time

_MINUTE_MS = 60_000
_HOUR_MS = 3_600_000


@when('one task sleeps an hour and another sleeps a minute in virtual time')
def sleep_both(context):
    clock = VirtualClock()
    ended = []

    async def sleep(duration_ms):
        await clock.sleep_ms(duration_ms)
        ended.append((duration_ms, clock.monotonic_ms()))

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sleep, _HOUR_MS)
            tasks.start_soon(sleep, _MINUTE_MS)

    run_in_virtual_time(main)
    context.ended = ended


@then('the shorter sleep ends first and the virtual clock is at one hour')
def check_order(context):
    expected = [(_MINUTE_MS, _MINUTE_MS), (_HOUR_MS, _HOUR_MS)]
    assert context.ended == expected, context.ended

"""Steps for timeouts of the waits on a connection."""

import asyncio

import uvloop
from behave import given, then, when

from teaseldale.upstreams._wait_timer import WaitTimer

_SETTLE_SECONDS = 0.2


@given('a timer on the event loop that VMs run on')
def timer_on_loop(context):
    context.expiries = []


@when(
    'a wait of {first:g} seconds is followed at once by one of '
    '{second:g} seconds'
)
def two_waits(context, first, second):
    async def wait_twice():
        timer = WaitTimer(
            loop=asyncio.get_running_loop(),
            on_expiry=lambda: context.expiries.append(first),
        )
        timer.start(first)
        timer.start(second)
        await asyncio.sleep(_SETTLE_SECONDS)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(wait_twice())


@then('the timer expires once')
def expires_once(context):
    assert len(context.expiries) == 1, context.expiries

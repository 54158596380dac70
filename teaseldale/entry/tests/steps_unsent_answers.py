"""Steps for unsent answers, without a network."""

import asyncio
import types

from behave import given, then, when

from teaseldale.entry._unsent_answers import UnsentAnswers
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.web import NoRoomError
from teaseldale.web._exchange import BaseSendBuffer


class ManualBuffer(BaseSendBuffer):
    """Buffer that is full until it is drained."""

    def __init__(self, *, is_full):
        self._is_full = is_full
        self._callbacks = []

    @property
    def is_full(self):
        return self._is_full

    def call_when_sent(self, callback):
        self._callbacks.append(callback)

    def drain(self):
        self._is_full = False
        for callback in self._callbacks:
            callback()
        self._callbacks.clear()


def exchange_of(buffer):
    return types.SimpleNamespace(send_buffer=buffer)


def admit(context, buffer):
    """Returns whether a request is admitted or refused, or None if it waits."""

    async def try_admit():
        try:
            async with asyncio.timeout(0.01):
                await context.unsent.admit(exchange_of(buffer))
        except TimeoutError:
            return None
        except NoRoomError:
            return False
        return True

    return asyncio.run(try_admit())


@given('a budget of {size:d} bytes for unsent answers')
def budget_of(context, size):
    context.budget = ByteBudget(limit_bytes=size, metrics=Metrics())
    context.unsent = UnsentAnswers(budget=context.budget)
    context.buffers = []


@given('callers that read nothing are evicted when bytes are short')
def evicting(context):
    def reclaim(needed_bytes):
        for buffer in context.buffers:
            buffer.drain()

    context.budget.add_reclaimer(reclaim)


@when(
    'an answer of {size:d} bytes is written to a caller that reads {how}',
)
def write_answer(context, size, how):
    buffer = ManualBuffer(is_full=how == 'nothing')
    context.buffers.append(buffer)
    context.unsent.hold_until_sent(exchange_of(buffer), size)


@when('the caller has read the answer')
def read_answer(context):
    context.buffers[0].drain()


@when('the caller sends a further request')
def send_further(context):
    """The next steps look whether it is admitted."""


@then('the request is not admitted')
def still_waits(context):
    assert admit(context, context.buffers[0]) is None


@then('the request is admitted')
def further_admitted(context):
    assert admit(context, context.buffers[0]) is True


@then('a request of another caller is refused for want of room')
def other_refused(context):
    assert admit(context, ManualBuffer(is_full=False)) is False


@then('a request of another caller is admitted')
def other_admitted(context):
    assert admit(context, ManualBuffer(is_full=False)) is True


@then('{size:d} bytes are held')
def bytes_held(context, size):
    assert context.budget.held_bytes == size, context.budget.held_bytes

"""Steps that test answer logs and their memory limits."""

import gc
import random
import weakref

import anyio
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from teaseldale.answers import (
    WINDOW_BYTES,
    AnswerLog,
    AnswerMemory,
    AnswerPart,
    AnswerText,
    StoredAnswer,
)
from teaseldale.answers import _answer_log as answer_log_module
from teaseldale.fakes import run_in_virtual_time

_EXAMPLES = settings(
    derandomize=True, deadline=None, database=None, max_examples=25
)
_LONGEST_PART = 400
_WORDS = (
    'the roof needs four brackets each side of the ridge and a snow guard '
    'above every door because ice slides off late in the winter'
).split()


def stored(answer):
    """Returns the stored outcome of a completed answer."""
    return StoredAnswer(
        status=200,
        body=answer.text(),
        content_type='text/plain',
        prompt_tokens=1,
        output_tokens=answer.output_tokens,
    )


def follow(seed, make=AnswerLog):
    """Returns the written text, the texts read and the largest backlog."""
    rng = random.Random(seed)
    texts = []
    backlogs = [0]

    async def read(answer, delay_ms, start_ms):
        await anyio.sleep(start_ms / 1000)
        text = ''
        async for batch in answer.batches():
            text += ''.join(part.text for part in batch)
            await anyio.sleep(delay_ms / 1000)
        texts.append(text)

    async def main():
        answer = make()
        written = ''
        async with anyio.create_task_group() as tasks:
            for _ in range(rng.randrange(1, 4)):
                start_ms = rng.choice((0, 0, 5, 500))
                delay_ms = rng.choice((0, 1, 30))
                tasks.start_soon(read, answer, delay_ms, start_ms)
            await anyio.sleep(0.001)
            for offset in range(300):
                text = rng.choice('aäß€') * rng.randrange(_LONGEST_PART)
                written += text
                answer.append(
                    AnswerPart(offset=offset, token_count=1, text=text)
                )
                backlogs.append(answer.backlog_bytes)
                if not answer.has_room:
                    await answer.wait_for_room()
                await anyio.sleep(0.0005)
            answer.finish(stored(answer))
        return written

    return run_in_virtual_time(main), texts, max(backlogs)


def check(seed, make=AnswerLog):
    """Raises ``AssertionError`` if a reader missed text."""
    written, texts, _ = follow(seed, make)
    assert texts
    assert all(text == written for text in texts)


@when('answers of random parts are read by random readers, some of them late')
def read_randomly(context):
    context.results = []

    @_EXAMPLES
    @for_all(strategies.integers(0, 10_000))
    def collect(seed):
        context.results.append(follow(seed))

    collect()


@then('every reader received the complete text in order')
def all_complete(context):
    for written, texts, _ in context.results:
        assert texts
        assert all(text == written for text in texts)


@then('the backlog of the slowest reader stayed within the window and one part')
def within_window(context):
    largest = max(backlog for _, _, backlog in context.results)
    assert largest <= WINDOW_BYTES + 4 * _LONGEST_PART, largest
    assert largest > WINDOW_BYTES, f'window never filled: {largest}'


@when('a reader follows an answer of {size:d} bytes of English text')
def follow_long(context, size):
    async def main():
        rng = random.Random(1)
        answer = AnswerLog()
        reader = answer.batches()
        offset = 0
        while answer.size_bytes < size:
            text = f'{rng.choice(_WORDS)} {rng.randrange(100)} '
            answer.append(AnswerPart(offset=offset, token_count=1, text=text))
            offset += 1
            await anext(reader)
        answer.finish(stored(answer))
        context.answer = answer
        context.reread_text = ''
        async for batch in answer.batches():
            context.reread_text += ''.join(part.text for part in batch)

    run_in_virtual_time(main)


@then('it occupies less than half of its length and can be read again')
def occupies_less(context):
    answer = context.answer
    assert answer.memory_bytes < answer.size_bytes / 2, answer.memory_bytes
    assert context.reread_text.encode() == answer.text()


@when('memory for answers of random length is reserved and released')
def reserve_and_release(context):
    rng = random.Random(3)
    context.memory = AnswerMemory(
        total_limit_bytes=200_000, answer_limit_bytes=65_536
    )
    context.sums = []
    context.refused = 0
    answers = []
    for _ in range(2000):
        reservation = context.memory.reserve(rng.randrange(1, 8000))
        context.sums.append(context.memory.reserved_bytes)
        if reservation is None:
            context.refused += 1
        else:
            answer = AnswerLog()
            weakref.finalize(answer, context.memory.release, reservation)
            answers.append(answer)
            del answer
        if answers and rng.random() < 0.5:
            answers.pop(rng.randrange(len(answers)))
    answers.clear()
    gc.collect()


@then('the reserved memory stayed within the limit and returned to 0')
def memory_bound(context):
    assert max(context.sums) <= 200_000, max(context.sums)
    assert context.refused > 100
    assert context.memory.reserved_bytes == 0


class _UnboundedLog(AnswerLog):
    @property
    def has_room(self):
        return True


class _LossyText(AnswerText):
    def compress_until(self, position):
        super().compress_until(position)
        if len(self._compressed) > 1:
            self._compressed[0] = self._compressed[1]


class _LossyLog(AnswerLog):
    def __init__(self):
        super().__init__()
        self._text = _LossyText()


class _SkipsEarlierText(AnswerLog):
    async def batches(self):
        seen = self.output_tokens
        async for batch in super().batches():
            if batch[-1].offset + batch[-1].token_count > seen:
                yield batch


@when('answers are read while {mutation}')
def mutated(context, mutation):
    context.check_failed = False
    if mutation == 'writers never wait':
        backlog = max(follow(seed, _UnboundedLog)[2] for seed in range(10))
        context.check_failed = backlog > WINDOW_BYTES + 4 * _LONGEST_PART
        return
    make = (
        _LossyLog if mutation.startswith('compression') else _SkipsEarlierText
    )
    assert answer_log_module.AnswerLog is AnswerLog
    for seed in range(40):
        try:
            check(seed, make)
        except (AssertionError, ExceptionGroup):
            context.check_failed = True


@then('a check fails')
def assert_check_failed(context):
    assert context.check_failed

"""Steps for ends of answers, with real processes on loopback."""

import asyncio

from behave import given, then, when

from teaseldale.platform.tests.answer_ends_soak import play_seed


@given('a history of slow paths, ends and resets, drawn by seed {seed:d}')
def history_of_seed(context, seed):
    context.seed = seed


@when('it is played with two VMs and four runners')
def play_history(context):
    context.soak = asyncio.run(play_seed(context.seed))


@then('no answer that was cut is complete by its framing')
def none_shown_as_whole(context):
    assert not _count(context, 'shown as whole'), context.soak.finds


@then('no answer has bytes of another one')
def none_foreign(context):
    assert not _count(context, 'foreign'), context.soak.finds


@then('at least {percentage:d} in 100 answers without a fault are whole')
def undisturbed_are_whole(context, percentage):
    counts = context.soak.counts
    total = sum(
        count for (title, _), count in counts.items() if title == 'undisturbed'
    )
    assert total > 0
    assert counts['undisturbed', 'whole'] * 100 >= percentage * total, counts


@then('at least {count:d} answers of {fault} were not whole')
def faults_took_effect(context, count, fault):
    counts = context.soak.counts
    title_start = {'killed runners': 'killed', 'reset connections': 'reset'}
    found = sum(
        counted
        for (title, verdict), counted in counts.items()
        if title.startswith(title_start[fault])
        and verdict.startswith(('cut', 'failed'))
    )
    assert found >= count, counts


def _count(context, wanted):
    counts = context.soak.counts
    return sum(
        count for (_, verdict), count in counts.items() if verdict == wanted
    )

"""Steps that call a fleet through the openai client library."""

import httpcore
import openai
from behave import then, when

from benchmarks.fleet import ACCOUNT_KEY, EMPTY_ACCOUNT_KEY

_MESSAGES = [{'role': 'user', 'content': 'a chestnut sack'}]
_PROMPT_TOKENS = 3


def _client(vm, key=ACCOUNT_KEY, retries=0):
    return openai.OpenAI(
        base_url=f'{vm.url}/v1', api_key=key, max_retries=retries
    )


def _ask(client, tokens, **options):
    fields = {
        'model': 'drafts',
        'messages': _MESSAGES,
        'max_tokens': tokens,
        **options,
    }
    return client.chat.completions.create(**fields)


@when('the client streams a completion of {tokens:d} tokens through VM {vm:d}')
def stream_completion(context, tokens, vm):
    chunks = _ask(
        _client(context.fleet.vms[vm]),
        tokens,
        stream=True,
        stream_options={'include_usage': True},
    )
    context.answer, context.finish, context.usage = '', None, None
    for chunk in chunks:
        context.usage = chunk.usage or context.usage
        for choice in chunk.choices:
            context.answer += choice.delta.content or ''
            context.finish = choice.finish_reason or context.finish


@when(
    'the client requests a non-streaming completion of {tokens:d} tokens '
    'from VM {vm:d}'
)
def request_completion(context, tokens, vm):
    answer = _ask(_client(context.fleet.vms[vm]), tokens)
    context.answer = answer.choices[0].message.content
    context.finish = answer.choices[0].finish_reason
    context.usage = answer.usage


@then(
    'the client has received {tokens:d} tokens, a finish reason and the usage'
)
def received(context, tokens):
    assert len(context.answer.split()) == tokens, context.answer
    assert context.finish == 'stop', context.finish
    assert context.usage.completion_tokens == tokens, context.usage
    assert context.usage.prompt_tokens == _PROMPT_TOKENS, context.usage


@then('the client lists the model drafts')
def lists_models(context):
    models = _client(context.fleet.vms[0]).models.list()
    assert [model.id for model in models] == ['drafts'], models


@then('two retries with one idempotency key get one answer and one bill')
def retries(context):
    before = context.fleet.wait_for_billed_tokens(
        'drafting', 2 * (12 + _PROMPT_TOKENS)
    )
    answers = {
        _ask(
            _client(context.fleet.vms[0]),
            6,
            extra_headers={'Idempotency-Key': 'one'},
        )
        .choices[0]
        .message.content
        for _ in range(3)
    }
    assert len(answers) == 1, answers
    expected = before + 6 + _PROMPT_TOKENS
    assert (
        context.fleet.wait_for_billed_tokens('drafting', expected) == expected
    )


def _send_wrong_request(context, kind):
    vm = context.fleet.vms[0]
    if kind == 'an empty budget':
        _ask(_client(vm, key=EMPTY_ACCOUNT_KEY), 8)
    elif kind == 'a wrong key':
        _ask(_client(vm, key='wrong'), 8)
    elif kind == 'an unknown model':
        _ask(_client(vm), 8, model='unknown')
    else:
        _ask(_client(vm), -1)


@then('{kind} raises {error} with status {status:d} and code {code}')
def raises(context, kind, error, status, code):
    context.kinds = [*getattr(context, 'kinds', []), kind]
    try:
        _send_wrong_request(context, kind)
    except openai.APIStatusError as raised:
        assert type(raised).__name__ == error, type(raised)
        assert raised.status_code == status, raised
        assert raised.code == code, raised.body
        assert raised.type == code, raised.body
        assert raised.body['not_run'] is True, raised.body
        return
    raise AssertionError(f'{kind} was served')


@then(
    'all 4 kinds of refusals were raised and a wrong key gets '
    'x-should-retry false'
)
def forbids_retry(context):
    response = httpcore.request(
        'POST',
        f'{context.fleet.vms[0].url}/v1/chat/completions',
        headers={'authorization': 'Bearer wrong'},
    )
    headers = dict(response.headers)
    assert headers[b'x-should-retry'] == b'false', headers
    assert len(context.kinds) == 4, context.kinds


@then("the client's stream raises APIError after its first tokens")
def stream_raises(context):
    chunks = _ask(_client(context.fleet.vms[0]), 12, stream=True)
    text = ''
    try:
        for chunk in chunks:
            text += chunk.choices[0].delta.content or ''
    except openai.APIError as raised:
        assert raised.code == 'upstream_failed', raised.body
        assert text, 'the error came before the first token'
        return
    raise AssertionError(f'the stream ended without an error: {text}')

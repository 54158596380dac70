"""Steps that send invalid requests over raw TCP connections."""

import socket

import msgspec
from behave import then, when

from benchmarks.fleet import ACCOUNT_KEY

_TOKENS = 4
_BODY = {
    'model': 'drafts',
    'messages': [{'role': 'user', 'content': 'a sack'}],
    'max_tokens': _TOKENS,
}
_PROMPT_TOKENS = 2
_COMPLETIONS = '/v1/chat/completions'
_LIMIT_BYTES = 1_048_576


def _encoded(**changes):
    return msgspec.json.encode({**_BODY, **changes})


def _request(
    body=b'', method='POST', path=_COMPLETIONS, key=ACCOUNT_KEY, extra=()
):
    lines = [f'{method} {path} HTTP/1.1'.encode('latin-1'), b'host: teaseldale']
    if key:
        lines.append(f'authorization: Bearer {key}'.encode())
    if not any(line.startswith(b'content-length') for line in extra):
        lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join((*lines, *extra, b'', body))


def _request_with(line, body=None):
    return _request(_encoded() if body is None else body, extra=(line,))


def _chunked(chunks, *extra):
    lines = (
        f'POST {_COMPLETIONS} HTTP/1.1'.encode(),
        b'host: teaseldale',
        f'authorization: Bearer {ACCOUNT_KEY}'.encode(),
        b'transfer-encoding: chunked',
        *extra,
    )
    return b'\r\n'.join((*lines, b'', chunks))


_CHUNK = b'%x\r\n%s\r\n'
_VALID = _request(_encoded())
_INVALID = {
    'a body that is not JSON': _request(b'{"model": drafts}'),
    'a body with invalid UTF-8': _request(
        _encoded().replace(b'a sack', b'a \xff\xfe')
    ),
    'a body nested too deeply': _request(b'[' * 100_000),
    'a body without messages': _request(_encoded(messages=[])),
    'a body with tools': _request(_encoded(tools=[{'type': 'function'}])),
    'a body with negative tokens': _request(_encoded(max_tokens=-4)),
    'an unknown model': _request(_encoded(model='unknown')),
    'an unknown path': _request(b'', path='/v2/anything'),
    'an unknown service': _request(b'', path='/services/unknown/x'),
    'a path with dots': _request(b'', path='/services/orders/../admin'),
    'a path that is not UTF-8': _request(b'', path='/services/orders/%ff'),
    'no key': _request(_encoded(), key=None),
    'a wrong key': _request(_encoded(), key='wrong'),
    'an oversized body': _request(
        b'', extra=(b'content-length: %d' % (_LIMIT_BYTES + 1),)
    ),
    'an oversized chunked body': _chunked(
        _CHUNK % (_LIMIT_BYTES + 1, b' ' * (_LIMIT_BYTES + 1))
    ),
    'two equal content-lengths': _request(
        _encoded(),
        extra=(b'content-length: %d' % len(_encoded()),) * 2,
    ),
    'two content-lengths': _request(
        _encoded(),
        extra=(b'content-length: %d' % len(_encoded()), b'content-length: 3'),
    ),
    'a length beside chunks': _chunked(
        _CHUNK % (4, b'{"a"') + b'0\r\n\r\n', b'content-length: 4'
    ),
    'a broken chunk length': _chunked(b'zz\r\n{}\r\n0\r\n\r\n'),
    'two keys': _request_with(b'authorization: Bearer another'),
    'a head that is too long': _request_with(b'x-padding: ' + b'a' * 70_000),
    'a line that is not HTTP': b'HELO teaseldale\r\n\r\n',
    'a deadline that is no number': _request_with(
        b'x-teaseldale-deadline-ms: soon'
    ),
    'a priority that is too low': _request_with(b'x-teaseldale-priority: 10'),
    'a request key with spaces': _request_with(b'idempotency-key: a b'),
    'a request key that is too long': _request_with(
        b'idempotency-key: ' + b'k' * 201
    ),
}


def _exchange(vm, *requests):
    """Sends requests in sequence over one connection."""
    host, _, port = vm.callers.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        answers = []
        for request in requests:
            connection.sendall(request)
            answers.append(_read_answer(connection))
        return answers


def _read_answer(connection):
    received = b''
    while b'\r\n\r\n' not in received:
        received += _receive(connection)
    head, _, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    while len(body) < length:
        body += _receive(connection)
    return int(head.split()[1]), head, msgspec.json.decode(body)


def _receive(connection):
    received = connection.recv(65_536)
    assert received, 'the connection was closed'
    return received


def _counter(context, code):
    text = context.fleet.call_operators_api(
        context.fleet.vms[0], 'GET', '/metrics'
    )
    for line in text.splitlines():
        name = f'teaseldale_refusals_total{{reason="{code}"}}'
        if line.startswith(name):
            return int(line.split()[1])
    return 0


def _assert_billed(context, expected):
    billed = context.fleet.wait_for_billed_tokens('drafting', expected)
    assert billed == expected, (billed, expected)


@then(
    'each invalid request is refused and counted, and the next one is served',
)
def refuse_each(context):
    vm = context.fleet.vms[0]
    context.served = 0
    for row in context.table:
        before = _counter(context, row['code'])
        ((status, _, body),) = _exchange(vm, _INVALID[row['input']])
        assert status == int(row['status']), (row['input'], status, body)
        error = body['error']
        assert error['code'] == row['code'], (row['input'], error)
        assert error['not_run'] is True, (row['input'], error)
        assert error['message'].endswith('.'), error
        assert _counter(context, row['code']) == before + 1, row['input']
        ((served, _, _),) = _exchange(vm, _VALID)
        assert served == 200, row['input']
        context.served += 1


@then('only the tokens of the served requests are billed')
def billed_served(context):
    _assert_billed(context, context.served * (_TOKENS + _PROMPT_TOKENS))


@when('a caller disconnects in the middle of the body of an order')
def half_order(context):
    vm = context.fleet.vms[0]
    host, _, port = vm.callers.rpartition(':')
    request = _request(
        b'{"article": "sa',
        path='/services/orders/orders',
        extra=(b'content-length: 400',),
    )
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(request)


@then('the service has run no order')
def nothing_run(context):
    assert _exchange(context.fleet.vms[0], _VALID)[0][0] == 200
    assert context.fleet.statistics(context.fleet.service) == {}
    text = context.fleet.call_operators_api(
        context.fleet.vms[0], 'GET', '/metrics'
    )
    assert 'teaseldale_callers_gone_total 1' in text, text


@then('the VM serves the next request')
def serves_next(context):
    assert _exchange(context.fleet.vms[0], _VALID)[0][0] == 200


@when('the engines reject every prompt with status 400')
def reject(context):
    for engine in context.fleet.engines:
        context.fleet.set_faults(engine, reject_status=400)


@then('a completion is refused with status {status:d} and code {code}')
def completion_refused(context, status, code):
    ((received_status, _, body),) = _exchange(context.fleet.vms[0], _VALID)
    assert received_status == status, body
    assert body['error']['code'] == code, body
    assert body['error']['not_run'] is True, body


@then('the prompt is not retried and nothing is billed')
def tried_once(context):
    text = context.fleet.call_operators_api(
        context.fleet.vms[0], 'GET', '/metrics'
    )
    assert 'teaseldale_retries_total' not in text, text
    _assert_billed(context, 0)


@when('every engine fails each stream after its first token')
def fail_streams(context):
    for engine in context.fleet.engines:
        context.fleet.set_faults(
            engine, fail_percent=100, token_interval_ms=5, first_token_ms=5
        )


@then('a streamed completion ends with an error event and a broken connection')
def stream_ends_with_error(context):
    host, _, port = context.fleet.vms[0].callers.rpartition(':')
    request = _request(_encoded(stream=True))
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(request)
        received = b''
        while chunk := connection.recv(65_536):
            received += chunk
    assert b'"error"' in received, received
    assert b'"not_run":false' in received, received
    assert b'[DONE]' not in received, received
    assert not received.endswith(b'0\r\n\r\n'), received


@then('the same request with other white space is answered by the first run')
def same_request(context):
    line = b'idempotency-key: one'
    spaced = _encoded().replace(b':', b': ').replace(b',', b' ,')
    first, second = _exchange(
        context.fleet.vms[0], _request_with(line), _request_with(line, spaced)
    )
    assert first[2]['choices'] == second[2]['choices'], (first, second)
    _assert_billed(context, _TOKENS + _PROMPT_TOKENS)


@then('another request with the same key is refused as key_reused')
def other_request(context):
    ((status, _, body),) = _exchange(
        context.fleet.vms[0],
        _request_with(b'idempotency-key: one', _encoded(temperature=0.5)),
    )
    assert (status, body['error']['code']) == (409, 'key_reused'), body

"""Demonstration: one streamed completion, one order, one stock look-up."""

import time

import httpcore
import msgspec

from benchmarks.fleet import ACCOUNT_KEY, Fleet, Vm

_EXPECTED_TOKENS = 3 + 16 + 1 + 1  # prompt, draft, order, stock
_BILL_TIMEOUT_SECONDS = 30


def main() -> None:
    """Runs the demonstration; raises RuntimeError on an unexpected answer."""
    with Fleet(vm_count=4) as fleet:
        print('VMs:', ', '.join(vm.name for vm in fleet.vms))
        _show_budget(fleet)
        stream = _call(
            fleet.vms[1],
            'POST',
            '/v1/chat/completions',
            {
                'model': 'drafts',
                'messages': [{'role': 'user', 'content': 'a chestnut sack'}],
                'max_tokens': 16,
                'stream': True,
            },
        )
        print('draft:', stream)
        order = _call(
            fleet.vms[2],
            'POST',
            '/services/orders/orders',
            {'article': 'sack-50kg', 'pieces': 200},
        )
        print('order:', order)
        stock = _call(fleet.vms[3], 'GET', '/services/orders/stock/sack', None)
        print('stock:', stock)
        _wait_for_bill(fleet, tokens=_EXPECTED_TOKENS)
        _show_budget(fleet)
    print('all processes ended')


def _call(vm: Vm, method: str, path: str, body: object) -> str:
    response = httpcore.request(
        method,
        vm.url + path,
        headers={'authorization': f'Bearer {ACCOUNT_KEY}'},
        content=b'' if body is None else msgspec.json.encode(body),
    )
    if response.status != 200:
        raise RuntimeError(response.content.decode())
    text = response.content.decode()
    if not text.startswith('data: '):
        return text
    if not text.endswith('data: [DONE]\n\n'):
        raise RuntimeError('the stream ended without its [DONE] event')
    return ''.join(
        msgspec.json.decode(line[6:])['choices'][0]['delta'].get('content', '')
        for line in text.splitlines()
        if line.startswith('data: {')
    )


def _wait_for_bill(fleet: Fleet, tokens: int) -> None:
    """Waits until all answers are billed; raises RuntimeError on timeout."""
    deadline = time.monotonic() + _BILL_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if _budget(fleet)['billed_tokens'] == tokens:
            return
        time.sleep(0.1)
    raise RuntimeError(f'{tokens} tokens not billed: {_budget(fleet)}')


def _budget(fleet: Fleet) -> dict[str, int]:
    body: dict[str, int] = fleet.call_operators_api(  # type: ignore[assignment]
        fleet.vms[0], 'GET', '/budget?name=drafting'
    )
    return body


def _show_budget(fleet: Fleet) -> None:
    print('budget:', _budget(fleet))


if __name__ == '__main__':
    main()

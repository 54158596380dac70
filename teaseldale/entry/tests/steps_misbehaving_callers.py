"""Steps for callers of the own interface that misbehave."""

import os

import psutil
from behave import given, then, when

from teaseldale.entry.tests.misbehaving_callers import KINDS, OwnInterfaceVm
from teaseldale.platform.tests.misbehaving import Clients
from teaseldale.platform.tests.node_process import read_peak_memory_bytes
from teaseldale.platform.tests.steps_misbehaving_clients import DescriptorPeak

_BYTES_PER_MB = 1_000_000
_FIGURES_VARIABLE = 'TEASELDALE_FIGURES'
# Callers that have neither an answer nor a refusal by then are left waiting.
_FIRST_BYTES_SECONDS = 10


@given(
    'a VM with its own interface that may use {memory:d} MB and {count:d} '
    'descriptors'
)
def own_interface(context, memory, count):
    context.vm = OwnInterfaceVm(memory_mb=memory, descriptor_count=count)
    context.cleanup.callback(context.vm.stop)
    context.vm.start()
    context.start_mb = psutil.Process(context.vm.pid).memory_info().rss
    context.start_mb /= _BYTES_PER_MB
    context.peak = DescriptorPeak(context.vm)
    context.peak.start()
    context.cleanup.callback(context.peak.close)


@when('callers {kind} of the own interface')
def callers_misbehave(context, kind):
    count, make_pieces, step = KINDS[kind]
    clients = Clients()
    context.cleanup.callback(clients.close)
    clients.run(context.vm.callers, count, make_pieces)
    clients.wait_for_first_bytes(_FIRST_BYTES_SECONDS)
    if step is not None:
        clients.go_on(step)
    # The callers keep their connections open meanwhile.
    context.answered = {
        'call': context.vm.answers_call(),
        'models': context.vm.answers_models(),
    }
    context.is_alive = context.vm.is_alive
    context.peak_mb = 0
    if context.is_alive:
        peak_bytes = read_peak_memory_bytes(context.vm.pid)
        context.peak_mb = peak_bytes / _BYTES_PER_MB
    path = os.environ.get(_FIGURES_VARIABLE)
    if path:
        with open(path, 'a') as figures:
            figures.write(
                f'{kind} | {context.start_mb:.0f} to {context.peak_mb:.0f} MB '
                f'| {context.peak.count} | alive {context.is_alive} | '
                f'{context.answered}\n',
            )


@then('the VM with its own interface is alive')
def vm_alive(context):
    assert context.is_alive, context.vm.log[-2000:]


@then('an ordinary call and the list of models are answered')
def ordinary_answered(context):
    assert all(context.answered.values()), context.answered

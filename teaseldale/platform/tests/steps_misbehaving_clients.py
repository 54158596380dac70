"""Steps for clients that misbehave, with real processes on loopback."""

import contextlib
import os
import threading

from behave import given, then, when

from teaseldale.platform.tests.misbehaving import KINDS, SLOW_STEPS, Clients
from teaseldale.platform.tests.node_process import NodeProcess
from teaseldale.platform.tests.store_process import ROUTE_PREFIX

_BYTES_PER_MB = 1_000_000
_SAMPLE_SECONDS = 0.005
# Names a file to which the figures of each scenario are added.
_FIGURES_VARIABLE = 'TEASELDALE_FIGURES'


class DescriptorPeak:
    """Samples how many descriptors a VM has open."""

    def __init__(self, node):
        self._node = node
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self.count = 0

    def start(self):
        self._thread.start()

    def close(self):
        self._stop.set()
        self._thread.join()

    def _sample(self):
        while not self._stop.wait(_SAMPLE_SECONDS):
            # The directory is gone once the process has ended.
            with contextlib.suppress(OSError):
                self.count = max(self.count, self._node.descriptor_count)


def target_of(node, place):
    """Returns the address and the path of a place."""
    return {
        'a route': (node.callers, f'{ROUTE_PREFIX}a'),
        'a path without a route': (node.callers, '/elsewhere/a'),
        'the readiness address': (node.readiness, '/-/readyz'),
        'the metrics address': (node.metrics, '/metrics'),
    }[place]


@given('a VM process that may use {memory:d} MB and {count:d} descriptors')
def vm_process(context, memory, count):
    context.node = NodeProcess(memory_mb=memory, descriptor_count=count)
    context.cleanup.callback(context.node.stop)
    context.node.start()
    context.peak = DescriptorPeak(context.node)
    context.peak.start()
    context.cleanup.callback(context.peak.close)


@when('clients send {kind} to {place}')
def clients_send(context, kind, place):
    address, path = target_of(context.node, place)
    count, make_pieces = KINDS[kind]
    clients = Clients()
    context.cleanup.callback(clients.close)
    clients.run(address, count, lambda: make_pieces(path))
    if kind in SLOW_STEPS:
        clients.go_on(SLOW_STEPS[kind])
    # The clients keep their connections open meanwhile.
    context.answered = {
        'route': context.node.answers_route(),
        'readiness': context.node.answers_readiness(),
        'metrics': context.node.answers_metrics(),
    }
    context.is_alive = context.node.is_alive
    context.peak_mb = 0
    if context.is_alive:
        context.peak_mb = context.node.peak_memory_bytes / _BYTES_PER_MB
    _record(context, kind, place)


def _record(context, kind, place):
    path = os.environ.get(_FIGURES_VARIABLE)
    if path:
        with open(path, 'a') as figures:
            figures.write(
                f'{kind} | {place} | {context.peak_mb:.0f} MB | '
                f'{context.peak.count} | alive {context.is_alive} | '
                f'{context.answered}\n',
            )


@then('its process is alive')
def process_alive(context):
    assert context.is_alive, context.node.log[-2000:]


@then('its memory stayed below {bound:d} MB')
def memory_below(context, bound):
    assert context.peak_mb < bound, context.peak_mb


@then('its descriptors stayed below {bound:d}')
def descriptors_below(context, bound):
    assert context.peak.count < bound, context.peak.count


@then('an ordinary request, the readiness and the metrics are answered')
def all_answered(context):
    assert all(context.answered.values()), context.answered

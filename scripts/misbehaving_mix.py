"""Runs a mix of all misbehaving clients against one VM, for a given time.

Run from the root as ``PYTHONPATH=. python scripts/misbehaving_mix.py SECONDS``;
not part of CI. Each round connects a third of the clients of one kind at one
place, and closes those of the fourth round before. Kinds and places are drawn
with a fixed seed. Prints the memory and descriptors of the VM each half minute,
and after all clients have left.
"""

import random
import sys
import time

import psutil

from teaseldale.platform.tests.misbehaving import KINDS, SLOW_STEPS, Clients
from teaseldale.platform.tests.node_process import NodeProcess
from teaseldale.platform.tests.steps_misbehaving_clients import target_of

_MEMORY_MB = 150
_DESCRIPTOR_COUNT = 600
_SEED = 36
_SHARE = 3
_OPEN_ROUNDS = 4
_REPORT_SECONDS = 30
_SETTLE_SECONDS = 10
_BYTES_PER_MB = 1_000_000
_PLACES = (
    'a route',
    'a path without a route',
    'the readiness address',
    'the metrics address',
)


class Mix:
    """Rounds of misbehaving clients against one VM."""

    def __init__(self, node):
        self._node = node
        self._random = random.Random(_SEED)
        self._open = []
        self.round_count = 0
        self.unanswered_count = 0

    def run(self, seconds):
        """Plays rounds until the time is over."""
        start = time.monotonic()
        reported = start
        while time.monotonic() - start < seconds and self._node.is_alive:
            self._play_round()
            if time.monotonic() - reported >= _REPORT_SECONDS:
                reported = time.monotonic()
                self.report(f'{reported - start:.0f} s')

    def close(self):
        """Closes all clients."""
        for clients in self._open:
            clients.close()
        self._open.clear()

    def report(self, title):
        """Prints the state of the VM."""
        process = psutil.Process(self._node.pid)
        memory_mb = process.memory_info().rss / _BYTES_PER_MB
        peak_mb = self._node.peak_memory_bytes / _BYTES_PER_MB
        print(
            f'{title}: {memory_mb:.0f} MB, peak {peak_mb:.0f} MB, '
            f'{self._node.descriptor_count} descriptors, '
            f'{self.round_count} rounds, {self.unanswered_count} unanswered',
            flush=True,
        )

    def _play_round(self):
        kind = self._random.choice(tuple(KINDS))
        address, path = target_of(self._node, self._random.choice(_PLACES))
        count, make_pieces = KINDS[kind]
        clients = Clients()
        self._open.append(clients)
        clients.run(address, count // _SHARE, lambda: make_pieces(path))
        if kind in SLOW_STEPS:
            clients.go_on(SLOW_STEPS[kind])
        if len(self._open) > _OPEN_ROUNDS:
            self._open.pop(0).close()
        self.round_count += 1
        self.unanswered_count += not (
            self._node.answers_route()
            and self._node.answers_readiness()
            and self._node.answers_metrics()
        )


def main(seconds):
    """Runs the mix and reports before and after."""
    node = NodeProcess(
        memory_mb=_MEMORY_MB,
        descriptor_count=_DESCRIPTOR_COUNT,
    )
    mix = Mix(node)
    try:
        node.start()
        mix.report('start')
        mix.run(seconds)
        mix.close()
        time.sleep(_SETTLE_SECONDS)
        mix.report('after all clients have left')
        print('alive' if node.is_alive else node.log[-2000:])
    finally:
        mix.close()
        node.stop()


if __name__ == '__main__':
    main(int(sys.argv[1]))

"""Soak of ends of answers, whose faults are drawn by a seed.

    python -m teaseldale.platform.tests.answer_ends_soak --seeds 1-50
    python -m teaseldale.platform.tests.answer_ends_soak --row 400 before

A row has 48 undisturbed answers, and 192 whose runner is killed half-way
while all connections have delays up to the stated ms.
"""

import argparse
import asyncio
import itertools
import pathlib
import random
import signal
import time
from collections import Counter

import attrs

from teaseldale.platform.tests.ends_caller import call, judge
from teaseldale.platform.tests.ends_fleet import KINDS, Fleet

FORBIDDEN = ('shown as whole', 'foreign')
_DELAYS_MS = (0, 120, 200, 400, 1000)
_RUNNER_COUNT = 4
_ROUND_COUNT = 6
_REQUEST_COUNT = 12
_PIECE_COUNT = 20
_ANSWER_SECONDS = 0.8
_FREEZE_SECONDS = 0.25
_FILL_SECONDS = 0.25
_SETTLE_SECONDS = 15
_LATE_SECONDS = 1.2
_LATE_PAD_BYTES = 40_000
_FAULTS = ('reset', 'reset-later', 'end-then-reset', 'reset-after')
_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


@attrs.frozen(kw_only=True)
class Round:
    """Requests at one runner, and what happens meanwhile."""

    kill: int = 0  # signal
    next_process: str = 'never'  # listens before or after the kill, or later
    has_new_id: bool = False
    is_path_cut: bool = False
    is_frozen: bool = False
    has_resets: bool = False
    is_mixed: bool = False  # other framings, and callers that read late
    seed: float = 0

    @property
    def title(self):
        """What the requests have in common."""
        if self.kill:
            return f'killed, next {self.next_process}'
        if self.has_resets:
            return 'reset'
        return 'relayed' if self.is_path_cut else 'undisturbed'


def draw_round(draw):
    """Returns a round with faults that overlap."""
    return Round(
        kill=draw.choice((0, 0, 0, *_SIGNALS)),
        next_process=draw.choice(('before', 'after', 'never')),
        has_new_id=draw.random() < 0.5,
        is_path_cut=draw.random() < 0.3,
        is_frozen=draw.random() < 0.3,
        has_resets=draw.random() < 0.25,
        is_mixed=True,
        seed=draw.random(),
    )


class Soak:
    """Plays rounds at all runners of a fleet at the same time."""

    def __init__(self, fleet, seed):
        """Counts verdicts by the title of the round."""
        self.counts = Counter()
        self.finds = []
        self._fleet = fleet
        self._seed = seed
        self._numbers = itertools.count(1)
        self._vm_down_until = 0  # monotonic seconds

    async def play(self, rounds_by_runner, *, has_vm_fault):
        """Plays the rounds of each runner in order."""
        async with asyncio.TaskGroup() as tasks:
            for runner, rounds in zip(
                self._fleet.runners, rounds_by_runner, strict=True
            ):
                tasks.create_task(self._play_series(runner, rounds))
            if has_vm_fault:
                tasks.create_task(self._end_vm())

    async def _play_series(self, runner, rounds):
        for played in rounds:
            draw = random.Random(played.seed)
            await self._settle(runner)
            async with asyncio.TaskGroup() as tasks:
                for number in range(_REQUEST_COUNT):
                    name, late_seconds = _draw_name(
                        draw, played, KINDS[number % 3], runner.most_seconds
                    )
                    vm = self._fleet.vms[number // 3 % 2]
                    tasks.create_task(
                        self._request(runner, vm, played, name, late_seconds)
                    )
                if played.is_path_cut:
                    tasks.create_task(runner.path.fill(_FILL_SECONDS))
                tasks.create_task(self._disturb(runner, played, draw))

    async def _settle(self, runner):
        """Waits until both VMs have answers of the runner."""
        path = f'/{runner.name}/safe/safe,bare,none,1,0,0'
        deadline = time.monotonic() + _SETTLE_SECONDS
        for vm in self._fleet.vms:
            verdict = ''
            while verdict != 'whole' and time.monotonic() < deadline:
                request_id = f's{next(self._numbers)}'
                answer = await call(vm.callers, path, request_id)
                verdict = judge(answer, path, request_id)
                await asyncio.sleep(0.1)
            self.counts['settling', verdict] += 1

    async def _request(self, runner, vm, played, name, late_seconds):
        path = f'/{runner.name}/{name.split(",")[0]}/{name}'
        request_id = f'q{next(self._numbers)}'
        start = time.monotonic()
        answer = await call(vm.callers, path, request_id, late_seconds)
        verdict = judge(answer, path, request_id)
        is_vm_fault = self._vm_down_until > start
        title = 'VM ended' if is_vm_fault else played.title
        self.counts[title, verdict] += 1
        is_lost = title == 'undisturbed' and verdict != 'whole'
        if verdict in FORBIDDEN or is_lost:
            self.finds.append(
                f'{vm.name} {request_id} {path} {verdict} {answer.status} '
                f'{len(answer.body)} bytes {played}'
            )

    async def _disturb(self, runner, played, draw):
        half_seconds = runner.most_seconds + _ANSWER_SECONDS / 2
        await asyncio.sleep(half_seconds * draw.uniform(0.9, 1.1))
        if played.kill:
            await _replace(runner, played, draw)
        if played.is_frozen:
            await _freeze(draw.choice(self._fleet.vms))

    async def _end_vm(self):
        draw = random.Random(self._seed)
        await asyncio.sleep(draw.uniform(8, 16))
        vm = self._fleet.vms[1]
        self._vm_down_until = float('inf')
        await asyncio.to_thread(vm.end, draw.choice(_SIGNALS))
        await asyncio.to_thread(vm.start)
        self._vm_down_until = time.monotonic()


def _draw_name(draw, played, kind, most_seconds):
    """Returns the name of a request, and when its caller begins to read."""
    gap_ms = int((most_seconds + _ANSWER_SECONDS) * 1000 / _PIECE_COUNT)
    fault = draw.choice(_FAULTS) if played.has_resets else 'none'
    framing = draw.choice(('bare', 'bare', 'bare', 'length', 'chunks'))
    is_late = draw.random() < 0.2
    if not played.is_mixed:
        return f'{kind},bare,{fault},{_PIECE_COUNT},{gap_ms},0', 0
    pad_bytes = _LATE_PAD_BYTES * is_late
    name = f'{kind},{framing},{fault},{_PIECE_COUNT},{gap_ms},{pad_bytes}'
    return name, _LATE_SECONDS * is_late


async def _replace(runner, played, draw):
    pauses_seconds = [draw.uniform(0, 0.2) for _ in range(2)]
    if played.next_process == 'before':
        await runner.listen(has_new_id=played.has_new_id)
        await asyncio.sleep(pauses_seconds[0])
    await runner.end_first(played.kill)
    if played.next_process != 'before':
        is_never = played.next_process == 'never'
        await asyncio.sleep(6 if is_never else pauses_seconds[0])
        await runner.listen(has_new_id=played.has_new_id)
    await asyncio.sleep(pauses_seconds[1])
    runner.announce()
    await runner.prepare()


async def _freeze(vm):
    for _ in range(4):
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_SECONDS)
        vm.signal(signal.SIGCONT)
        await asyncio.sleep(_FREEZE_SECONDS / 5)


async def play_seed(seed):
    """Plays a history that is drawn by the seed; returns its soak."""
    draw = random.Random(seed)
    delays_ms = draw.sample(_DELAYS_MS, _RUNNER_COUNT)
    rounds = [
        [draw_round(draw) for _ in range(_ROUND_COUNT)] for _ in delays_ms
    ]
    attempts = draw.choice((1, 3))
    fleet = Fleet(seed=seed, delays_ms=delays_ms, attempts=attempts)
    return await _play(fleet, seed, rounds, has_vm_fault=True)


async def play_row(most_ms, next_process):
    """Plays rounds with one delay at most and one order of processes."""
    killed = [
        Round(
            kill=_SIGNALS[number % 2],
            next_process=next_process,
            has_new_id=number % 4 > 1,
            seed=number,
        )
        for number in range(8)
    ]
    rounds = [Round(), Round(), *killed]
    fleet = Fleet(seed=most_ms, delays_ms=(most_ms, most_ms))
    return await _play(fleet, most_ms, [rounds, rounds], has_vm_fault=False)


async def _play(fleet, seed, rounds, *, has_vm_fault):
    soak = Soak(fleet, seed)
    async with fleet.running():
        await soak.play(rounds, has_vm_fault=has_vm_fault)
        soak.logs = {vm.name: vm.log for vm in fleet.vms}
    return soak


def _report(title, soak, folder):
    counts = ', '.join(
        f'{group}: {count} {verdict}'
        for (group, verdict), count in sorted(soak.counts.items())
    )
    relayed_count = sum(
        log.count('"is_relayed":true') for log in soak.logs.values()
    )
    print(f'{title}: {counts}; {relayed_count} relayed', flush=True)
    if soak.finds and folder:
        place = pathlib.Path(folder, title.replace(' ', '-'))
        place.mkdir(parents=True, exist_ok=True)
        (place / 'finds.txt').write_text('\n'.join(soak.finds))
        for name, log in soak.logs.items():
            (place / f'{name}.log').write_text(log)


def _main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', help='first-last')
    parser.add_argument('--row', nargs=2, metavar=('MS', 'NEXT'))
    parser.add_argument('--finds', help='folder for logs of failed checks')
    options = parser.parse_args()
    if options.row:
        soak = asyncio.run(play_row(int(options.row[0]), options.row[1]))
        _report(f'row {" ".join(options.row)}', soak, options.finds)
    if options.seeds:
        first, last = map(int, options.seeds.split('-'))
        for seed in range(first, last + 1):
            soak = asyncio.run(play_seed(seed))
            _report(f'seed {seed}', soak, options.finds)


if __name__ == '__main__':
    _main()

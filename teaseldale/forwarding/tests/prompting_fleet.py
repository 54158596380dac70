"""VMs before runners that crash under a part of a prompt, in virtual time."""

import itertools

import anyio
import attrs

from teaseldale.forwarding.tests.crashing_fleet import (
    CrashingFleet,
    CrashingRunner,
)
from teaseldale.forwarding.tests.fleet_world import Arrival, now_ms
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import events, failure
from teaseldale.platform.tests.wire_names import (
    STAMP,
    last_event_id_of,
    prompt_parts_header,
    request_id_of,
    unbilled_headers,
)
from teaseldale.upstreams import BodyFraming, EndFinding, FailureKind

BAD_PARTS = ('bad0', 'bad1')
BAD_BODY = b'crashes its runner'
_READ_MS = (20, 60)  # until a runner begins to write
_CRASH_AFTER_MS = 86  # from then until its crash
_EVENT_MS = 40
_EVENT_COUNT = 15
_DEADLINE_MS = 5000
_COMMON_COUNT = 5  # first parts
_USUAL_COUNT = 40  # second parts that many prompts share
_RARE_COUNT = 4000  # second parts that few prompts share


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt and what becomes of it."""

    part_ids: tuple
    body: bytes

    @property
    def is_bad(self):
        """Returns whether it crashes the runner that begins to answer it."""
        return self.body == BAD_BODY or any(
            part_id in BAD_PARTS for part_id in self.part_ids
        )


class StreamAnswer:
    """A stream that ends with its runner."""

    is_kept = False
    is_relayed = False
    end_finding = EndFinding.NONE

    def __init__(self, *, runner, first_event_ms, last_event_id):
        self.status = 200
        self.headers = (STAMP, (b'content-type', b'text/event-stream'))
        self.framing = BodyFraming.CHUNKS
        self._runner = runner
        self._entry = runner.entry
        self._pause_ms = first_event_ms
        self._number = last_event_id

    async def read(self, timeout_ms=None):
        if self._number == _EVENT_COUNT:
            return b''
        await self._runner.wait(self._entry, self._pause_ms)
        self._pause_ms = _EVENT_MS
        self._number += 1
        return events(self._number, self._number)

    def release(self):
        """Does nothing, as there is no connection to release."""


class PromptingRunner(CrashingRunner):
    """A runner that ends once it begins to answer a bad prompt."""

    async def run(self, message, vm_number):
        fleet = self.fleet
        entry = self.entry
        prompt = fleet.prompts[request_id_of(message)]
        fleet.arrivals.append(
            Arrival(
                runner_id=entry.runner_id,
                request_id=request_id_of(message),
                body=prompt.body,
                at_ms=now_ms(),
                vm_number=vm_number,
            )
        )
        await self.wait(entry, fleet.random.uniform(*_READ_MS))
        if prompt.is_bad and now_ms() >= fleet.bad_from_ms:
            fleet.tasks.start_soon(self._crash_soon, entry)
        return StreamAnswer(
            runner=self,
            first_event_ms=fleet.first_event_ms,
            last_event_id=last_event_id_of(message),
        )

    async def wait(self, entry, pause_ms):
        """Waits; raises if the runner's incarnation ends meanwhile."""
        with anyio.CancelScope() as scope:
            if self.entry is not entry or not self.is_up:
                raise failure(FailureKind.BROKEN)
            self._scopes.add(scope)
            await anyio.sleep(pause_ms / 1000)
        self._scopes.discard(scope)
        if scope.cancel_called:
            raise failure(FailureKind.BROKEN)

    async def _crash_soon(self, entry):
        await anyio.sleep(_CRASH_AFTER_MS / 1000)
        if self.entry is entry:
            self.crash(is_caused=True)


class PromptingFleet(CrashingFleet):
    """VMs that get prompts with shared parts, some of them bad."""

    def __init__(self, *, vm_count, runner_count, kind):
        super().__init__(vm_count=vm_count, runner_count=0, kind=kind)
        self.configuration = attrs.evolve(
            self.configuration,
            routes=tuple(
                attrs.evolve(route, timeout_ms=_DEADLINE_MS)
                for route in self.configuration.routes
            ),
        )
        self.runners = {
            f'i-{number}': PromptingRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.prompts = {}  # by request id
        self.bad_from_ms = 0
        # From a runner's beginning until the first event of its answer.
        self.first_event_ms = 120
        self._numbers = itertools.count(1)

    async def ask(self, prompt):
        """Sends a prompt to some VM."""
        request_id = b'p-%d' % next(self._numbers)
        self.prompts[request_id] = prompt
        headers = (
            *unbilled_headers(request_id, _DEADLINE_MS),
            prompt_parts_header(prompt.part_ids),
        )
        caller = ScriptedCaller(headers=headers, body=prompt.body)
        caller.request_id = request_id
        caller.prompt = prompt
        caller.asked_ms = now_ms()
        vm = self.random.choice(self.vms)
        await vm.entry._respond(caller.exchange())
        self.callers.append(caller)

    def make_prompt(self, second=''):
        """Returns a prompt; its second part is a sound one by default."""
        random = self.random
        if not second and random.random() < 0.5:
            second = f'usual{random.randrange(_USUAL_COUNT)}'
        second = second or f'rare{random.randrange(_RARE_COUNT)}'
        number = next(self._numbers)
        return Prompt(
            part_ids=(
                f'common{random.randrange(_COMMON_COUNT)}',
                second,
                f'own{number}',
            ),
            body=b'%d' % number,
        )

    async def send_prompts(self, per_s, make):
        """Sends prompts at a rate, each made when it is sent."""
        while True:
            await anyio.sleep(1 / per_s)
            self.tasks.start_soon(self.ask, make())

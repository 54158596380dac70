"""Room at brittle runners, which end when they reject too many requests.

Each VM knows its own requests only, and one try too many of each VM is more
than a brittle runner survives. So room there is granted and not tried: one VM
holds the room of a runner and grants starts to all VMs, never more at a time
than the runner processes concurrently. See ``RoomLedger`` for what holds when
datagrams are lost or VMs are cut off.
"""

import functools
import itertools
import uuid
from collections.abc import Callable, Collection, Iterator

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing._brittle_book import BrittleBook
from teaseldale.routing._limit_holders import BaseLimitHolders
from teaseldale.routing._room_holding import RoomHolding
from teaseldale.routing._room_messages import (
    RoomReport,
    RoomState,
)
from teaseldale.routing._room_post import RoomPost
from teaseldale.routing._room_use import RoomUse, WaitingRequest
from teaseldale.routing._start_need import UNKNOWN_NEED, StartNeed

_EPOCH_SHIFT_BITS = 80  # leaves a random number of 48 bits
_HOLDER_RETRY_MS = 500.0  # named to callers if the holder does not answer
_REPORT_INTERVAL_MS = 250


@attrs.frozen(kw_only=True)
class RoomPermit:
    """Permit to send one request to a runner, until it is released."""

    runner: str = ''
    permit_id: int = 0  # 0 if it is not granted
    wait_ms: float = 0  # until there may be room, if it is not granted

    @property
    def is_granted(self) -> bool:
        """Returns whether the request may be sent."""
        return self.permit_id > 0


class RunnerRooms(BaseService):
    """Grants and takes permits for requests to brittle runners."""

    def __init__(
        self,
        *,
        vm_name: str,
        holders: BaseLimitHolders,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Starts without brittle runners."""
        self._vm_name = vm_name
        self._holders = holders
        self._clock = clock
        self._metrics = metrics
        self._book = BrittleBook(clock=clock, service_of=holders.service_of)
        self._uses: dict[str, RoomUse] = {}
        self._room_counts: dict[str, int] = {}  # as the holders have told
        self._post = RoomPost(
            vm_name=vm_name,
            holders=holders,
            apply_report=self._apply_report,
            apply_state=self._apply_state,
            metrics=metrics,
        )
        self._holding = RoomHolding(
            vm_name=vm_name,
            holders=holders,
            book=self._book,
            room_counts=self._room_counts,
            clock=clock,
            send=self._post.send_state,
        )
        # Tells this process from an earlier one of the VM, whose permits end
        # with it and whose datagrams may still be on their way.
        self._epoch = uuid.uuid4().int >> _EPOCH_SHIFT_BITS
        self._ids: Iterator[int] = itertools.count(self._epoch)
        self._sequences: Iterator[int] = itertools.count(1)
        self._has_brittle = anyio.Event()
        self._log = StateLog(channel='room')
        self.handlers = self._post.handlers

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'runner_rooms'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that repeats reports."""
        tasks.start_soon(self._keep_informed)

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._post.set_datagram_sender(send)

    def is_brittle(self, runner: str) -> bool:
        """Returns whether requests to a runner need room."""
        return self._book.find(runner) is not None

    def has_silent_holder(self, runner: str) -> bool:
        """Returns whether the holder of a runner's room does not answer."""
        use = self._uses.get(runner)
        if use is None or not self.is_brittle(runner):
            return False
        return use.is_unanswered(self._clock.monotonic_ms())

    async def take(
        self,
        runner: str,
        *,
        max_wait_ms: float,
        need: StartNeed = UNKNOWN_NEED,
    ) -> RoomPermit:
        """Waits for room at a runner, for ``max_wait_ms`` at most.

        A permit that is granted must be released.
        """
        permit_id = next(self._ids)
        use = self._use_of(runner)
        if not self.is_brittle(runner):
            use.open_needs[permit_id] = need
            return RoomPermit(runner=runner, permit_id=permit_id)
        self._has_brittle.set()
        now_ms = self._clock.monotonic_ms()
        request = WaitingRequest(until_ms=now_ms + max_wait_ms, need=need)
        use.waiting[permit_id] = request
        try:
            if not self.has_silent_holder(runner):
                await request.wait(
                    clock=self._clock,
                    report=functools.partial(self._report, runner),
                )
        except BaseException:
            use.open_needs.pop(permit_id, None)
            raise
        finally:
            use.waiting.pop(permit_id)
            is_given_up = request.refused_wait_ms is None
            if is_given_up and permit_id not in use.open_needs:
                self._report(runner)
        return self._outcome(runner, permit_id, request)

    def release(self, permit: RoomPermit) -> None:
        """Ends a permit that was granted."""
        use = self._uses.get(permit.runner)
        if use is None:
            return
        use.open_needs.pop(permit.permit_id, None)
        if self.is_brittle(permit.runner):
            self._report(permit.runner)
        elif use.is_idle:
            self._uses.pop(permit.runner)

    def note_answer(
        self,
        runner: str,
        tolerated: int | None,
        *,
        age_ms: int = 0,
    ) -> None:
        """Records what an answer of that age, to any VM, says of its runner.

        ``tolerated`` is None if the answer names no rejections.
        """
        if tolerated is None:
            is_news = self._book.note_absence(runner)
        else:
            is_news = self._book.note_mention(runner, tolerated, age_ms=age_ms)
        if is_news:
            self._apply_news(runner)

    def note_load(
        self,
        runner: str,
        *,
        running_count: int,
        waiting_count: int,
        slot_count: int,
    ) -> None:
        """Records the load that an answer to this VM reports.

        Requests that wait at a runner are reported at once, before more are
        granted; other loads go with the next report.
        """
        use = self._uses.get(runner)
        if use is None:
            return
        use.note_load(
            running_count=running_count,
            waiting_count=waiting_count,
            slot_count=slot_count,
            now_ms=self._clock.monotonic_ms(),
        )
        if waiting_count and self.is_brittle(runner):
            self._report(runner)

    def note_rejection(self, runner: str) -> None:
        """Records that a runner has rejected a request of this VM."""
        if not self.is_brittle(runner):
            return
        use = self._use_of(runner)
        use.rejected_count += 1
        load = use.load(self._clock.monotonic_ms())
        self._log.changed(
            'brittle_runner_rejected',
            runner=runner,
            running=None if load is None else load.running_count,
            waiting=None if load is None else load.waiting_count,
            slots=None if load is None else load.slot_count,
            own_count=len(use.open_needs),
            room=self._room_counts.get(runner),
        )
        self._report(runner)

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops what is known of incarnations that have ended."""
        self._book.keep_only(runners)
        for ended_use in self._uses.keys() - runners:
            self._uses.pop(ended_use)
        self._holding.keep_only(runners)
        for ended in self._room_counts.keys() - runners:
            self._room_counts.pop(ended)

    async def _keep_informed(self) -> None:
        while True:
            await self._has_brittle.wait()
            await self._clock.sleep_ms(_REPORT_INTERVAL_MS)
            self._book.drop_expired()
            for runner in self._book.runners():
                use = self._uses.get(runner)
                if use is not None and not use.is_idle:
                    self._report(runner)
            self._holding.refresh()
            if self._book.is_empty:
                self._has_brittle = anyio.Event()

    def _outcome(
        self,
        runner: str,
        permit_id: int,
        request: WaitingRequest,
    ) -> RoomPermit:
        if request.is_granted:
            self._metrics.increment('room_permits', 'granted')
            return RoomPermit(runner=runner, permit_id=permit_id)
        if request.refused_wait_ms is not None:
            self._metrics.increment('room_permits', 'refused')
            return RoomPermit(wait_ms=request.refused_wait_ms)
        if self._may_start_alone(runner):
            self._metrics.increment('room_permits', 'alone')
            self._use_of(runner).open_needs[permit_id] = request.need
            self._report(runner)
            return RoomPermit(runner=runner, permit_id=permit_id)
        self._metrics.increment('room_permits', 'unanswered')
        return RoomPermit(wait_ms=_HOLDER_RETRY_MS)

    def _may_start_alone(self, runner: str) -> bool:
        """Returns whether a request fits into the share of this VM."""
        use = self._use_of(runner)
        now_ms = self._clock.monotonic_ms()
        if use.is_newly_silent(now_ms):
            self._log.changed(
                'room_holder_silent',
                runner=runner,
                holder=self._holders.holder_of(runner),
            )
        return use.may_start_alone(
            self._room_counts.get(runner, 0),
            len(self._holders.users_of(runner)),
            now_ms,
        )

    def _use_of(self, runner: str) -> RoomUse:
        use = self._uses.get(runner)
        if use is None:
            use = RoomUse(now_ms=self._clock.monotonic_ms())
            self._uses[runner] = use
        return use

    def _apply_news(self, runner: str) -> None:
        """Acts on a runner that has become brittle, or is no more."""
        self._has_brittle.set()
        if not self.is_brittle(runner):
            self._use_of(runner).grant_all()
        self._report(runner)
        self._holding.tell_all(runner)

    def _report(self, runner: str) -> None:
        """Tells the holder what this VM has at a runner."""
        use = self._use_of(runner)
        known = self._book.find(runner)
        now_ms = self._clock.monotonic_ms()
        sequence = next(self._sequences)
        use.note_report(sequence, now_ms)
        report = RoomReport(
            vm_name=self._vm_name,
            runner=runner,
            epoch=self._epoch,
            sequence=sequence,
            tolerated_rejections=(
                None if known is None else known.tolerated_rejections
            ),
            mention_age_ms=self._book.mention_age_ms(runner),
            open_ids=tuple(use.open_needs),
            waiting=use.asked(now_ms),
            rejected_count=use.rejected_count,
            is_alone=use.is_alone,
            load=use.load(now_ms),
            open_tokens=tuple(
                need.own_tokens for need in use.open_needs.values()
            ),
            open_parts=use.open_parts,
            memory_tokens=use.memory_tokens,
        )
        self._post.send_report(report)

    def _apply_report(self, report: RoomReport) -> None:
        self.note_answer(
            report.runner,
            report.tolerated_rejections,
            age_ms=report.mention_age_ms,
        )
        self._holding.apply(report)

    def _apply_state(self, state: RoomState) -> None:
        runner = state.runner
        self.note_answer(
            runner,
            state.tolerated_rejections,
            age_ms=state.mention_age_ms,
        )
        self._room_counts[runner] = state.room_count
        use = self._uses.get(runner)
        if use is not None:
            use.acknowledge(state.sequence, self._clock.monotonic_ms())
            use.decide(state.granted_ids, state.refused)

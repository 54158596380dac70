"""Request rates to which runners limit all VMs together.

A runner names its limit in its answers; a cold runner has that of its service
until it is warm. If both apply, the lower one is kept.

Each limited runner has one VM that holds its limit. The holder schedules the
requests of all VMs: its own start when the schedule has room, the others ask
for permits by datagram, when no other runner has room. The fleet therefore
keeps the limit with any number of VMs, and no part of it is reserved for a VM
that does not need it.
"""

import itertools
from collections.abc import Callable, Collection, Iterator, Mapping

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.routing._cold_limits import ColdLimits, ColdStatement
from teaseldale.routing._limit_book import KnownLimit, LimitBook
from teaseldale.routing._limit_holders import BaseLimitHolders
from teaseldale.routing._limit_messages import (
    LIMIT_REQUEST,
    LIMIT_STATE,
    LimitRequest,
    LimitState,
)
from teaseldale.routing._limit_post import LimitPost
from teaseldale.routing._limit_schedule import LimitSchedule

_MS_PER_SECOND = 1000
# A round trip takes a few ms, and longer if a link or VM is busy.
_ANSWER_TIMEOUT_MS = 60
# A VM without an answer from the holder refuses its requests for this long.
_HOLDER_RETRY_MS = 500
_TELL_INTERVAL_MS = 1000  # of the holder; replaces lost datagrams
# A VM that hears nothing from the holder asks it.
_UNCONFIRMED_MS = 5000
# A limit that nobody confirms, as no request is sent to its runner, is dropped.
_LIFETIME_MS = 60_000
_WARM = ColdStatement(limit_per_s=0, left_ms=0, revision=0)


@attrs.frozen(kw_only=True)
class LimitPermit:
    """Whether the limit of a runner allows a request."""

    is_granted: bool
    wait_ms: float  # until the start if granted, else until a free one
    is_scheduled: bool = False  # whether it counts for a limit


@attrs.define(kw_only=True)
class _OpenRequest:
    state: LimitState | None = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.frozen(kw_only=True)
class _Terms:
    """The limit that applies to a runner now."""

    limit_per_s: float
    schedule: LimitSchedule  # used by the holder


class RunnerLimits(BaseService):
    """Limits that runners name and limits of cold ones, by incarnation."""

    def __init__(
        self,
        *,
        vm_name: str,
        holders: BaseLimitHolders,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Starts without limits."""
        self._vm_name = vm_name
        self._holders = holders
        self._clock = clock
        self._metrics = metrics
        self._book = LimitBook(clock=clock)
        self.cold = ColdLimits(clock=clock, metrics=metrics)
        self.cold.set_change_listener(self._handle_cold)
        self._post = LimitPost(holders=holders, metrics=metrics)
        self._open: dict[int, _OpenRequest] = {}
        self._ids: Iterator[int] = itertools.count(1)
        self._has_limits = anyio.Event()
        self._report_due_ms = 0  # monotonic; next unchanged limit to the holder
        self.handlers: Mapping[bytes, Callable[[bytes], None]] = {
            LIMIT_REQUEST: self._handle_request,
            LIMIT_STATE: self._handle_state,
        }

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'runner_limits'

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._post.send_datagram = send

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that keeps VMs informed of limits."""
        tasks.start_soon(self._keep_informed)

    def is_limited(self, runner: str) -> bool:
        """Returns whether a runner names a limit or is cold."""
        return _terms_of(self._book, self.cold, runner) is not None

    def may_start(self, runner: str) -> bool:
        """Returns whether ``take`` grants a permit without waiting.

        A cold runner is asked for a permit only if no other one has room.
        """
        if self.cold.is_cold(runner):
            return False
        known = self._book.find(runner)
        if known is None:
            return True
        is_holder = self._holders.holder_of(runner) == self._vm_name
        return is_holder and not known.schedule.wait_ms(
            self._clock.monotonic_ms(),
        )

    async def take(self, runner: str, *, max_wait_ms: float) -> LimitPermit:
        """Asks for a permit; the caller must wait as long as it says."""
        terms = _terms_of(self._book, self.cold, runner)
        if terms is None:
            return LimitPermit(is_granted=True, wait_ms=0)
        holder = self._holders.holder_of(runner)
        if holder == self._vm_name:
            return self._schedule(terms, max_wait_ms)
        state = await self._ask(runner, holder, max_wait_ms)
        if state is None:
            self._metrics.increment('limit_requests_unanswered')
            return LimitPermit(is_granted=False, wait_ms=_HOLDER_RETRY_MS)
        return LimitPermit(
            is_granted=state.is_granted,
            wait_ms=state.wait_ms,
            is_scheduled=True,
        )

    def note_answer(self, runner: str, limit_per_s: float | None) -> None:
        """Records the limit of an answer; None if the answer names none."""
        previous = self._book.find(runner)
        if previous is None and limit_per_s is None:
            return
        has_changed = self._set(runner, limit_per_s)
        if self._holders.holder_of(runner) == self._vm_name:
            if has_changed:
                self._tell_users(runner)
        elif has_changed or self._clock.monotonic_ms() >= self._report_due_ms:
            self._report_due_ms = self._clock.monotonic_ms() + _TELL_INTERVAL_MS
            self._send_request(runner, limit_per_s, age_ms=0)

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops the limits of incarnations that have ended."""
        self._book.keep_only(runners)
        self.cold.keep_only(runners)

    def _schedule(self, terms: _Terms, max_wait_ms: float) -> LimitPermit:
        now_ms = self._clock.monotonic_ms()
        wait_ms = terms.schedule.book(
            terms.limit_per_s,
            now_ms=now_ms,
            max_wait_ms=max_wait_ms,
        )
        if wait_ms is None:
            self._metrics.increment('limit_permits_refused')
            return LimitPermit(
                is_granted=False,
                wait_ms=terms.schedule.wait_ms(now_ms),
            )
        self._metrics.increment('limit_permits')
        return LimitPermit(
            is_granted=True,
            wait_ms=wait_ms,
            is_scheduled=True,
        )

    def _set(self, runner: str, limit_per_s: float | None) -> bool:
        """Returns whether the limit has changed."""
        has_changed = self._book.set_limit(runner, limit_per_s)
        self._has_limits.set()
        return has_changed

    async def _ask(
        self,
        runner: str,
        holder: str,
        max_wait_ms: float,
    ) -> LimitState | None:
        """Returns the holder's answer, or None if there is none in time."""
        permit_id = next(self._ids)
        request = _OpenRequest()
        self._open[permit_id] = request
        known = self._book.find(runner)
        cold = self.cold.statement_of(runner) or _WARM
        # Without a named limit the age says that the holder knows better.
        heard_ms = -_LIFETIME_MS if known is None else known.confirmed_ms
        message = LimitRequest(
            vm_name=self._vm_name,
            runner=runner,
            limit_per_s=None if known is None else known.limit_per_s,
            age_ms=self._clock.monotonic_ms() - heard_ms,
            permit_id=permit_id,
            max_wait_ms=max_wait_ms,
            cold_left_ms=cold.left_ms,
            cold_limit_per_s=cold.limit_per_s,
            cold_revision=cold.revision,
        )
        self._post.send(holder, LIMIT_REQUEST, message)
        try:
            with anyio.move_on_after(_ANSWER_TIMEOUT_MS / _MS_PER_SECOND):
                await request.answered.wait()
        finally:
            self._open.pop(permit_id)
        if request.state is None and cold.left_ms:
            # The deputy states that the runner is cold, and may not know it.
            self._post.send(
                self._holders.deputy_of(runner),
                LIMIT_REQUEST,
                msgspec.structs.replace(message, permit_id=0),
            )
        return request.state

    def _send_request(
        self,
        runner: str,
        limit_per_s: float | None,
        *,
        age_ms: int,
    ) -> None:
        known = self._book.find(runner)
        if known is not None:
            known.asked_ms = self._clock.monotonic_ms()
        self._post.send(
            self._holders.holder_of(runner),
            LIMIT_REQUEST,
            LimitRequest(
                vm_name=self._vm_name,
                runner=runner,
                limit_per_s=limit_per_s,
                age_ms=age_ms,
            ),
        )

    def _handle_request(self, content: bytes) -> None:
        """Answers another VM; raises ``msgspec.DecodeError``."""
        request = msgspec.msgpack.decode(content, type=LimitRequest)
        runner = request.runner
        self.cold.note_message(runner, _cold_statement_of(request))
        if self._holders.holder_of(runner) != self._vm_name:
            self._metrics.increment('limit_requests_misdirected')
            return
        is_newer = self._book.is_newer(
            runner,
            request.limit_per_s,
            age_ms=request.age_ms,
        )
        if is_newer and self._set(runner, request.limit_per_s):
            self._tell_users(runner)
        terms = _terms_of(self._book, self.cold, runner)
        permit = LimitPermit(is_granted=True, wait_ms=0)
        if terms is not None and request.permit_id:
            permit = self._schedule(terms, request.max_wait_ms)
        self._send_state(
            request.vm_name,
            runner,
            permit_id=request.permit_id,
            permit=permit,
        )

    def _handle_state(self, content: bytes) -> None:
        """Applies the holder's view; raises ``msgspec.DecodeError``."""
        state = msgspec.msgpack.decode(content, type=LimitState)
        self.cold.note_message(state.runner, _cold_statement_of(state))
        if self._holders.holder_of(state.runner) != state.vm_name:
            self._metrics.increment('limit_states_not_taken')
            return
        is_named = self._book.find(state.runner) is not None
        if state.limit_per_s is not None or is_named:
            self._set(state.runner, state.limit_per_s)
        request = self._open.get(state.permit_id)
        if request is not None:
            request.state = state
            request.answered.set()

    async def _keep_informed(self) -> None:
        while True:
            await self._has_limits.wait()
            await self._clock.sleep_ms(_TELL_INTERVAL_MS)
            for runner, known in self._book.all_limits():
                self._refresh(runner, known)
            cold = self.cold.cold_runners()
            self._metrics.set_gauge('runners_cold', len(cold))
            for runner in cold:
                self._handle_cold(runner)
            if self._book.is_empty and not cold:
                self._has_limits = anyio.Event()

    def _handle_cold(self, runner: str) -> None:
        """Tells users of a cold runner, as the holder or its deputy.

        Users without the store would otherwise send all their requests to the
        one runner whose holder has ended.
        """
        self._has_limits.set()
        holders = self._holders
        if self._vm_name in {
            holders.holder_of(runner),
            holders.deputy_of(runner),
        }:
            self._tell_users(runner)

    def _refresh(self, runner: str, known: KnownLimit) -> None:
        age_ms = self._clock.monotonic_ms() - known.confirmed_ms
        if age_ms >= _LIFETIME_MS:
            self._set(runner, None)
        elif self._holders.holder_of(runner) == self._vm_name:
            self._tell_users(runner)
        elif age_ms >= _UNCONFIRMED_MS:
            self._send_request(runner, known.limit_per_s, age_ms=age_ms)

    def _tell_users(self, runner: str) -> None:
        for vm_name in self._holders.users_of(runner):
            if vm_name != self._vm_name:
                self._send_state(vm_name, runner)

    def _send_state(
        self,
        vm_name: str,
        runner: str,
        *,
        permit_id: int = 0,
        permit: LimitPermit | None = None,
    ) -> None:
        known = self._book.find(runner)
        cold = self.cold.statement_of(runner) or _WARM
        self._post.send(
            vm_name,
            LIMIT_STATE,
            LimitState(
                vm_name=self._vm_name,
                runner=runner,
                limit_per_s=None if known is None else known.limit_per_s,
                permit_id=permit_id,
                is_granted=permit is not None and permit.is_granted,
                wait_ms=0 if permit is None else permit.wait_ms,
                cold_left_ms=cold.left_ms,
                cold_limit_per_s=cold.limit_per_s,
                cold_revision=cold.revision,
            ),
        )


def _cold_statement_of(message: LimitRequest | LimitState) -> ColdStatement:
    return ColdStatement(
        limit_per_s=message.cold_limit_per_s,
        left_ms=message.cold_left_ms,
        revision=message.cold_revision,
    )


def _terms_of(
    book: LimitBook,
    cold: ColdLimits,
    runner: str,
) -> _Terms | None:
    """Returns the lower of the limits that apply; None if there is none."""
    known = book.find(runner)
    statement = cold.statement_of(runner)
    schedule = cold.schedule_of(runner)
    if statement is not None and schedule is not None:
        limit_per_s = statement.limit_per_s
        if known is not None:
            limit_per_s = min(limit_per_s, known.limit_per_s)
        return _Terms(limit_per_s=limit_per_s, schedule=schedule)
    if known is None:
        return None
    return _Terms(limit_per_s=known.limit_per_s, schedule=known.schedule)

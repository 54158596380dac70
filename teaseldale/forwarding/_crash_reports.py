"""Service that shares crashes of runners under suspects with the other VMs.

Each crash is one row in the store, which all VMs follow. Rows survive the VMs
that wrote them; a VM that cannot write keeps its crashes and writes them later.
"""

from collections.abc import Iterable

import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import StoreAccess
from teaseldale.forwarding._break_examinations import (
    BreakExaminations,
    BrokenRequest,
)
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._crash_row_writer import CrashRowWriter
from teaseldale.forwarding._crash_rows import (
    CRASH_TABLE,
    decode_crash,
    row_key_of,
    suspect_of,
    upstream_of,
)
from teaseldale.forwarding._recent_answers import RecentAnswers
from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members import BaseFleetMembers, rendezvous
from teaseldale.tables import Row, TableFollower
from teaseldale.upstreams import CrashSuspects, ReportedCrash, Suspect

_FEED_WAIT_MS = 2000
_EXPIRY_CHECK_MS = 10_000
# Times of crashes at other VMs are known to within a call to the store.
_CLEARING_MARGIN_MS = 250
# An answer to a sound part that many prompts share is seen within this time.
_DOUBT_MS = 1000


class CrashReports(BaseService):
    """Requests and parts that crash runners, as known to all VMs."""

    def __init__(
        self,
        *,
        vm_name: str,
        members: BaseFleetMembers,
        directory: RunnerDirectory,
        connections: RunnerConnectionPools,
        store: StoreAccess,
    ) -> None:
        """Follows the crashes of all VMs after ``start``."""
        self._vm_name = vm_name
        self._members = members
        self._directory = directory
        self._clock = store.clock
        self._metrics = store.metrics
        self._suspects = CrashSuspects(clock=self._clock, metrics=self._metrics)
        self._answered = RecentAnswers(clock=self._clock)
        self._examinations = BreakExaminations(
            directory=directory,
            connections=connections,
            clock=self._clock,
            metrics=self._metrics,
            on_crash=self._report,
        )
        self._stored_keys: set[str] = set()
        self._log = StateLog(channel='crashes')
        self._follower = TableFollower(
            feed=store.feed,
            table=CRASH_TABLE,
            clock=self._clock,
            metrics=self._metrics,
            on_snapshot=self._apply_all,
            on_changes=self._apply_rows,
            wait_ms=_FEED_WAIT_MS,
        )
        self._writer = CrashRowWriter(
            store=store,
            follower=self._follower,
            log=self._log,
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'crash_reports'

    @property
    def has_suspects(self) -> bool:
        """Returns whether any crash of a runner is known or examined."""
        return self._examinations.is_running or not self._suspects.is_empty

    async def start(self, tasks: TaskGroup) -> None:
        """Starts following and writing the rows."""
        self._examinations.start(tasks)
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._writer.run)
        tasks.start_soon(self._remove_expired)

    def is_quarantined(self, key: str) -> bool:
        """Returns whether a suspect may not be sent to a runner.

        A part that runners have answered lately is given the time of another
        answer, which clears it if it is sound.
        """
        held_ms = self._suspects.quarantined_ms(key)
        if held_ms is None:
            return False
        return held_ms >= _DOUBT_MS or not self._answered.is_recent(key)

    def expires_in_ms(self, key: str) -> int:
        """Returns the time until a suspect may be sent again."""
        return self._suspects.expires_in_ms(key)

    async def examine_break(
        self,
        suspects: tuple[Suspect, ...],
        runner: ForwardingRunner,
        *,
        running_ms: int,
    ) -> None:
        """Records a crash if the runner has ended without an announcement.

        Call it when the connection of a request is lost. It returns after a
        short time, even if it is still examined what became of the runner.
        """
        known = self._directory.find(runner.runner_id)
        if known is None or known.is_leaving:
            return
        await self._examinations.examine(
            runner,
            BrokenRequest(
                suspects=suspects,
                running_ms=running_ms,
                broken_ms=self._clock.monotonic_ms(),
            ),
        )

    def clear(self, fingerprint: str) -> None:
        """Clears a request that has run to a good end."""
        self._answered.note(fingerprint, self._clock.monotonic_ms())
        upstreams = self._suspects.forget(fingerprint)
        if not upstreams:
            return
        self._metrics.increment('quarantine_releases', 'ran_through')
        for upstream in upstreams:
            self._writer.queue(row_key_of(fingerprint, upstream), None)

    def clear_parts(self, suspects: Iterable[Suspect], began_ms: int) -> None:
        """Clears parts of a prompt that a runner has begun to answer.

        ``began_ms`` is the monotonic time at which the answer began. Crashes
        before it count no longer.
        """
        for suspect in suspects:
            self._answered.note(suspect.key, began_ms)
            upstreams = self._suspects.forget_before(
                suspect.key,
                began_ms - _CLEARING_MARGIN_MS,
            )
            for upstream in upstreams:
                self._metrics.increment('quarantine_releases', 'part_answered')
                self._writer.queue(row_key_of(suspect.key, upstream), None)

    def _report(self, runner: ForwardingRunner, request: BrokenRequest) -> None:
        upstream = runner.incarnation_name
        suspects = tuple(
            suspect
            for suspect in request.suspects
            if not self._answered.has_since(suspect.key, request.broken_ms)
        )
        for suspect in suspects:
            self._record(
                suspect.key,
                ReportedCrash(
                    upstream=upstream,
                    running_ms=request.running_ms,
                    age_ms=self._clock.monotonic_ms() - request.broken_ms,
                    part_position=suspect.part_position,
                ),
            )
        keys = tuple(reported.key for reported in suspects)
        self._log.changed(
            'runner_ended_under_request',
            fingerprint=request.suspects[0].key,
            suspects=keys,
            runner=upstream,
            running_ms=request.running_ms,
            quarantined=tuple(filter(self._suspects.is_quarantined, keys)),
        )

    def _record(self, key: str, crash: ReportedCrash) -> None:
        if self._suspects.is_full:
            self._drop_suspect(self._suspects.oldest())
        self._suspects.record(key, crash)
        self._writer.queue(row_key_of(key, crash.upstream), crash)

    def _apply_all(self, rows: tuple[Row, ...]) -> None:
        """Applies a full read, which lacks the rows removed before it."""
        for key in self._stored_keys.difference(row.key for row in rows):
            self._forget_row(key)
        self._apply_rows(rows)

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                self._forget_row(row.key)
            else:
                self._apply_row(row.key, row.value)

    def _apply_row(self, key: str, encoded: bytes) -> None:
        try:
            crash = decode_crash(key, encoded, self._follower.store_ms)
        except msgspec.DecodeError as error:
            self._metrics.increment('rows_unreadable', CRASH_TABLE)
            self._log.changed(
                'row_unreadable',
                table=CRASH_TABLE,
                key=key,
                reason=str(error),
            )
            return
        self._stored_keys.add(key)
        self._suspects.record(suspect_of(key), crash)

    def _forget_row(self, key: str) -> None:
        self._stored_keys.discard(key)
        self._suspects.forget_crash(suspect_of(key), upstream_of(key))

    async def _remove_expired(self) -> None:
        """Removes expired suspects; one VM for each also removes its rows."""
        while True:
            await self._clock.sleep_ms(_EXPIRY_CHECK_MS)
            for fingerprint in self._suspects.expired():
                owner = rendezvous(fingerprint, self._members.entries())
                if owner == self._vm_name:
                    self._drop_suspect(fingerprint)
                else:
                    self._suspects.forget(fingerprint)

    def _drop_suspect(self, fingerprint: str) -> None:
        for upstream in self._suspects.forget(fingerprint):
            self._writer.queue(row_key_of(fingerprint, upstream), None)

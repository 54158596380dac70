"""The part of a VM that holds the room of some brittle runners."""

from collections.abc import Callable, Collection, Mapping

import msgspec

from teaseldale.clock import BaseClock
from teaseldale.routing._brittle_book import BrittleBook, BrittleRunner
from teaseldale.routing._limit_holders import BaseLimitHolders
from teaseldale.routing._room_ledger import RoomLedger
from teaseldale.routing._room_messages import RoomReport, RoomState

_TELL_INTERVAL_MS = 1000  # replaces lost datagrams
# Time for the VMs to report what they have at a runner: when it becomes brittle
# and after another VM has become the holder of its room.
_FIRST_REPORTS_MS = 60
_LATER_REPORTS_MS = 300
_NEWLY_KNOWN_MS = 1000


class RoomHolding:
    """Keeps the ledgers of the runners whose room this VM holds."""

    def __init__(
        self,
        *,
        vm_name: str,
        holders: BaseLimitHolders,
        book: BrittleBook,
        room_counts: Mapping[str, int],
        clock: BaseClock,
        send: Callable[[str, RoomState], None],
    ) -> None:
        """Tells VMs, by their names, what they are granted with ``send``.

        ``room_counts`` is the room that holders have told this VM of.
        """
        self._vm_name = vm_name
        self._holders = holders
        self._book = book
        self._room_counts = room_counts
        self._clock = clock
        self._send = send
        self._ledgers: dict[str, RoomLedger] = {}
        self._told_ms = 0  # monotonic

    def apply(self, report: RoomReport) -> None:
        """Applies a VM's report and answers it."""
        runner = report.runner
        known = self._book.find(runner)
        if known is None:
            self._tell(runner, {report.vm_name})
            return
        ledger = self._ledger_of(runner, known)
        now_ms = self._clock.monotonic_ms()
        if ledger.apply(report, now_ms):
            granted = ledger.grant(self._holders.users_of(runner), now_ms)
            self._tell(runner, granted | {report.vm_name})

    def tell_all(self, runner: str) -> None:
        """Tells all VMs that use a runner of its room, if it is held here."""
        if self._holders.holder_of(runner) == self._vm_name:
            self._tell(runner, self._holders.users_of(runner))

    def refresh(self) -> None:
        """Drops ledgers that are held elsewhere; tells VMs now and then."""
        for runner in tuple(self._ledgers):
            is_held = self._holders.holder_of(runner) == self._vm_name
            if not is_held or self._book.find(runner) is None:
                self._ledgers.pop(runner)
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._told_ms >= _TELL_INTERVAL_MS:
            self._told_ms = now_ms
            for runner in self._book.runners():
                self.tell_all(runner)

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops the ledgers of incarnations that have ended."""
        for ended in self._ledgers.keys() - runners:
            self._ledgers.pop(ended)

    def _ledger_of(self, runner: str, known: BrittleRunner) -> RoomLedger:
        ledger = self._ledgers.get(runner)
        if ledger is None:
            now_ms = self._clock.monotonic_ms()
            is_new = now_ms - known.known_ms < _NEWLY_KNOWN_MS
            delay_ms = _FIRST_REPORTS_MS if is_new else _LATER_REPORTS_MS
            ledger = RoomLedger(
                slot_count=self._holders.slot_count_of(runner),
                proved_count=self._room_counts.get(runner, 0),
                tolerated_rejections=known.tolerated_rejections,
                now_ms=now_ms,
                opens_ms=now_ms + delay_ms,
            )
            self._ledgers[runner] = ledger
        return ledger

    def _tell(self, runner: str, vm_names: Collection[str]) -> None:
        for vm_name in sorted(vm_names):
            self._send(vm_name, self._state_for(vm_name, runner))

    def _state_for(self, vm_name: str, runner: str) -> RoomState:
        known = self._book.find(runner)
        ledger = self._ledgers.get(runner)
        slot_count = self._holders.slot_count_of(runner)
        state = RoomState(
            vm_name=self._vm_name,
            runner=runner,
            sequence=0,
            tolerated_rejections=(
                None if known is None else known.tolerated_rejections
            ),
            mention_age_ms=self._book.mention_age_ms(runner),
            room_count=self._room_counts.get(runner, slot_count),
        )
        if ledger is None:
            return state
        now_ms = self._clock.monotonic_ms()
        state = msgspec.structs.replace(
            state,
            room_count=ledger.room_count(now_ms),
        )
        sequence = ledger.sequence_of(vm_name)
        if not sequence:
            return state
        return msgspec.structs.replace(
            state,
            sequence=sequence,
            granted_ids=ledger.granted_ids(vm_name),
            refused=ledger.refuse(vm_name, now_ms),
        )

"""The requests of all VMs at one brittle runner, as the holder sees them.

Invariants: the permits that VMs hold, the shares of those that the holder does
not hear and the requests that run without a permit never exceed the room, nor
do their tokens exceed the memory of the runner. A permit counts from its grant
until a report of its VM lacks it, so that lost, late and repeated datagrams
only make the holder count too many.
"""

from collections import deque
from collections.abc import Collection

import attrs

from teaseldale.routing._proved_room import ProvedRoom
from teaseldale.routing._room_client import HeldPermit, RoomClient
from teaseldale.routing._room_memory import exceeds, tokens_in_use
from teaseldale.routing._room_messages import (
    RefusedStart,
    RoomReport,
    WaitingStart,
)
from teaseldale.routing._unheld_requests import UnheldRequests

# A VM that is not heard for this long may have to start requests within its
# share. VMs report several times in this time, and wait longer themselves.
_UNHEARD_MS = 700
# Requests of a VM that is not heard for this long have ended.
_ENDED_MS = 3000
# The share of a VM is kept for this long; the VM gives it up sooner.
_SHARE_KEPT_MS = 20_000
# A start that has not been rejected for this long has been accepted.
_ACCEPTED_MS = 300
# Without a reported load for this long, starts count as running once they have
# been accepted.
_LOAD_VALID_MS = 1000
_RATE_WINDOW_MS = 2000
# Wait that is named when no request has ended lately.
_UNKNOWN_WAIT_MS = 500.0
# Wait that is named to a request that exceeds the runner's memory.
_NEVER_WAIT_MS = 10_000.0


@attrs.frozen(kw_only=True)
class _Turn:
    """A request in the queue.

    Requests that do not wait come last, so that they pass no other.
    """

    start: WaitingStart
    until_ms: float  # monotonic; later starts are useless
    vm_name: str

    @property
    def rank(self) -> tuple[bool, float]:
        """Returns the key by which the queue is sorted."""
        return not self.start.max_wait_ms, self.until_ms


class RoomLedger:
    """Grants the room of one incarnation of a runner."""

    def __init__(
        self,
        *,
        slot_count: int,
        proved_count: int,
        tolerated_rejections: int,
        now_ms: int,
        opens_ms: int,
    ) -> None:
        """Grants nothing before ``opens_ms``, so that all VMs can report.

        ``proved_count`` is the room as an earlier holder has told it, or 0.
        """
        self._slot_count = slot_count
        self._proved = ProvedRoom(
            slot_count=slot_count,
            tolerated_rejections=tolerated_rejections,
            proved_count=proved_count,
            now_ms=now_ms,
        )
        self._unheld = UnheldRequests()
        self._memory_tokens = 0  # 0 if unknown
        self._loaded_ms = now_ms - _LOAD_VALID_MS  # latest reported load
        self._waiting_count = 0  # requests, by the latest load
        self._rejected_ms = now_ms  # latest rejection
        self._began_ms = now_ms
        self._opens_ms = opens_ms
        self._clients: dict[str, RoomClient] = {}
        self._queue: list[_Turn] = []  # the most urgent first
        self._ends_ms: deque[int] = deque()  # of requests, latest last

    def apply(self, report: RoomReport, now_ms: int) -> bool:
        """Applies a VM's report; returns False if it is out of date."""
        client = self._client_of(report, now_ms)
        if client is None or report.sequence <= client.sequence:
            return False
        self._memory_tokens = report.memory_tokens or self._memory_tokens
        is_new_load = client.note_load(report.load)
        rejected_count = client.note_rejections(report.rejected_count)
        if rejected_count:
            self._rejected_ms = now_ms
            self._proved.note_rejections(
                rejected_count,
                running_count=(
                    None if client.load is None else client.load.running_count
                ),
                held_count=self._held_count() + self._unheld.count(now_ms),
                now_ms=now_ms,
            )
        # A load counts the request with whose answer it came.
        held_count = self._held_count()
        ended = client.apply(report, now_ms)
        self._ends_ms.extend(now_ms for _ in ended)
        if not rejected_count:
            self._note_ended(ended, now_ms)
        if is_new_load:
            self._unheld.note_load(report.load, held_count, now_ms)
            self._apply_load(client, now_ms, is_rejection=bool(rejected_count))
        self._enqueue(report, client, now_ms)
        return True

    def grant(self, users: Collection[str], now_ms: int) -> set[str]:
        """Grants free room to waiting requests; returns their VMs."""
        self._queue = [turn for turn in self._queue if turn.until_ms >= now_ms]
        granted: set[str] = set()
        if now_ms < self._opens_ms:
            return granted
        self._drop_ended(now_ms)
        self._note_accepted(now_ms)
        taken_count = self._taken_count(users, now_ms)
        limit_count = self._proved.limit_count(taken_count, now_ms)
        free_count = limit_count - taken_count
        unheard_count = max(0, taken_count - self._held_count())
        unheard_tokens = unheard_count * self._mean_tokens()
        while free_count > 0 and self._queue:
            turn = self._queue[0]
            if not self._fits_memory(turn.start, unheard_tokens):
                break
            self._queue.pop(0)
            place = limit_count - free_count + 1
            self._clients[turn.vm_name].hold(turn.start, place, now_ms)
            granted.add(turn.vm_name)
            free_count -= 1
        return granted

    def room_count(self, now_ms: int) -> int:
        """Returns how many requests the runner takes, as far as is known."""
        counts = [self._slot_count]
        if self._proved.has_bound(now_ms):
            counts.append(self._proved.proved_count)
        mean_tokens = self._mean_tokens()
        if self._memory_tokens and mean_tokens:
            counts.append(int(self._memory_tokens / mean_tokens))
        return min(counts)

    def sequence_of(self, vm_name: str) -> int:
        """Returns the sequence of a VM's latest report; 0 without any."""
        client = self._clients.get(vm_name)
        return 0 if client is None else client.sequence

    def granted_ids(self, vm_name: str) -> tuple[int, ...]:
        """Returns the permits that a VM has been granted and still asks for."""
        client = self._clients.get(vm_name)
        if client is None:
            return ()
        return tuple(client.held.keys() & client.waiting.keys())

    def refuse(self, vm_name: str, now_ms: int) -> tuple[RefusedStart, ...]:
        """Refuses the requests of a VM for which room comes too late."""
        client = self._clients[vm_name]
        refused: list[RefusedStart] = []
        for position, turn in enumerate(tuple(self._queue)):
            if turn.vm_name != vm_name:
                continue
            wait_ms = self._wait_ms(position, now_ms)
            never_fits = exceeds(self._memory_tokens, turn.start)
            if never_fits or now_ms + wait_ms > turn.until_ms:
                self._queue.remove(turn)
                client.waiting.pop(turn.start.permit_id, None)
                # A later request would be the last one in the queue.
                later_ms = self._wait_ms(len(self._queue), now_ms)
                refused.append(
                    RefusedStart(
                        permit_id=turn.start.permit_id,
                        wait_ms=_NEVER_WAIT_MS if never_fits else later_ms,
                    ),
                )
        return tuple(refused)

    def _client_of(self, report: RoomReport, now_ms: int) -> RoomClient | None:
        """Returns the sender's client; None if its process has ended."""
        client = self._clients.get(report.vm_name)
        if client is None:
            client = RoomClient.of(report)
            self._clients[report.vm_name] = client
        elif client.has_replaced(report.epoch):
            return None
        elif client.epoch != report.epoch:
            # A runner may go on with requests whose connection has closed.
            self._unheld.note_abandoned(len(client.held), now_ms)
            client = client.successor(report)
            self._clients[report.vm_name] = client
        return client

    def _apply_load(
        self,
        client: RoomClient,
        now_ms: int,
        *,
        is_rejection: bool,
    ) -> None:
        """Applies a new load.

        A request may wait for the next step of its engine, so that a single
        load with waiting requests does not show that the runner is full.
        """
        load = client.load
        if load is None:
            return
        self._loaded_ms = now_ms
        earlier_count = self._waiting_count
        self._waiting_count = load.waiting_count
        if earlier_count and load.waiting_count:
            self._proved.note_waiting(load.running_count, now_ms)
        elif not is_rejection:
            self._proved.note_running(load.running_count, now_ms)

    def _note_ended(self, ended: list[HeldPermit], now_ms: int) -> None:
        """Counts what ran at a runner that does not report its load."""
        if not self._has_load(now_ms):
            accepted_count = max(
                (
                    permit.place
                    for permit in ended
                    if permit.granted_ms >= self._rejected_ms
                ),
                default=0,
            )
            self._proved.note_running(accepted_count, now_ms)

    def _note_accepted(self, now_ms: int) -> None:
        """Counts what runs at a runner that does not report its load."""
        if not self._has_load(now_ms):
            accepted_count = max(
                client.accepted_count(self._rejected_ms, now_ms - _ACCEPTED_MS)
                for client in self._clients.values()
            )
            self._proved.note_running(accepted_count, now_ms)

    def _has_load(self, now_ms: int) -> bool:
        return now_ms - self._loaded_ms < _LOAD_VALID_MS

    def _enqueue(
        self,
        report: RoomReport,
        client: RoomClient,
        now_ms: int,
    ) -> None:
        """Replaces the queued requests of a VM by those that it asks for."""
        vm_name = report.vm_name
        asked = {start.permit_id: start for start in report.waiting}
        known = client.waiting
        client.waiting = asked
        self._queue = [
            turn
            for turn in self._queue
            if turn.vm_name != vm_name or turn.start.permit_id in asked
        ]
        self._queue.extend(
            _Turn(
                start=start,
                until_ms=now_ms + start.max_wait_ms,
                vm_name=vm_name,
            )
            for permit_id, start in asked.items()
            if permit_id not in known and permit_id not in client.held
        )
        self._queue.sort(key=lambda turn: turn.rank)

    def _drop_ended(self, now_ms: int) -> None:
        """Drops the permits of VMs whose requests must have ended."""
        for client in self._clients.values():
            if now_ms - client.heard_ms >= _ENDED_MS:
                client.forget_permits()

    def _held_count(self) -> int:
        return sum(len(client.held) for client in self._clients.values())

    def _mean_tokens(self) -> float:
        """Returns the mean need of the held permits; 0 if it is unknown."""
        used_tokens = tokens_in_use(self._clients.values())
        return used_tokens / max(1, self._held_count())

    def _fits_memory(self, start: WaitingStart, unheard_tokens: float) -> bool:
        """Returns whether a start fits beside all others.

        ``unheard_tokens`` are needed by requests of which nothing is known.
        """
        if not self._memory_tokens:
            return True
        used_tokens = tokens_in_use(self._clients.values(), start)
        return used_tokens + unheard_tokens <= self._memory_tokens

    def _taken_count(self, users: Collection[str], now_ms: int) -> int:
        share = self.room_count(now_ms) // max(1, len(users))
        taken_count = self._unheld.count(now_ms)
        if now_ms - self._began_ms < _ENDED_MS:
            # Others may have used the room before this VM became its holder.
            taken_count += share * len(set(users) - self._clients.keys())
        for name, client in self._clients.items():
            kept_count = share if name in users else 0
            taken_count += _taken_by(client, kept_count, now_ms)
        return taken_count

    def _wait_ms(self, position: int, now_ms: int) -> float:
        """Returns the time until a place of the queue gets room."""
        while self._ends_ms and self._ends_ms[0] < now_ms - _RATE_WINDOW_MS:
            self._ends_ms.popleft()
        window_ms = min(_RATE_WINDOW_MS, max(1, now_ms - self._began_ms))
        opens_in_ms = max(0, self._opens_ms - now_ms)
        if not self._ends_ms:
            return max(_UNKNOWN_WAIT_MS, opens_in_ms)
        return max(
            opens_in_ms,
            (position + 1) * window_ms / len(self._ends_ms),
        )


def _taken_by(client: RoomClient, share: int, now_ms: int) -> int:
    """Returns the room that counts as taken by a VM.

    ``share`` is what it may use while the holder does not hear it.
    """
    silent_ms = now_ms - client.heard_ms
    if silent_ms < _UNHEARD_MS and not client.is_alone:
        return len(client.held)
    if client.is_idle or silent_ms >= _SHARE_KEPT_MS:
        share = 0
    if silent_ms >= _ENDED_MS:
        return share
    return max(len(client.held), share)

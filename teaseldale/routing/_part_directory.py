"""Directory of the runners that cache shared prompt parts, over all cells.

VMs know the placements of their own cell only, so each cell would read a shared
part again that a runner of another cell caches. Each part has one VM of the
fleet that owns its entry: VMs tell it where they send prompts with the part,
and ask it before they place a prompt that no known runner caches. An entry is a
hint. If it is lost, late or wrong, the runner reads the part itself.
"""

import abc
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping

import anyio
import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.routing._part_messages import (
    PART_ANSWER,
    PART_PLACED,
    PART_QUERY,
    PartAnswer,
    PartPlaced,
    PartQuery,
)
from teaseldale.routing._runner_backlog import PlannedWork

_MS_PER_SECOND = 1000
# Shared tokens from which a lookup is worth its datagrams: reading them takes a
# runner longer than the round trip to the owner.
_MIN_SHARED_TOKENS = 1000
# A round trip within a region takes 2 to 6 ms, reading the part tens of ms.
_ANSWER_TIMEOUT_MS = 15
# Runners evict the parts that were not used for longest, so older entries are
# seldom true.
_LIFETIME_MS = 20_000
# An entry that was told to its owner is not told again for this time.
_RENEWAL_MS = 5000
_MAX_ENTRIES = 5000


class BasePartOwners(abc.ABC):
    """Assigns the entry of each part to a VM."""

    @property
    @abc.abstractmethod
    def is_needed(self) -> bool:
        """Returns whether VMs do not know all placements anyway."""

    @abc.abstractmethod
    def owner_of(self, part_id: str) -> str:
        """Returns the VM that owns the entry of a part; empty if none."""

    @abc.abstractmethod
    def address_of(self, vm_name: str) -> str | None:
        """Returns the address for datagrams to a VM, or None."""


@attrs.frozen(kw_only=True)
class _Entry:
    runner: str
    noted_ms: int


@attrs.define(kw_only=True)
class _OpenQuery:
    runner: str = ''
    answered: anyio.Event = attrs.field(factory=anyio.Event)


class _RecentEntries:
    """Entries by part; the least recently noted ones are dropped."""

    def __init__(self, *, lifetime_ms: int, clock: BaseClock) -> None:
        self._lifetime_ms = lifetime_ms
        self._clock = clock
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def note(self, part_id: str, runner: str) -> None:
        self._entries.pop(part_id, None)
        self._entries[part_id] = _Entry(
            runner=runner,
            noted_ms=self._clock.monotonic_ms(),
        )
        while len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)

    def find(self, part_id: str) -> str:
        """Returns the runner of a part; empty if none is known."""
        entry = self._entries.get(part_id)
        if entry is None:
            return ''
        age_ms = self._clock.monotonic_ms() - entry.noted_ms
        return entry.runner if age_ms < self._lifetime_ms else ''


class PartDirectory:
    """Finds runners that cache the longest shared part of a prompt."""

    def __init__(
        self,
        *,
        vm_name: str,
        owners: BasePartOwners,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Starts without entries."""
        self._vm_name = vm_name
        self._owners = owners
        self._metrics = metrics
        self._owned = _RecentEntries(lifetime_ms=_LIFETIME_MS, clock=clock)
        self._told = _RecentEntries(lifetime_ms=_RENEWAL_MS, clock=clock)
        self._open: dict[int, _OpenQuery] = {}
        self._ids: Iterator[int] = itertools.count(1)
        self._send: Callable[[str, bytes], None] | None = None
        self.handlers: Mapping[bytes, Callable[[bytes], None]] = {
            PART_PLACED: self._handle_placed,
            PART_QUERY: self._handle_query,
            PART_ANSWER: self._handle_answer,
        }

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    async def find(self, work: PlannedWork) -> str | None:
        """Returns a runner that probably caches the shared parts of a prompt.

        Returns None if none is known, the parts are too short for a lookup, or
        the owner does not answer in time.
        """
        part_id = _longest_prefix_of(work)
        if part_id is None or not self._owners.is_needed:
            return None
        owner = self._owners.owner_of(part_id)
        if owner == self._vm_name:
            runner = self._owned.find(part_id)
        else:
            runner = await self._ask(owner, part_id)
        self._metrics.increment('part_lookups', 'found' if runner else 'missed')
        return runner or None

    def note_placed(self, work: PlannedWork, runner: str) -> None:
        """Tells the owner that a prompt was sent to a runner."""
        part_id = _longest_prefix_of(work)
        if part_id is None or not self._owners.is_needed:
            return
        if self._told.find(part_id) == runner:
            return
        self._told.note(part_id, runner)
        owner = self._owners.owner_of(part_id)
        if owner == self._vm_name:
            self._owned.note(part_id, runner)
            return
        self._send_to(
            owner,
            PART_PLACED
            + msgspec.msgpack.encode(
                PartPlaced(part_id=part_id, runner=runner),
            ),
        )

    async def _ask(self, owner: str, part_id: str) -> str:
        query_id = next(self._ids)
        query = _OpenQuery()
        self._open[query_id] = query
        message = PartQuery(
            vm_name=self._vm_name,
            query_id=query_id,
            part_id=part_id,
        )
        self._send_to(owner, PART_QUERY + msgspec.msgpack.encode(message))
        try:
            with anyio.move_on_after(_ANSWER_TIMEOUT_MS / _MS_PER_SECOND):
                await query.answered.wait()
        finally:
            self._open.pop(query_id)
        if not query.answered.is_set():
            self._metrics.increment('part_lookups_unanswered')
        return query.runner

    def _handle_placed(self, content: bytes) -> None:
        """Notes a placement; raises ``msgspec.DecodeError``."""
        placed = msgspec.msgpack.decode(content, type=PartPlaced)
        self._owned.note(placed.part_id, placed.runner)

    def _handle_query(self, content: bytes) -> None:
        """Answers another VM; raises ``msgspec.DecodeError``."""
        query = msgspec.msgpack.decode(content, type=PartQuery)
        answer = PartAnswer(
            query_id=query.query_id,
            runner=self._owned.find(query.part_id),
        )
        self._send_to(
            query.vm_name,
            PART_ANSWER + msgspec.msgpack.encode(answer),
        )

    def _handle_answer(self, content: bytes) -> None:
        """Ends an open query; raises ``msgspec.DecodeError``."""
        answer = msgspec.msgpack.decode(content, type=PartAnswer)
        query = self._open.get(answer.query_id)
        if query is not None:
            query.runner = answer.runner
            query.answered.set()

    def _send_to(self, vm_name: str, datagram: bytes) -> None:
        address = self._owners.address_of(vm_name)
        if self._send is None or address is None:
            self._metrics.increment('part_messages_not_sent')
            return
        self._send(address, datagram)


def _longest_prefix_of(work: PlannedWork) -> str | None:
    """Returns the last shared part of a prompt; None if they are short.

    The last part of a prompt is specific to its request. A runner that caches a
    part has also cached those before it.
    """
    shared = work.parts[:-1]
    if sum(part.token_count for part in shared) < _MIN_SHARED_TOKENS:
        return None
    return shared[-1].part_id

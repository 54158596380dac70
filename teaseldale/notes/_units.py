"""Units: the VMs of one cell within one availability zone.

The first reachable VM of each unit by name reads the table and confirms notes
on behalf of the whole unit.
"""

from collections.abc import Iterable, Mapping

import attrs

from teaseldale.clock import BaseClock
from teaseldale.notes._contact import VIEW_VALIDITY_MS, is_majority
from teaseldale.notes._records import Head, UnitRecord
from teaseldale.peers import CellMap, VmIdentity

# Longer than VIEW_VALIDITY_MS, after which a VM without contact stops serving.
MEMBER_TIMEOUT_MS = VIEW_VALIDITY_MS + 1000


class UnitMap:
    """Partition of the VMs on the membership list into units."""

    def __init__(self, *, vms: Iterable[VmIdentity]) -> None:
        """Assigns ``vms``, which include the local VM, to units."""
        self._members: dict[str, list[VmIdentity]] = {}
        self._units_by_zone: dict[str, set[str]] = {}
        self._unit_by_vm: dict[str, str] = {}
        listed = tuple(vms)
        cells = CellMap(vms=listed)
        for vm in listed:
            cell = cells.cell_of(vm)
            zone = vm.availability_zone
            unit = f'{zone}/{cell.count}.{cell.index}'
            self._unit_by_vm[vm.key] = unit
            self._members.setdefault(unit, []).append(vm)
            self._units_by_zone.setdefault(zone, set()).add(unit)

    def unit_of(self, vm: VmIdentity) -> str:
        """Returns the key of the unit of a listed VM."""
        return self._unit_by_vm[vm.key]

    def members(self, unit: str) -> tuple[VmIdentity, ...]:
        """Returns the VMs of a unit."""
        return tuple(self._members.get(unit, ()))

    def first_members(self) -> tuple[VmIdentity, ...]:
        """Returns the first VM by name of each unit."""
        return tuple(
            min(members, key=_name_of) for members in self._members.values()
        )

    def missing_zones(
        self,
        head: Head,
        confirmed: Iterable[str],
    ) -> tuple[str, ...]:
        """Returns the zones of which some unit is not among ``confirmed``.

        A zone without listed VMs is included: it may be partitioned.
        """
        present = frozenset(confirmed)
        return tuple(
            zone
            for zone in head.zones
            if not self._units_by_zone.get(zone)
            or not self._units_by_zone[zone] <= present
        )


@attrs.frozen(kw_only=True)
class _MemberReport:
    sequence: int
    at_ms: int  # monotonic


class UnitConfirmations:
    """Applied sequences that the members of this VM's unit report."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a tracker without members."""
        self._clock = clock
        self._reports: dict[str, _MemberReport] = {}

    def record_report(self, vm: VmIdentity, sequence: int) -> None:
        """Records the sequence that a member reports as applied."""
        self._reports[vm.key] = _MemberReport(
            sequence=sequence,
            at_ms=self._clock.monotonic_ms(),
        )

    def update_members(self, members: Iterable[VmIdentity]) -> None:
        """Adds new members at sequence 0 and removes those that left."""
        keys = {member.key for member in members}
        for departed in self._reports.keys() - keys:
            self._reports.pop(departed)
        for joined in keys - self._reports.keys():
            self._reports[joined] = _MemberReport(
                sequence=0,
                at_ms=self._clock.monotonic_ms(),
            )

    def has_majority_contact(self, own_key: str) -> bool:
        """Whether a majority of the unit reported in the validity period."""
        oldest = self._clock.monotonic_ms() - VIEW_VALIDITY_MS
        present = {
            key
            for key, report in self._reports.items()
            if report.at_ms >= oldest and report.sequence >= 0
        }
        return is_majority({own_key, *present}, {own_key, *self._reports})

    def confirmed_sequence(self, own_key: str, own_sequence: int) -> int:
        """Returns the sequence applied by every member that may serve.

        Members whose last report has timed out are excluded if they are a
        minority, since they no longer serve. Without a majority, returns 0.
        """
        oldest = self._clock.monotonic_ms() - MEMBER_TIMEOUT_MS
        recent = {
            key: report.sequence
            for key, report in self._reports.items()
            if report.at_ms >= oldest
        }
        members = {own_key, *self._reports}
        if not is_majority({own_key, *recent}, members):
            return 0
        return min((own_sequence, *recent.values()))


def confirming_units(
    records: Mapping[str, UnitRecord],
    *,
    stage_number: int = 0,
    sequence: int = 0,
) -> tuple[str, ...]:
    """Returns the units whose rows have reached both numbers."""
    return tuple(
        unit
        for unit, record in records.items()
        if record.stage_seen >= stage_number and record.sequence >= sequence
    )


def _name_of(vm: VmIdentity) -> str:
    return vm.name

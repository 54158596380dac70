"""Directory of registered runners, filtered by version orders."""

from collections.abc import Collection, Iterable, Mapping

import attrs

from teaseldale.forwarding._node import Address

_INCARNATION_SEPARATOR = '@'
# Latest announcements kept; an entry may lapse and be written again.
_MAX_LEAVING = 1000


@attrs.frozen(kw_only=True)
class ForwardingRunner:
    """One incarnation of a runner."""

    runner_id: str  # sent with every request to the runner
    started_wall_ms: int  # distinguishes incarnations of a runner id
    service: str
    address: Address
    availability_zone: str
    version: str  # software version of the runner
    slot_count: int  # requests processed concurrently
    is_leaving: bool = False  # is draining; gets no new requests
    # Time left when the runner wrote its entry; None if it is not stated.
    cold_left_ms: float | None = attrs.field(default=None, eq=False)
    revision: int = attrs.field(default=0, eq=False)  # of the entry

    @property
    def incarnation(self) -> tuple[str, int]:
        """Returns the key that identifies this incarnation."""
        return self.runner_id, self.started_wall_ms

    @property
    def incarnation_name(self) -> str:
        """Returns the incarnation's key as one text."""
        return f'{self.runner_id}{_INCARNATION_SEPARATOR}{self.started_wall_ms}'


@attrs.frozen(kw_only=True)
class VersionOrder:
    """An operator's order to move a service to another version."""

    service: str
    version: str  # version that traffic is moved to
    duration_ms: int  # from the order to its deadline
    revision: int  # of the order's row; identifies the order


class RunnerDirectory:
    """Runners by service, with the versions that may get traffic."""

    def __init__(self) -> None:
        """Starts empty and not yet known."""
        self._runners: dict[str, ForwardingRunner] = {}
        self._by_service: dict[str, tuple[ForwardingRunner, ...]] = {}
        # Start of the latest incarnation, by service and address.
        self._latest_starts_ms: dict[tuple[str, Address], int] = {}
        # Incarnations that have announced outside their entries that they
        # leave, the latest last.
        self._leaving: dict[str, None] = {}
        # Unproven versions by service.
        self._withheld_versions: dict[str, str] = {}
        # Proven versions by service.
        self._only_versions: dict[str, str] = {}
        # Availability zones whose runners get no requests.
        self.evacuated_zones: frozenset[str] = frozenset()
        self.is_known = False  # whether the table has been read once

    def usable(self, service: str) -> tuple[ForwardingRunner, ...]:
        """Returns the runners of ``service`` that accept new requests."""
        return self._by_service.get(service, ())

    def unproven(self, service: str) -> tuple[ForwardingRunner, ...]:
        """Returns the runners of the unproven version that accept requests."""
        withheld = self._withheld_versions.get(service)
        return tuple(
            runner
            for runner in self._runners.values()
            if runner.service == service
            and runner.version == withheld
            and _is_available(runner, self.evacuated_zones)
        )

    def all_runners(self) -> tuple[ForwardingRunner, ...]:
        """Returns all runners, including leaving ones."""
        return tuple(self._runners.values())

    def find(self, runner_id: str) -> ForwardingRunner | None:
        """Returns the runner with this id, or None if there is none."""
        return self._runners.get(runner_id)

    def find_incarnation(self, name: str) -> ForwardingRunner | None:
        """Returns the runner whose registered incarnation has this name."""
        runner = self._runners.get(name.rpartition(_INCARNATION_SEPARATOR)[0])
        if runner is None or runner.incarnation_name != name:
            return None
        return runner

    def has_successor(self, runner: ForwardingRunner) -> bool:
        """Returns whether a later incarnation of a runner is registered.

        It has the same id or the same address.
        """
        known = self._runners.get(runner.runner_id, runner)
        place = (runner.service, runner.address)
        latest_ms = max(
            known.started_wall_ms,
            self._latest_starts_ms.get(place, 0),
        )
        return latest_ms > runner.started_wall_ms

    def replace_all(self, runners: Iterable[ForwardingRunner]) -> None:
        """Replaces the directory with a full read of the runner table."""
        self._runners = {
            runner.runner_id: self._with_announcement(runner)
            for runner in runners
        }
        self.is_known = True
        self._rebuild_index()

    def apply_changes(
        self,
        changed: Mapping[str, ForwardingRunner | None],
    ) -> None:
        """Applies changed entries by id; None removes the entry."""
        for runner_id, runner in changed.items():
            if runner is None:
                self._runners.pop(runner_id, None)
            else:
                self._runners[runner_id] = self._with_announcement(runner)
        self._rebuild_index()

    def accepts_requests(self, runner: ForwardingRunner) -> bool:
        """Returns whether an incarnation is registered and not leaving."""
        known = self.find_incarnation(runner.incarnation_name)
        return known is not None and not known.is_leaving

    def evacuate_only(self, zones: Collection[str]) -> None:
        """Sets the availability zones whose runners get no requests.

        Zones without a runner are kept, as one may register there later.
        """
        if self.evacuated_zones != frozenset(zones):
            self.evacuated_zones = frozenset(zones)
            self._rebuild_index()

    def find_at(self, address: Address) -> ForwardingRunner | None:
        """Returns the latest runner at an address that is not leaving."""
        return max(
            (
                runner
                for runner in self._runners.values()
                if runner.address == address and not runner.is_leaving
            ),
            key=lambda runner: runner.started_wall_ms,
            default=None,
        )

    def mark_leaving(self, name: str) -> bool:
        """Marks an incarnation as leaving, whatever its entry says.

        Returns whether that is new.
        """
        if name in self._leaving:
            return False
        while len(self._leaving) >= _MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        self._leaving[name] = None
        runner = self.find_incarnation(name)
        if runner is None or runner.is_leaving:
            return False
        self._runners[runner.runner_id] = self._with_announcement(runner)
        self._rebuild_index()
        return True

    def announced_leaving(self) -> tuple[str, ...]:
        """Returns the registered incarnations marked by ``mark_leaving``."""
        return tuple(
            name for name in self._leaving if self.find_incarnation(name)
        )

    def withhold_version(self, service: str, version: str) -> None:
        """Excludes an unproven version from regular traffic.

        If the service has no runner of another version, not even a leaving
        one, the unproven version gets the traffic nevertheless.
        """
        self._withheld_versions[service] = version
        self._only_versions.pop(service, None)
        self._rebuild_index()

    def use_only_version(self, service: str, version: str) -> None:
        """Sends all traffic to a version once it has a runner."""
        self._withheld_versions.pop(service, None)
        self._only_versions[service] = version
        self._rebuild_index()

    def lift_restrictions(self, service: str) -> None:
        """Lifts all version restrictions of a service."""
        self._withheld_versions.pop(service, None)
        self._only_versions.pop(service, None)
        self._rebuild_index()

    def _with_announcement(self, runner: ForwardingRunner) -> ForwardingRunner:
        if runner.incarnation_name in self._leaving:
            return attrs.evolve(runner, is_leaving=True)
        return runner

    def _rebuild_index(self) -> None:
        grouped: dict[str, list[ForwardingRunner]] = {}
        latest_ms: dict[tuple[str, Address], int] = {}
        for runner in self._runners.values():
            grouped.setdefault(runner.service, []).append(runner)
            place = (runner.service, runner.address)
            latest_ms[place] = max(
                runner.started_wall_ms,
                latest_ms.get(place, 0),
            )
        self._latest_starts_ms = latest_ms
        self._by_service = {
            service: self._select_usable(service, members)
            for service, members in grouped.items()
        }

    def _select_usable(
        self,
        service: str,
        members: list[ForwardingRunner],
    ) -> tuple[ForwardingRunner, ...]:
        withheld = self._withheld_versions.get(service)
        only_version = self._only_versions.get(service)
        if only_version is None:
            selected = [
                runner for runner in members if runner.version != withheld
            ]
        else:
            selected = [
                runner for runner in members if runner.version == only_version
            ]
        return tuple(
            runner
            for runner in selected or members
            if _is_available(runner, self.evacuated_zones)
        )


def _is_available(
    runner: ForwardingRunner,
    evacuated_zones: frozenset[str],
) -> bool:
    is_evacuated = runner.availability_zone in evacuated_zones
    return not (runner.is_leaving or is_evacuated)

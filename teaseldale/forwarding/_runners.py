"""Runners that a VM knows, as they have registered themselves."""

from collections.abc import Iterable, Mapping

import attrs

from teaseldale.forwarding._node import Address


@attrs.frozen(kw_only=True)
class ForwardingRunner:
    """One start of a runner."""

    runner_id: str  # names the runner in every request sent to it
    started_wall_ms: int  # tells two starts under one id apart
    service: str
    address: Address
    availability_zone: str
    version: str  # of the runner's software
    slot_count: int  # requests it works on at once
    is_leaving: bool = False  # takes no new requests soon

    @property
    def incarnation(self) -> tuple[str, int]:
        """Key of this start."""
        return self.runner_id, self.started_wall_ms


@attrs.frozen(kw_only=True)
class VersionOrder:
    """An operator's order to move a service to another version."""

    service: str
    version: str  # of the runners that are to take the traffic
    duration_ms: int  # from the order to its deadline
    revision: int  # of the order's row; tells two orders apart


class RunnerDirectory:
    """Runners by service; each change gives the differences."""

    def __init__(self) -> None:
        """Knows no runners."""
        self._runners: dict[str, ForwardingRunner] = {}
        self._by_service: dict[str, tuple[ForwardingRunner, ...]] = {}
        self._held_back: dict[str, str] = {}  # unproven version by service
        self._moved: dict[str, str] = {}  # proven version by service
        self.is_known = False  # whether the list has been read once

    def usable(self, service: str) -> tuple[ForwardingRunner, ...]:
        """Returns the runners of ``service`` that take new requests."""
        return self._by_service.get(service, ())

    def unproven(self, service: str) -> tuple[ForwardingRunner, ...]:
        """Returns the runners of the version that is held back."""
        held_back = self._held_back.get(service)
        return tuple(
            runner
            for runner in self._runners.values()
            if runner.service == service
            and runner.version == held_back
            and not runner.is_leaving
        )

    def all_runners(self) -> tuple[ForwardingRunner, ...]:
        """Returns every runner, leaving ones too."""
        return tuple(self._runners.values())

    def find(self, runner_id: str) -> ForwardingRunner | None:
        """Returns the runner registered under an id."""
        return self._runners.get(runner_id)

    def replace_all(self, runners: Iterable[ForwardingRunner]) -> None:
        """Takes the whole list anew."""
        self._runners = {runner.runner_id: runner for runner in runners}
        self.is_known = True
        self._index()

    def change(
        self,
        changed: Mapping[str, ForwardingRunner | None],
    ) -> None:
        """Takes changed entries by id; None removes one."""
        for runner_id, runner in changed.items():
            if runner is None:
                self._runners.pop(runner_id, None)
            else:
                self._runners[runner_id] = runner
        self._index()

    def hold_back(self, service: str, version: str) -> None:
        """Keeps traffic from an unproven version.

        If the service has no runner of another version, not even one that
        leaves, the version is used all the same.
        """
        self._held_back[service] = version
        self._moved.pop(service, None)
        self._index()

    def move_to(self, service: str, version: str) -> None:
        """Uses only a version, as soon as it has a runner."""
        self._held_back.pop(service, None)
        self._moved[service] = version
        self._index()

    def forget_order(self, service: str) -> None:
        """Uses all versions of a service alike."""
        self._held_back.pop(service, None)
        self._moved.pop(service, None)
        self._index()

    def _index(self) -> None:
        grouped: dict[str, list[ForwardingRunner]] = {}
        for runner in self._runners.values():
            grouped.setdefault(runner.service, []).append(runner)
        self._by_service = {
            service: self._usable_of(service, members)
            for service, members in grouped.items()
        }

    def _usable_of(
        self,
        service: str,
        members: list[ForwardingRunner],
    ) -> tuple[ForwardingRunner, ...]:
        held_back = self._held_back.get(service)
        moved = self._moved.get(service)
        if moved is None:
            wanted = [one for one in members if one.version != held_back]
        else:
            wanted = [one for one in members if one.version == moved]
        return tuple(
            runner for runner in wanted or members if not runner.is_leaving
        )

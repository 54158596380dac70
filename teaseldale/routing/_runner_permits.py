"""Permits to send requests to runners, by their limits and their room."""

import attrs

from teaseldale.routing._runner_limits import LimitPermit, RunnerLimits
from teaseldale.routing._runner_rooms import RoomPermit, RunnerRooms
from teaseldale.routing._start_need import UNKNOWN_NEED, StartNeed


@attrs.frozen(kw_only=True)
class Permit:
    """Whether a request may be sent to a runner."""

    wait_ms: float  # until the start if granted, else until there may be one
    room: RoomPermit | None = None  # set if the permit is granted
    is_scheduled: bool = False  # whether it counts for a limit of the runner

    @property
    def is_granted(self) -> bool:
        """Returns whether the request may be sent."""
        return self.room is not None


class RunnerPermits:
    """Asks for all that the request to a runner needs."""

    def __init__(self, *, limits: RunnerLimits, rooms: RunnerRooms) -> None:
        """Combines limits that runners name and the room of brittle ones."""
        self._limits = limits
        self._rooms = rooms

    def may_start(self, runner: str) -> bool:
        """Returns whether ``take`` grants a permit without waiting."""
        return not self.needs_room(runner) and self._limits.may_start(runner)

    def needs_room(self, runner: str) -> bool:
        """Returns whether a runner ends when it rejects too many requests."""
        return self._rooms.is_brittle(runner)

    def is_unlikely(self, runner: str) -> bool:
        """Returns whether ``take`` hardly grants a permit at present."""
        return self._rooms.has_silent_holder(runner)

    async def take(
        self,
        runner: str,
        *,
        max_wait_ms: float,
        need: StartNeed = UNKNOWN_NEED,
    ) -> Permit:
        """Waits for room and returns a permit, which may be refused.

        The caller must wait until the start that the permit names, and release
        a granted permit once the request has ended.
        """
        limit = await self._limits.take(runner, max_wait_ms=max_wait_ms)
        if not limit.is_granted:
            return Permit(wait_ms=limit.wait_ms)
        room = await self._rooms.take(
            runner,
            max_wait_ms=max_wait_ms,
            need=need,
        )
        return _permit_of(room, limit.wait_ms, limit)

    async def take_now(
        self,
        runner: str,
        *,
        need: StartNeed = UNKNOWN_NEED,
    ) -> Permit:
        """Returns a permit for a runner that ``may_start`` a request.

        The limit may just have been used up; the request is sent all the same.
        """
        limit = await self._limits.take(runner, max_wait_ms=0)
        room = await self._rooms.take(runner, max_wait_ms=0, need=need)
        return _permit_of(room, 0, limit)

    def release(self, permit: Permit) -> None:
        """Ends a permit, as its request has ended or is not sent."""
        if permit.room is not None:
            self._rooms.release(permit.room)


def _permit_of(
    room: RoomPermit,
    start_ms: float,
    limit: LimitPermit,
) -> Permit:
    if room.is_granted:
        return Permit(
            wait_ms=start_ms,
            room=room,
            is_scheduled=limit.is_granted and limit.is_scheduled,
        )
    return Permit(wait_ms=room.wait_ms)

"""A VM's knowledge of the runners that are brittle."""

from collections.abc import Callable, Collection

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog

# An answer without a mention may have been made before one with a mention.
_MENTION_VALID_MS = 1000
# VMs that tell each other of a mention make it younger by the time on the way.
_MIN_NEWER_MS = 200
# The others of a service are brittle too, and so is a runner that returns.
_SERVICE_VALID_MS = 10_000
# A runner that nobody sends requests to is not brittle for ever.
_LIFETIME_MS = 60_000


@attrs.define(kw_only=True)
class BrittleRunner:
    """A runner that ends when it rejects too many requests."""

    tolerated_rejections: int  # in a second
    known_ms: int  # monotonic; since when it is known
    mentioned_ms: int  # monotonic; latest answer that names the rejections


class BrittleBook:
    """Known brittle runners by incarnation."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        service_of: Callable[[str], str],
    ) -> None:
        """``service_of`` returns the service of a runner.

        A new incarnation is taken to be as brittle as the others of its
        service until it answers.
        """
        self._clock = clock
        self._service_of = service_of
        # The latest brittle runner that was mentioned, by service.
        self._services: dict[str, BrittleRunner] = {}
        self._brittle: dict[str, BrittleRunner] = {}
        # When runners have last answered without a mention; monotonic.
        self._plain_ms: dict[str, int] = {}
        self._log = StateLog(channel='room')

    @property
    def is_empty(self) -> bool:
        """Returns whether no runner is brittle."""
        return not self._brittle

    def runners(self) -> tuple[str, ...]:
        """Returns a copy of the runners that are known to be brittle."""
        return tuple(self._brittle)

    def find(self, runner: str) -> BrittleRunner | None:
        """Returns a brittle runner, also a new one of a brittle service."""
        known = self._brittle.get(runner)
        if known is not None or not self._services or runner in self._plain_ms:
            return known
        like = self._services.get(self._service_of(runner))
        if like is None or self._age_ms(like) >= _SERVICE_VALID_MS:
            return None
        return self._mark(
            runner,
            like.tolerated_rejections,
            age_ms=self._age_ms(like),
        )

    def mention_age_ms(self, runner: str) -> int:
        """Returns the time since the latest mention, at least 1."""
        known = self._brittle.get(runner)
        if known is None:
            return 1
        return max(1, self._age_ms(known))

    def note_mention(self, runner: str, tolerated: int, *, age_ms: int) -> bool:
        """Records a mention of that age; returns whether it is news.

        One that is older than an answer without a mention is dropped, so that
        VMs do not tell each other the opposite in turn.
        """
        mentioned_ms = self._clock.monotonic_ms() - age_ms
        if mentioned_ms < self._plain_ms.get(runner, mentioned_ms):
            return False
        self._plain_ms.pop(runner, None)
        known = self._brittle.get(runner)
        if known is None:
            known = self._mark(runner, tolerated, age_ms=age_ms)
            self._note_service(runner, known)
            return True
        if not age_ms or mentioned_ms > known.mentioned_ms + _MIN_NEWER_MS:
            known.mentioned_ms = mentioned_ms
            known.tolerated_rejections = tolerated
            self._note_service(runner, known)
        return False

    def note_absence(self, runner: str) -> bool:
        """Records an answer without a mention; returns whether it is news."""
        known = self._brittle.get(runner)
        if known is None:
            if self._services:
                self._plain_ms[runner] = self._clock.monotonic_ms()
            return False
        if self._age_ms(known) < _MENTION_VALID_MS:
            return False
        self._plain_ms[runner] = self._clock.monotonic_ms()
        self._forget(runner)
        return True

    def drop_expired(self) -> None:
        """Drops runners that no answer has mentioned for a long time."""
        for runner, known in tuple(self._brittle.items()):
            if self._age_ms(known) >= _LIFETIME_MS:
                self._forget(runner)
        for service, latest in tuple(self._services.items()):
            if self._age_ms(latest) >= _SERVICE_VALID_MS:
                self._services.pop(service)

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops incarnations that have ended."""
        for ended_plain in self._plain_ms.keys() - runners:
            self._plain_ms.pop(ended_plain)
        for ended in self._brittle.keys() - runners:
            self._brittle.pop(ended)

    def _note_service(self, runner: str, known: BrittleRunner) -> None:
        service = self._service_of(runner)
        if service:
            self._services[service] = known

    def _age_ms(self, known: BrittleRunner) -> int:
        return self._clock.monotonic_ms() - known.mentioned_ms

    def _mark(
        self,
        runner: str,
        tolerated: int,
        *,
        age_ms: int,
    ) -> BrittleRunner:
        now_ms = self._clock.monotonic_ms()
        known = BrittleRunner(
            tolerated_rejections=tolerated,
            known_ms=now_ms,
            mentioned_ms=now_ms - age_ms,
        )
        self._brittle[runner] = known
        self._log.changed(
            'runner_brittle',
            runner=runner,
            tolerated_rejections=tolerated,
        )
        return known

    def _forget(self, runner: str) -> None:
        self._brittle.pop(runner)
        self._log.changed(
            'runner_brittle',
            runner=runner,
            tolerated_rejections=None,
        )

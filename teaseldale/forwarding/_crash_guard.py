"""Holds back requests that crash the runners that run them."""

import functools
import re

from teaseldale.clock import BaseClock
from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._attempt import Attempt
from teaseldale.forwarding._crash_reports import CrashReports
from teaseldale.forwarding._refusals import crashes_runners
from teaseldale.outcomes import Refusal
from teaseldale.upstreams import Suspect, fingerprint_of

# A runner that crashes under a request does so when it begins to answer.
_ANSWERING_MS = 500
_UNSAFE_CHARACTERS = re.compile('[^0-9A-Za-z_-]')
_SHOWN_CHARACTERS = 40


class CrashGuard:
    """Looks up and reports crashes under a request and its prompt's parts."""

    def __init__(
        self,
        *,
        crashes: CrashReports,
        clock: BaseClock,
        admitted: AdmittedRequest,
        body: bytes,
    ) -> None:
        """Identifies the request by its content, not by its id."""
        self._crashes = crashes
        self._clock = clock
        self._admitted = admitted
        self._body = body

    @functools.cached_property
    def fingerprint(self) -> str:
        """Returns the same text for all attempts to send this request."""
        request = self._admitted.request
        account = self._admitted.account
        name = '' if account is None else account.name
        target = request.target.decode('latin-1')
        return fingerprint_of(f'{request.method} {target} {name}', self._body)

    @functools.cached_property
    def parts(self) -> tuple[Suspect, ...]:
        """Returns the parts of the prompt that other prompts may share.

        The last part belongs to this request alone.
        """
        service = self._admitted.service
        shared = self._admitted.request.prompt_parts[:-1]
        return tuple(
            Suspect(key=_part_key(service, part.part_id), part_position=number)
            for number, part in enumerate(shared)
        )

    @property
    def is_quarantined(self) -> bool:
        """Returns whether the request may not be sent to another runner."""
        return self._culprit is not None

    async def examine_break(
        self,
        attempt: Attempt,
        *,
        is_version_proven: bool,
    ) -> None:
        """Reports a crash if the runner of a broken attempt has ended.

        A request whose answer has gone on for a while is no suspect, and its
        parts are none at a version that may itself be the cause.
        """
        answering_ms = attempt.answering_ms
        if answering_ms is not None and answering_ms >= _ANSWERING_MS:
            return
        request = Suspect(key=self.fingerprint)
        await self._crashes.examine_break(
            (request, *self.parts) if is_version_proven else (request,),
            attempt.runner,
            running_ms=attempt.running_ms,
        )

    def clear(self) -> None:
        """Clears the request once it has run to a good end."""
        if self._crashes.has_suspects:
            self._crashes.clear(self.fingerprint)

    def clear_parts(self, attempt: Attempt, *, is_complete: bool) -> None:
        """Clears the parts of the prompt once an answer has gone on."""
        if not (is_complete or self._crashes.has_suspects):
            return
        answering_ms = attempt.answering_ms
        if answering_ms is None:
            return
        if is_complete or answering_ms >= _ANSWERING_MS:
            now_ms = self._clock.monotonic_ms()
            self._crashes.clear_parts(self.parts, now_ms - answering_ms)

    def refusal(self) -> Refusal:
        """Returns the refusal of an attempt that has reached no runner."""
        return crashes_runners(
            self._crashes.expires_in_ms(self._culprit or self.fingerprint),
        )

    @property
    def _culprit(self) -> str | None:
        """Returns the quarantined request or part, or None."""
        if not self._crashes.has_suspects:
            return None
        keys = (self.fingerprint, *(part.key for part in self.parts))
        return next(filter(self._crashes.is_quarantined, keys), None)


def _part_key(service: str, part_id: str) -> str:
    """Returns a key that shows the part and is unique by its hash."""
    shown = _UNSAFE_CHARACTERS.sub('_', part_id[:_SHOWN_CHARACTERS])
    return f'part-{shown}-{fingerprint_of(service, part_id.encode())}'

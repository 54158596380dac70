"""Holds back a request under which runners have crashed."""

import functools

from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._attempt import Attempt
from teaseldale.forwarding._crash_reports import CrashReports
from teaseldale.forwarding._refusals import crashes_runners
from teaseldale.outcomes import Refusal
from teaseldale.upstreams import fingerprint_of


class CrashGuard:
    """Looks up and reports crashes under one request."""

    def __init__(
        self,
        *,
        crashes: CrashReports,
        admitted: AdmittedRequest,
        body: bytes,
    ) -> None:
        """Identifies the request by its content, not by its id."""
        self._crashes = crashes
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

    @property
    def is_quarantined(self) -> bool:
        """Returns whether the request may not be sent to another runner."""
        return self._crashes.has_suspects and self._crashes.is_quarantined(
            self.fingerprint,
        )

    async def examine_break(self, attempt: Attempt) -> None:
        """Reports a crash if the runner of a broken attempt has ended."""
        await self._crashes.examine_break(
            self.fingerprint,
            attempt.runner,
            running_ms=attempt.running_ms,
        )

    def clear(self) -> None:
        """Clears the request once it has run to a good end."""
        if self._crashes.has_suspects:
            self._crashes.clear(self.fingerprint)

    def refusal(self) -> Refusal:
        """Returns the refusal of an attempt that has reached no runner."""
        return crashes_runners(self._crashes.expires_in_ms(self.fingerprint))

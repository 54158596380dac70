"""Endpoints that show and release quarantined requests."""

import attrs

from teaseldale.upstreams import CrashQuarantine
from teaseldale.web import EndpointCall

_STATUS_OK = 200


@attrs.frozen(kw_only=True)
class ReleaseAnswer:
    """Outcome of a release."""

    fingerprint: str
    known: bool  # whether this VM knew the fingerprint


class QuarantineEndpoints:
    """Quarantine as operators see it."""

    def __init__(self, *, quarantine: CrashQuarantine) -> None:
        """Shows what this VM knows; releases hold everywhere."""
        self._quarantine = quarantine

    async def show(self, call: EndpointCall) -> None:
        """Lists suspects and quarantined fingerprints."""
        states = self._quarantine.states()
        await call.exchange.answer_json(_STATUS_OK, states)

    async def release(self, call: EndpointCall) -> None:
        """Lets the request with the given fingerprint run again."""
        fingerprint = call.query('fingerprint')
        known = await self._quarantine.release(fingerprint, reason='operator')
        await call.exchange.answer_json(
            _STATUS_OK,
            ReleaseAnswer(fingerprint=fingerprint, known=known),
        )

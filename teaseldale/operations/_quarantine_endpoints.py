"""Endpoints that list and release quarantined requests."""

import attrs

from teaseldale.upstreams import CrashQuarantine
from teaseldale.web import EndpointCall

_STATUS_OK = 200


@attrs.frozen(kw_only=True)
class ReleaseAnswer:
    """Response to the release of a fingerprint."""

    fingerprint: str
    known: bool  # whether this VM had the fingerprint


class QuarantineEndpoints:
    """Lists quarantined requests and releases them."""

    def __init__(self, *, quarantine: CrashQuarantine) -> None:
        """Creates the endpoints.

        Lists show the state of this VM; releases apply to the whole fleet.
        """
        self._quarantine = quarantine

    async def show(self, call: EndpointCall) -> None:
        """Returns suspected and quarantined fingerprints."""
        states = self._quarantine.states()
        await call.exchange.answer_json(_STATUS_OK, states)

    async def release(self, call: EndpointCall) -> None:
        """Releases the fingerprint given in the query from quarantine."""
        fingerprint = call.query('fingerprint')
        known = await self._quarantine.release(fingerprint, reason='operator')
        await call.exchange.answer_json(
            _STATUS_OK,
            ReleaseAnswer(fingerprint=fingerprint, known=known),
        )

"""Client of the membership list over HTTP and JSON."""

import msgspec

from teaseldale.metrics import Metrics
from teaseldale.outcomes import Step
from teaseldale.tables._http_client import PlatformHttpClient
from teaseldale.tables._membership import BaseMembershipList, VmMember

_members_decoder = msgspec.json.Decoder(tuple[VmMember, ...])


class HttpMembershipList(BaseMembershipList):
    """Updates and reads the membership list over HTTP."""

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Creates a client that times out calls after ``timeout_ms``."""
        self._client = PlatformHttpClient(
            base_url=base_url,
            timeout_ms=timeout_ms,
            metrics=metrics,
        )

    async def announce(self, member: VmMember) -> None:
        """Creates or updates the membership entry of this VM."""
        await self._client.call(
            step=Step.MEMBERSHIP,
            method='POST',
            path='/members',
            body=member,
        )

    async def members(self) -> tuple[VmMember, ...]:
        """Returns the members as the platform last published them."""
        body = await self._client.call(
            step=Step.MEMBERSHIP,
            method='GET',
            path='/members',
        )
        return self._client.decode(Step.MEMBERSHIP, body, _members_decoder)

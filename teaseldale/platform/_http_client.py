"""HTTP exchange with the platform, shared by its clients."""

import httpcore
import msgspec

from teaseldale.outcomes import PlatformError, Step

_MS_PER_SECOND = 1000
_STATUS_OK = 200


class PlatformHttpClient:
    """Sends JSON to one platform service over pooled connections."""

    def __init__(self, *, base_url: str, timeout_ms: int) -> None:
        """Creates a client for ``base_url``, such as ``http://10.0.0.1:80``."""
        self._base_url = base_url
        timeout_seconds = timeout_ms / _MS_PER_SECOND
        self._extensions = {
            'timeout': {
                'connect': timeout_seconds,
                'read': timeout_seconds,
                'write': timeout_seconds,
                'pool': timeout_seconds,
            },
        }
        self._pool = httpcore.AsyncConnectionPool(max_connections=16)

    async def call(
        self,
        *,
        step: Step,
        method: str,
        path: str,
        body: object = None,
    ) -> bytes:
        """Returns the body of a 200 answer, or raises ``PlatformError``."""
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                headers={'content-type': 'application/json'},
                content=b'' if body is None else msgspec.json.encode(body),
                extensions=self._extensions,
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise self._error(step, type(error).__name__) from error
        if response.status != _STATUS_OK:
            raise self._error(step, f'status {response.status}')
        return response.content

    async def close(self) -> None:
        """Closes all pooled connections."""
        await self._pool.aclose()

    def _error(self, step: Step, reason: str) -> PlatformError:
        return PlatformError(step=step, peer=self._base_url, reason=reason)

"""Identity of a request, stable over the caller's retries."""

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class RequestIdentity:
    """A client account and the idempotency key of one of its requests."""

    client_account: str
    key: str  # sent by the caller or generated on arrival

    @property
    def text(self) -> str:
        """Unique text, used in table keys and as request ID at upstreams."""
        return f'{self.client_account}/{self.key}'

    @property
    def hash64(self) -> int:
        """Stable 64-bit hash, equal on all VMs."""
        return xxhash.xxh3_64_intdigest(self.text.encode())

"""Settings of a VM and the fleet-wide limits."""

import attrs

from teaseldale.web import ClientLimits, connection_count_of


def default_client_limits() -> ClientLimits:
    """Returns the limits of a process that only the system limits."""
    return ClientLimits(connection_count=connection_count_of(0))


@attrs.frozen(kw_only=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``."""
        return f'{self.ip}:{self.port}'


@attrs.frozen(kw_only=True)
class RetryLimits:
    """Limits on retries: arrivals at runners beyond a request's first."""

    share: float  # fraction of the requests in a window
    extra_count: int  # in addition to the share, fleet-wide
    window_ms: int


# Retry limits of a deployment that sets none.
UNLIMITED_RETRIES = RetryLimits(
    share=1,
    extra_count=1_000_000_000,
    window_ms=10_000,
)


@attrs.frozen(kw_only=True)
class ExposureLimits:
    """Limits on the requests that a bad version may receive."""

    share: float  # fraction of the service's requests until the deadline
    extra_count: int  # in addition to the share, fleet-wide


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of one VM."""

    name: str
    availability_zone: str
    callers_address: Address  # listens for callers
    readiness_address: Address  # load balancer's health checks
    metrics_address: Address | None  # metrics as text; None if off
    peer_address: Address  # listens for datagrams of other VMs
    store_address: Address  # store of the rows that outlive a VM
    retry_bounds: RetryLimits
    grace_ms: int  # from the stop request until the process is killed
    exposure: ExposureLimits | None  # of version moves; None if they are off
    memory_bytes: int  # the process is killed above it
    # Rate of the VM's link, in each direction; 0 if it is not known.
    link_bytes_per_s: int = 0
    client_limits: ClientLimits = attrs.field(factory=default_client_limits)
    is_first_start: bool = False  # no VM of the fleet has run before

"""What a VM is told about itself and the fleet's bounds."""

import attrs


@attrs.frozen(kw_only=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``."""
        return f'{self.ip}:{self.port}'


@attrs.frozen(kw_only=True)
class RetryBounds:
    """How many arrivals beyond the first of each request are allowed."""

    share: float  # of the requests of a window
    extra_count: int  # beside the share, over the whole fleet
    window_ms: int


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of one VM."""

    name: str
    availability_zone: str
    callers_address: Address  # requests of callers
    readiness_address: Address  # health check of the balancer
    metrics_address: Address | None  # counters as text, if served
    peer_address: Address  # datagrams of other VMs
    store_address: Address  # rows that outlast the VM
    retry_bounds: RetryBounds
    drain_ms: int  # a leaving runner serves at least this long
    grace_ms: int  # from the request to stop until the process is killed
    version_move_share: float  # of a service's requests for an unproven version

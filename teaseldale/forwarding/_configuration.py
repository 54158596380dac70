"""Configuration of routes, services and accounts of a fleet."""

import enum
from collections.abc import Mapping

import attrs


@enum.unique
class RetryPolicy(enum.StrEnum):
    """How many times a request of a route may run."""

    SAFE = 'safe'  # any number of times
    ONCE = 'once'  # at most once
    STREAM = 'stream'  # event stream; once unless resumable


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service with its weight within a route."""

    service: str
    weight: float  # relative to the route's other services


@attrs.frozen(kw_only=True)
class ForwardingRoute:
    """Target services and limits for a host and path prefix."""

    name: str
    host: str
    path_prefix: str  # begins and ends with a slash
    repetition: RetryPolicy
    services: tuple[WeightedService, ...]
    runner_limit: int  # maximum runners that one request may reach
    timeout_ms: float  # maximum time from arrival to the final answer
    objective_ms: float  # latency objective for full credit
    priority: int  # 0 is the most urgent
    is_anonymous: bool = False  # whether no API key is required
    is_resumable: bool = False  # whether another runner may resume a stream
    gap_objective_ms: float = 0  # gap up to which an event is on time

    @property
    def may_run_again(self) -> bool:
        """Returns whether a request may safely run more than once."""
        if self.repetition is RetryPolicy.STREAM:
            return self.is_resumable
        return self.repetition is RetryPolicy.SAFE


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of a model runner and the unit of its output."""

    slot_count: int  # requests generated concurrently
    memory_tokens: int  # for running requests and cached prompts
    tokens_per_event: int  # output tokens in one event of a stream


@attrs.frozen(kw_only=True)
class ForwardingService:
    """A group of interchangeable runners."""

    name: str
    connection_limit: int  # maximum connections per runner, fleet-wide
    health_path: str = ''  # of health checks; empty if the service has none
    engine: EngineLimits | None = None  # set for model runners
    # Requests per second that a cold runner tolerates; 0 if none is ever cold.
    cold_limit_per_s: float = 0
    cold_start_ms: float = 0  # for which a runner stays cold after its start


@attrs.frozen(kw_only=True)
class PrepaidAccount:
    """A client account with its API keys and prepaid tokens."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None  # overrides the route's priority
    prepaid_tokens: int | None = None  # None means unlimited


@attrs.frozen(kw_only=True)
class EntryLimits:
    """Size limits and time-outs of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class ForwardingConfiguration:
    """One version of the configuration, with lookup indexes."""

    version: int
    routes: tuple[ForwardingRoute, ...]
    services: Mapping[str, ForwardingService]
    accounts: tuple[PrepaidAccount, ...]
    limits: EntryLimits = EntryLimits()
    _routes_by_host: Mapping[str, Mapping[str, ForwardingRoute]] = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )
    _accounts_by_key: Mapping[str, PrepaidAccount] = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )

    def __attrs_post_init__(self) -> None:
        """Builds the indexes of routes by host and accounts by key."""
        by_host: dict[str, dict[str, ForwardingRoute]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        by_key = {
            key: account for account in self.accounts for key in account.keys
        }
        object.__setattr__(self, '_routes_by_host', by_host)  # noqa: WPS609
        object.__setattr__(self, '_accounts_by_key', by_key)  # noqa: WPS609

    @property
    def needs_keys(self) -> bool:
        """Returns whether callers are authenticated by API keys."""
        return bool(self.accounts)

    def find_route(self, host: str, path: str) -> ForwardingRoute | None:
        """Returns the host's route with the longest matching path prefix."""
        routes = self._routes_by_host.get(host)
        if routes is None:
            return None
        end = len(path)
        while end >= 0:
            end = path.rfind('/', 0, end)
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key: str | None) -> PrepaidAccount | None:
        """Returns the account that owns ``key``, or None."""
        return None if key is None else self._accounts_by_key.get(key)


class ConfigurationHolder:
    """Holds the latest configuration that this VM has read."""

    def __init__(self) -> None:
        """Starts without a configuration."""
        self.current: ForwardingConfiguration | None = None

    def adopt_if_newer(self, configuration: ForwardingConfiguration) -> bool:
        """Adopts ``configuration`` if newer; returns whether it did."""
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        self.current = configuration
        return True

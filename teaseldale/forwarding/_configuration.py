"""Configuration of a fleet that forwards requests of any route."""

import enum
from collections.abc import Mapping

import attrs


@enum.unique
class Repetition(enum.StrEnum):
    """How often a request of a route may run."""

    SAFE = 'safe'  # any number of times
    ONCE = 'once'  # at most once
    STREAM = 'stream'  # once, unless the route is resumable


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float  # relative to the other services of the route


@attrs.frozen(kw_only=True)
class ForwardingRoute:
    """Where requests of a host and path prefix go, and what they may do."""

    name: str
    host: str
    path_prefix: str  # begins and ends with a slash
    repetition: Repetition
    services: tuple[WeightedService, ...]
    runner_limit: int  # runners that one request may be sent to
    timeout_ms: float  # longest time from arrival to the final answer
    objective_ms: float  # latency objective of a full credit
    priority: int  # 0 is the most urgent
    is_anonymous: bool = False  # whether requests need no key
    is_resumable: bool = False  # whether a stream may go on elsewhere
    gap_objective_ms: float = 0  # longest pause between events in time

    @property
    def may_run_again(self) -> bool:
        """Whether a second run of the same request does no harm."""
        if self.repetition is Repetition.STREAM:
            return self.is_resumable
        return self.repetition is Repetition.SAFE


@attrs.frozen(kw_only=True)
class EngineLimits:
    """What a model runner holds and how its output is counted."""

    slot_count: int  # requests generated side by side
    memory_tokens: int  # running requests and cached parts together
    tokens_per_event: int  # output tokens in one event of a stream


@attrs.frozen(kw_only=True)
class ForwardingService:
    """A group of runners that do the same work."""

    name: str
    connection_limit: int  # connections of all callers that a runner takes
    engine: EngineLimits | None = None  # set for model runners


@attrs.frozen(kw_only=True)
class PrepaidAccount:
    """A client account, its keys and what it has paid for."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None  # goes before the route's priority
    prepaid_tokens: int | None = None  # None means without a limit


@attrs.frozen(kw_only=True)
class EntryLimits:
    """Bounds on what callers may send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class ForwardingConfiguration:
    """One version of the configuration, with indexes for lookups."""

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
        """Builds the indexes."""
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
        """Whether callers are known by keys at all."""
        return bool(self.accounts)

    def find_route(self, host: str, path: str) -> ForwardingRoute | None:
        """Returns the route of ``host`` with the longest matching prefix."""
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
        """Returns the account that holds ``key``."""
        return None if key is None else self._accounts_by_key.get(key)


class ConfigurationHolder:
    """The newest configuration that this VM has read."""

    def __init__(self) -> None:
        """Knows no configuration yet."""
        self.current: ForwardingConfiguration | None = None

    def offer(self, configuration: ForwardingConfiguration) -> bool:
        """Takes ``configuration`` unless it is older than the current one."""
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        self.current = configuration
        return True

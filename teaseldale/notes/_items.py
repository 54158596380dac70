"""Configuration items that release notes add, change and withdraw."""

import enum

import attrs


@enum.unique
class ItemKind(enum.StrEnum):
    """Kinds of configuration items."""

    BUDGET = 'budget'
    ACCOUNT = 'account'
    ROUTE = 'route'
    UPSTREAM = 'upstream'
    MOVE = 'move'


@enum.unique
class RouteKind(enum.StrEnum):
    """Kinds of upstreams that serve a route."""

    COMPLETION = 'completion'
    SERVICE = 'service'


@attrs.frozen(kw_only=True)
class Budget:
    """A prepaid token budget; the ledger stores its balance."""

    name: str
    initial_tokens: int = 0  # credited once, when the budget is added


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A client account, identified by the hash of its bearer key."""

    name: str
    key_hash: str  # hexadecimal SHA-256 of the bearer key
    budgets: tuple[str, ...]  # budgets that are charged for every request
    priority: int = 1  # 0 is the highest, 2 the lowest


@attrs.frozen(kw_only=True)
class Route:
    """A name that callers request, and the version that serves it."""

    name: str  # model name, or service name
    kind: RouteKind
    version: str  # active version of the upstreams
    budgets: tuple[str, ...] = ()  # charged in addition to the account's
    idempotent: bool = True  # whether a request may be executed again
    deadline_ms: int = 60_000  # default if the caller sends none
    tokens_per_call: int = 1  # price of one service call
    retry_share_percent: int = 10  # retries allowed per 100 requests


@attrs.frozen(kw_only=True)
class Upstream:
    """A model runner or a plain service that serves a route."""

    name: str
    route: str
    version: str
    url: str  # "http://ip:port"
    availability_zone: str
    slot_count: int  # maximum number of concurrent requests
    checks_request_key: bool = False  # whether it deduplicates by key
    checks_fencing: bool = False  # whether it rejects old fencing numbers


@attrs.frozen(kw_only=True)
class VersionMove:
    """Moves a route's traffic from one version to another by a deadline."""

    name: str
    route: str
    from_version: str
    to_version: str
    deadline_wall_ms: int  # time by which all traffic should have moved
    largest_share_percent: int = 5  # maximum share before there is evidence
    failure_guard_percent: int = 2  # excess failures that mark a bad version
    first_token_guard_ms: int = 1000  # p95 above which a version is bad
    token_gap_guard_ms: int = 200  # p95 above which a version is bad
    watch_ms: int = 60_000  # observation time after the last step
    finish_without_evidence: bool = False  # completes at the deadline


ConfigurationItem = Budget | ClientAccount | Route | Upstream | VersionMove

TYPE_BY_KIND: dict[ItemKind, type[ConfigurationItem]] = {  # noqa: WPS407
    ItemKind.BUDGET: Budget,
    ItemKind.ACCOUNT: ClientAccount,
    ItemKind.ROUTE: Route,
    ItemKind.UPSTREAM: Upstream,
    ItemKind.MOVE: VersionMove,
}

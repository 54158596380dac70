"""Items that have no effect, and limits that contradict each other."""

from collections.abc import Iterator, Mapping

from teaseldale.notes._configuration import Configuration, ItemKey
from teaseldale.notes._items import (
    Budget,
    ConfigurationItem,
    ItemKind,
    Route,
    RouteKind,
    Upstream,
    VersionMove,
)
from teaseldale.notes._problem import Problem, place_of

_Items = Mapping[ItemKey, ConfigurationItem]


def unmatched_items(items: _Items) -> Iterator[Problem]:
    """Yields items that no request can ever match."""
    configuration = Configuration.build(0, items)
    yield from _shadowed_accounts(configuration)
    yield from _unused_budgets(configuration)
    yield from _unserved_routes(configuration)
    yield from _unused_upstreams(configuration)


def contradicting_limits(items: _Items, *, wall_ms: int) -> Iterator[Problem]:
    """Yields limits that contradict each other at the time ``wall_ms``."""
    configuration = Configuration.build(0, items)
    for move in configuration.moves.values():
        yield from _move_contradictions(configuration, move, wall_ms)
    for route in configuration.routes.values():
        yield from _price_contradictions(configuration, route)
    yield from _account_contradictions(configuration)


def _shadowed_accounts(configuration: Configuration) -> Iterator[Problem]:
    for account in configuration.accounts.values():
        found = configuration.accounts_by_key_hash[account.key_hash]
        if found is not account:
            yield Problem(
                place=place_of((ItemKind.ACCOUNT, account.name), 'key_hash'),
                message=f'account {found.name!r} has the same key and is '
                'found instead',
            )


def _unused_budgets(configuration: Configuration) -> Iterator[Problem]:
    lists = (
        *(account.budgets for account in configuration.accounts.values()),
        *(route.budgets for route in configuration.routes.values()),
    )
    charged = {budget for budgets in lists for budget in budgets}
    for name in configuration.budgets:
        if name not in charged:
            yield Problem(
                place=place_of((ItemKind.BUDGET, name)),
                message='no account and no route charges it',
            )


def _unserved_routes(configuration: Configuration) -> Iterator[Problem]:
    for route in configuration.routes.values():
        upstreams = configuration.upstreams_by_route.get(route.name, ())
        if all(upstream.version != route.version for upstream in upstreams):
            yield Problem(
                place=place_of((ItemKind.ROUTE, route.name), 'version'),
                message=f'no upstream has version {route.version!r}',
            )


def _unused_upstreams(configuration: Configuration) -> Iterator[Problem]:
    for upstream in configuration.upstreams.values():
        if upstream.version not in _versions_in_use(configuration, upstream):
            yield Problem(
                place=place_of((ItemKind.UPSTREAM, upstream.name), 'version'),
                message=f'route {upstream.route!r} neither is at version '
                f'{upstream.version!r} nor moves to it',
            )


def _versions_in_use(
    configuration: Configuration,
    upstream: Upstream,
) -> set[str]:
    route = configuration.routes.get(upstream.route)
    if route is None:
        return {upstream.version}  # reported as a missing reference
    moves = configuration.moves.values()
    return {
        route.version,
        *(move.to_version for move in moves if move.route == route.name),
    }


def _move_contradictions(
    configuration: Configuration,
    move: VersionMove,
    wall_ms: int,
) -> Iterator[Problem]:
    key = (ItemKind.MOVE, move.name)
    left_ms = move.deadline_wall_ms - wall_ms
    if left_ms <= 0:
        yield Problem(
            place=place_of(key, 'deadline_wall_ms'),
            message='it has passed',
        )
    elif move.watch_ms > left_ms:
        yield Problem(
            place=place_of(key, 'watch_ms'),
            message=f'{move.watch_ms} ms is over the {left_ms} ms that are '
            'left until the deadline of the move',
        )
    route = configuration.routes.get(move.route)
    if route is None:
        return
    for field in ('first_token_guard_ms', 'token_gap_guard_ms'):
        guard_ms = getattr(move, field)
        if guard_ms > route.deadline_ms:
            yield Problem(
                place=place_of(key, field),
                message=f'{guard_ms} ms is over the deadline of '
                f'{route.deadline_ms} ms of route {route.name!r}',
            )


def _price_contradictions(
    configuration: Configuration,
    route: Route,
) -> Iterator[Problem]:
    if route.kind is not RouteKind.SERVICE:
        return
    for name in route.budgets:
        budget = configuration.budgets.get(name)
        if budget is not None and _is_below(budget, route.tokens_per_call):
            yield _too_small(budget, route)


def _account_contradictions(configuration: Configuration) -> Iterator[Problem]:
    routes = tuple(configuration.routes.values())
    # The price of a completion depends on its prompt.
    if not routes or any(
        route.kind is not RouteKind.SERVICE for route in routes
    ):
        return
    cheapest = min(routes, key=lambda route: route.tokens_per_call)
    charged = {
        name
        for account in configuration.accounts.values()
        for name in account.budgets
    }
    for budget in configuration.budgets.values():
        is_reported = budget.name in cheapest.budgets
        if budget.name in charged and not is_reported:
            if _is_below(budget, cheapest.tokens_per_call):
                yield _too_small(budget, cheapest)


def _is_below(budget: Budget, tokens: int) -> bool:
    # A budget of 0 is filled by top-ups.
    return 0 < budget.initial_tokens < tokens


def _too_small(budget: Budget, route: Route) -> Problem:
    return Problem(
        place=place_of((ItemKind.BUDGET, budget.name), 'initial_tokens'),
        message=f'{budget.initial_tokens} tokens are below one request to '
        f'route {route.name!r}, which takes {route.tokens_per_call}',
    )

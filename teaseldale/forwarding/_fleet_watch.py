"""Applies configuration, runner and order changes from the store."""

import abc
from collections.abc import Callable, Iterable

import attrs
from anyio.abc import TaskGroup

from teaseldale.budgets import AccountGrants
from teaseldale.clock import BaseClock
from teaseldale.forwarding._configuration import (
    ConfigurationHolder,
    ForwardingConfiguration,
)
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._runner_announcements import RunnerAnnouncements
from teaseldale.forwarding._runners import (
    ForwardingRunner,
    RunnerDirectory,
    VersionOrder,
)
from teaseldale.forwarding._version_moves import VersionMoves
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import BacklogChoice
from teaseldale.tables import BaseRowFeed, Row, TableFollower


class UnreadableRowError(ValueError):
    """A row does not have the expected format."""


class BaseFleetFormat(abc.ABC):
    """Decodes the rows written by operators and runners."""

    @property
    @abc.abstractmethod
    def operator_table(self) -> str:
        """Returns the name of the table of operators' rows."""

    @property
    @abc.abstractmethod
    def runner_table(self) -> str:
        """Returns the name of the runner table, keyed by runner id."""

    @abc.abstractmethod
    def decode_configuration(self, row: Row) -> ForwardingConfiguration | None:
        """Returns the configuration, or None if the row holds something else.

        Raises ``UnreadableRowError`` if the row cannot be decoded.
        """

    @abc.abstractmethod
    def ordered_service(self, row: Row) -> str | None:
        """Returns the service of a version order row, or None for others."""

    @abc.abstractmethod
    def evacuated_zone(self, row: Row) -> str | None:
        """Returns the zone that a row evacuates, or None for other rows."""

    @abc.abstractmethod
    def decode_order(self, row: Row) -> VersionOrder:
        """Decodes a version order; raises ``UnreadableRowError``."""

    @abc.abstractmethod
    def decode_runner(self, row: Row) -> ForwardingRunner:
        """Decodes a runner entry; raises ``UnreadableRowError``."""


@attrs.frozen(kw_only=True)
class FleetState:
    """State that ``FleetWatch`` updates."""

    configuration: ConfigurationHolder
    directory: RunnerDirectory
    connections: RunnerConnectionPools
    choice: BacklogChoice
    announcements: RunnerAnnouncements
    grants: AccountGrants
    moves: VersionMoves


class FleetWatch(BaseService):
    """Service that keeps configuration, orders and runners up to date."""

    def __init__(
        self,
        *,
        feed: BaseRowFeed,
        format: BaseFleetFormat,  # noqa: WPS125
        state: FleetState,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Creates followers of two tables of ``feed``; ``start`` runs them."""
        self._format = format
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._log = StateLog(channel='fleet')
        self._operators = self._follower(
            feed,
            format.operator_table,
            self._apply_all_operator_rows,
            self._apply_operator_rows,
            skips_replaced=True,
        )
        self._runners = self._follower(
            feed,
            format.runner_table,
            self._apply_all_runners,
            self._apply_changed_runners,
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'fleet_watch'

    @property
    def runners_age_ms(self) -> int:
        """Returns the time since the store last confirmed the runners."""
        return self._runners.age_ms

    async def start(self, tasks: TaskGroup) -> None:
        """Starts following both tables."""
        tasks.start_soon(self._operators.run)
        tasks.start_soon(self._runners.run)

    def _follower(
        self,
        feed: BaseRowFeed,
        table: str,
        on_snapshot: Callable[[tuple[Row, ...]], None],
        on_changes: Callable[[tuple[Row, ...]], None],
        *,
        skips_replaced: bool = False,
    ) -> TableFollower:
        return TableFollower(
            feed=feed,
            table=table,
            clock=self._clock,
            metrics=self._metrics,
            on_snapshot=on_snapshot,
            on_changes=on_changes,
            skips_replaced=skips_replaced,
        )

    def _apply_all_operator_rows(self, rows: tuple[Row, ...]) -> None:
        """Applies a full read.

        An order or an evacuation without a row has been withdrawn.
        """
        self._apply_operator_rows(rows)
        services = {self._format.ordered_service(row) for row in rows}
        self._state.moves.keep_only_orders(services)
        zones = {
            self._format.evacuated_zone(row)
            for row in rows
            if row.value is not None
        }
        self._evacuate_only(
            self._state.directory.evacuated_zones.intersection(zones),
        )

    def _apply_operator_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            try:
                self._apply_operator_row(row)
            except UnreadableRowError as error:
                self._report_unreadable(row, error)

    def _apply_operator_row(self, row: Row) -> None:
        service = self._format.ordered_service(row)
        if service is not None:
            self._apply_order_row(service, row)
            return
        zone = self._format.evacuated_zone(row)
        if zone is not None:
            self._apply_evacuation_row(zone, row)
            return
        configuration = self._format.decode_configuration(row)
        if configuration is not None:
            self._apply_configuration(configuration)

    def _apply_order_row(self, service: str, row: Row) -> None:
        if row.value is None:
            self._state.moves.drop_order(service)
        else:
            self._state.moves.apply_order(self._format.decode_order(row))

    def _apply_evacuation_row(self, zone: str, row: Row) -> None:
        zones = self._state.directory.evacuated_zones
        if row.value is None:
            self._evacuate_only(zones - {zone})
        else:
            self._evacuate_only(zones | {zone})

    def _evacuate_only(self, zones: frozenset[str]) -> None:
        directory = self._state.directory
        previous = directory.evacuated_zones
        directory.evacuate_only(zones)
        for zone in sorted(zones ^ previous):
            is_evacuated = zone in zones
            change = 'evacuated' if is_evacuated else 'readmitted'
            self._metrics.increment('zone_evacuations', change)
            # A zone without runners may be misspelt, or not read yet.
            self._log.changed(
                'zone_evacuation_changed',
                zone=zone,
                is_evacuated=is_evacuated,
                runners=sum(
                    runner.availability_zone == zone
                    for runner in directory.all_runners()
                ),
                are_runners_known=directory.is_known,
            )
        self._metrics.set_gauge('zones_evacuated', len(zones))

    def _apply_configuration(self, offered: ForwardingConfiguration) -> None:
        if self._state.configuration.adopt_if_newer(offered):
            self._state.grants.update_prepaid_accounts(
                {
                    account.name: account.prepaid_tokens
                    for account in offered.accounts
                    if account.prepaid_tokens is not None
                },
            )
            self._note_entries(self._state.directory.all_runners())
            self._metrics.set_gauge('configuration_version', offered.version)
            self._log.changed(
                'configuration_in_force',
                version=offered.version,
                routes=len(offered.routes),
                accounts=len(offered.accounts),
            )

    def _apply_all_runners(self, rows: tuple[Row, ...]) -> None:
        decoded = (self._runner_of(row) for row in rows)
        self._state.directory.replace_all(
            runner for runner in decoded if runner is not None
        )
        self._note_entries(self._state.directory.all_runners())
        self._log.changed(
            'runners_read',
            count=len(self._state.directory.all_runners()),
        )
        self._discard_unregistered()

    def _apply_changed_runners(self, rows: tuple[Row, ...]) -> None:
        changed = {row.key: self._runner_of(row) for row in rows}
        self._state.directory.apply_changes(changed)
        self._note_entries(
            runner for runner in changed.values() if runner is not None
        )
        for runner_id, runner in changed.items():
            self._log.changed(
                'runner_changed',
                runner=runner_id,
                is_known=runner is not None,
                is_leaving=runner is not None and runner.is_leaving,
                service='' if runner is None else runner.service,
            )
        self._discard_unregistered()

    def _note_entries(self, runners: Iterable[ForwardingRunner]) -> None:
        configuration = self._state.configuration.current
        if configuration is not None:
            self._state.announcements.note_entries(
                runners,
                configuration.services,
            )

    def _runner_of(self, row: Row) -> ForwardingRunner | None:
        if row.value is None:
            return None
        try:
            return self._format.decode_runner(row)
        except UnreadableRowError as error:
            self._report_unreadable(row, error)
            return None

    def _report_unreadable(self, row: Row, error: UnreadableRowError) -> None:
        self._metrics.increment('rows_unreadable', row.table)
        self._log.changed(
            'row_unreadable',
            table=row.table,
            key=row.key,
            reason=str(error),
        )

    def _discard_unregistered(self) -> None:
        runners = self._state.directory.all_runners()
        self._state.connections.keep_only(runners)
        self._state.choice.keep_only(
            frozenset(runner.runner_id for runner in runners),
        )
        self._state.announcements.keep_only(
            frozenset(runner.incarnation_name for runner in runners),
        )
        self._metrics.set_gauge('runners_known', len(runners))

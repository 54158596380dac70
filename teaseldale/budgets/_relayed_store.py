"""The store, called directly or through another VM."""

import attrs

from teaseldale.budgets._account_rounds import StoreAccess
from teaseldale.budgets._account_rows import ACCOUNTS_TABLE
from teaseldale.budgets._relay_messages import RelayState
from teaseldale.budgets._store_relay import StoreRelay
from teaseldale.outcomes import PlatformError, Step
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowChanges,
    Transaction,
)

# Interval of direct calls while the store is lost.
_PROBE_INTERVAL_MS = 500


class RelayedStore(BaseTableService, BaseRowFeed):
    """Rows of accounts, read and written through another VM if necessary.

    A direct call that fails is not repeated, since a transaction may have been
    applied; the calls after it are relayed until the store answers again.
    """

    def __init__(self, *, direct: StoreAccess, relay: StoreRelay) -> None:
        """Calls ``direct`` while it answers, else through ``relay``."""
        self._direct = direct
        self._relay = relay

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Applies a transaction, directly or through another VM."""
        if not self._relay.is_store_lost:
            return await self._commit_directly(transaction)
        call = attrs.evolve(self._relay.new_call(), transaction=transaction)
        answer = await self._relay.call(call, Step.TABLE_COMMIT)
        if answer.state is RelayState.CONFLICTED:
            return Conflicted(rows=answer.rows)
        return Committed(revision=answer.revision, store_ms=answer.store_ms)

    async def read_all(self, table: str, *, part: str = '') -> RowChanges:
        """Returns a snapshot of a part, directly or through another VM."""
        if not self._relay.is_store_lost or table != ACCOUNTS_TABLE:
            return await self._read_directly(table, part)
        call = attrs.evolve(self._relay.new_call(), part=part)
        answer = await self._relay.call(call, Step.TABLE_READ)
        return RowChanges(
            rows=answer.rows,
            revision=answer.revision,
            store_ms=answer.store_ms,
        )

    async def wait_for_changes(
        self,
        table: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> RowChanges:
        """Waits for changes at the store itself."""
        return await self._direct.feed.wait_for_changes(
            table,
            after_revision=after_revision,
            wait_ms=wait_ms,
        )

    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns a row from the store itself."""
        return await self._direct.table.read(table=table, key=key)

    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns changed rows from the store itself."""
        return await self._direct.table.scan(
            table=table,
            prefix=prefix,
            after_revision=after_revision,
        )

    async def probe(self) -> None:
        """Calls the store directly, from time to time while it is lost."""
        while True:
            await self._direct.clock.sleep_ms(_PROBE_INTERVAL_MS)
            if self._relay.is_store_lost:
                try:
                    await self._read_directly(ACCOUNTS_TABLE, '')
                except PlatformError as error:
                    self._direct.metrics.increment(
                        'store_probes_failed', error.reason
                    )

    async def _commit_directly(
        self,
        transaction: Transaction,
    ) -> Committed | Conflicted:
        try:
            outcome = await self._direct.table.commit(transaction)
        except PlatformError:
            self._relay.note_direct_loss()
            raise
        self._relay.note_direct_answer()
        return outcome

    async def _read_directly(self, table: str, part: str) -> RowChanges:
        try:
            read = await self._direct.feed.read_all(table, part=part)
        except PlatformError:
            self._relay.note_direct_loss()
            raise
        self._relay.note_direct_answer()
        return read

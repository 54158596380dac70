"""Configuration kept in the table service and followed by polling."""

import msgspec
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.notes._configuration import (
    BaseConfigurationSource,
    Configuration,
    ItemKey,
)
from teaseldale.notes._items import TYPE_BY_KIND, ConfigurationItem, ItemKind
from teaseldale.notes._release_note import ReleaseNote
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step
from teaseldale.platform import (
    BaseTableService,
    Committed,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

CONFIGURATION_TABLE = 'configuration'
NOTES_TABLE = 'notes'
_POLL_INTERVAL_MS = 500


class TableConfiguration(BaseConfigurationSource, BaseService):
    """Reads changed items after the newest revision seen."""

    def __init__(self, *, table: BaseTableService, clock: BaseClock) -> None:
        """Starts from an empty configuration."""
        self._table = table
        self._clock = clock
        self._items: dict[ItemKey, ConfigurationItem] = {}
        self._current = Configuration.build(0, {})
        self._log = StateLog(channel='notes')

    @property
    def name(self) -> str:
        """Service name."""
        return 'notes'

    def current(self) -> Configuration:
        """Returns the newest snapshot."""
        return self._current

    async def start(self, tasks: TaskGroup) -> None:
        """Catches up once, then follows in the background."""
        await self._poll()
        tasks.start_soon(self._follow)

    async def apply(self, note: ReleaseNote) -> Committed | Refusal:
        """Stores a note; conflicting revisions refuse it as a whole."""
        checks = [RowCheck(table=NOTES_TABLE, key=note.name, revision=0)]
        writes = [_note_write(note)]
        for change in note.item_changes():
            key = _item_key(change.kind, change.item.name)
            checks.append(_check(key, change.written_against_revision))
            writes.append(_write(key, msgspec.json.encode(change.item)))
        for withdrawal in note.withdrawals:
            key = _item_key(withdrawal.kind, withdrawal.name)
            checks.append(_check(key, withdrawal.written_against_revision))
            writes.append(_write(key, None))
        outcome = await self._table.commit(
            make_transaction(checks=checks, writes=writes),
        )
        if isinstance(outcome, Committed):
            await self._poll()
            return outcome
        return _conflict(outcome.rows)

    async def _follow(self) -> None:
        while True:
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            await self._poll()

    async def _poll(self) -> None:
        try:
            rows = await self._table.scan(
                table=CONFIGURATION_TABLE,
                after_revision=self._current.revision,
            )
        except PlatformError:
            return
        if rows:
            self._put_in_force(rows)

    def _put_in_force(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            kind_text, _, name = row.key.partition('/')
            kind = ItemKind(kind_text)
            if row.value is None:
                self._items.pop((kind, name), None)
            else:
                self._items[kind, name] = msgspec.json.decode(
                    row.value,
                    type=TYPE_BY_KIND[kind],
                )
        revision = rows[-1].revision
        self._current = Configuration.build(revision, self._items)
        self._log.changed('configuration_in_force', revision=revision)


def _item_key(kind: ItemKind, name: str) -> str:
    return f'{kind}/{name}'


def _check(key: str, revision: int) -> RowCheck:
    return RowCheck(table=CONFIGURATION_TABLE, key=key, revision=revision)


def _write(key: str, encoded: bytes | None) -> RowWrite:
    return RowWrite(table=CONFIGURATION_TABLE, key=key, value=encoded)


def _note_write(note: ReleaseNote) -> RowWrite:
    return RowWrite(
        table=NOTES_TABLE,
        key=note.name,
        value=msgspec.json.encode(note),
    )


def _conflict(rows: tuple[Row, ...]) -> Refusal:
    keys = ', '.join(f'{row.key} (revision {row.revision})' for row in rows)
    return Refusal(
        code=RefusalCode.CONFLICT,
        message=f'Changed since the note was written: {keys}. Read them again.',
        not_run=True,
        step=Step.NOTE,
    )

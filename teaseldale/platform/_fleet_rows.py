"""Formats of the rows that the platform's operators and runners write."""

from typing import TypeVar

import msgspec

from teaseldale.forwarding import (
    BaseFleetFormat,
    EngineLimits,
    EntryLimits,
    ForwardingConfiguration,
    ForwardingRoute,
    ForwardingRunner,
    ForwardingService,
    PrepaidAccount,
    RetryPolicy,
    UnreadableRowError,
    VersionOrder,
    WeightedService,
)
from teaseldale.platform._raw_numbers import (
    MISSING_NUMBER,
    decode_non_negative,
)
from teaseldale.platform._settings_file import decode_address
from teaseldale.tables import Row

_CONFIGURATION_KEY = 'config'
_ORDER_PREFIX = 'rollout/'
_EVACUATION_PREFIX = 'evacuate/'
_MS_PER_SECOND = 1000
# Bounds of what another writer may have put into a row.
_MAX_SLOT_COUNT = 100_000
_MAX_START_WALL_MS = 253_402_300_800_000  # the year 10000
_MAX_ORDER_SECONDS = 604_800  # a week
_REPETITIONS = {
    'safe': RetryPolicy.SAFE,
    'unsafe': RetryPolicy.ONCE,
    'streaming': RetryPolicy.STREAM,
}
_IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}


class _SplitRecord(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    weight: float = msgspec.field(name='Weight')


class _RouteRecord(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    host: str = msgspec.field(name='Host')
    prefix: str = msgspec.field(name='Prefix')
    kind: str = msgspec.field(name='RouteKind')
    timeout_ms: float = msgspec.field(name='TimeoutMs')
    # Answers within this latency earn their full credit.
    objective_ms: float = msgspec.field(name='GoalMs', default=0)
    priority: int = msgspec.field(name='Priority', default=0)
    service: str = msgspec.field(name='Service', default='')
    split: list[_SplitRecord] = msgspec.field(
        name='Split',
        default_factory=list,
    )
    # Maximum number of runners tried for one attempt of a client.
    runner_limit: int = msgspec.field(name='MaxAttempts', default=1)
    is_anonymous: bool = msgspec.field(name='Anonymous', default=False)
    is_resumable: bool = msgspec.field(name='Resumable', default=False)
    gap_objective_ms: float = msgspec.field(name='GapTargetMs', default=0)


class _EngineRecord(msgspec.Struct):
    slots: int = msgspec.field(name='Slots')
    memory_tokens: int = msgspec.field(name='KvCapacityTokens')
    # Output tokens per event.
    stride: int = msgspec.field(name='Stride', default=1)


class _ServiceRecord(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    connection_limit: int = msgspec.field(name='MaxConns', default=0)
    health_path: str | None = msgspec.field(name='HealthPath', default=None)
    engine: _EngineRecord | None = msgspec.field(name='Engine', default=None)
    # Seconds for which a runner is cold after its start, and the requests per
    # second that it tolerates until then.
    cold_start_seconds: msgspec.Raw = msgspec.field(
        name='ColdStartS',
        default=MISSING_NUMBER,
    )
    cold_limit_per_s: msgspec.Raw = msgspec.field(
        name='ColdPerS',
        default=MISSING_NUMBER,
    )


class _TenantRecord(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    keys: list[str] = msgspec.field(name='ApiKeys', default_factory=list)
    priority: int | None = msgspec.field(name='Priority', default=None)
    prepaid: int | None = msgspec.field(name='Prepaid', default=None)


class _LimitsRecord(msgspec.Struct):
    header_bytes: int = msgspec.field(name='MaxHeaderBytes', default=16_384)
    body_bytes: int = msgspec.field(name='MaxBodyBytes', default=4_194_304)
    header_ms: int = msgspec.field(name='HeaderTimeoutMs', default=3000)
    idle_ms: int = msgspec.field(name='IdleTimeoutMs', default=15_000)


class _ConfigurationRecord(msgspec.Struct):
    version: int = msgspec.field(name='Version')
    routes: list[_RouteRecord] = msgspec.field(name='Routes')
    services: list[_ServiceRecord] = msgspec.field(
        name='Services',
        default_factory=list,
    )
    tenants: list[_TenantRecord] = msgspec.field(
        name='Tenants',
        default_factory=list,
    )
    limits: _LimitsRecord = msgspec.field(
        name='Limits',
        default_factory=_LimitsRecord,
    )


class _RunnerRecord(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    address: str = msgspec.field(name='Address')
    zone: str = msgspec.field(name='Zone')
    version: str = msgspec.field(name='Version')
    slots: int = msgspec.field(name='Slots')
    state: str = msgspec.field(name='State')
    # Start time of the runner in Unix milliseconds.
    started_wall_ms: int = msgspec.field(name='born', default=0)
    # Not typed: a runner is used as a warm one whatever is written here.
    cold_left_ms: msgspec.Raw = msgspec.field(
        name='ColdLeftMs',
        default=MISSING_NUMBER,
    )


class _OrderRecord(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    # Version that the traffic is moved to.
    version: str = msgspec.field(name='Target')
    duration_seconds: float = msgspec.field(name='DurationS')


RecordT = TypeVar('RecordT', bound=msgspec.Struct)


class PlatformFleetFormat(BaseFleetFormat):
    """Decodes the operators' and runners' rows in the platform's JSON."""

    @property
    def operator_table(self) -> str:
        """Name of the table that holds the operators' rows."""
        return 'op'

    @property
    def runner_table(self) -> str:
        """Name of the table that holds the runners' entries."""
        return 'servers'

    def decode_configuration(self, row: Row) -> ForwardingConfiguration | None:
        """Decodes the configuration row; returns None for other rows.

        Returns None if the row was deleted, and raises ``UnreadableRowError``
        if it is malformed.
        """
        if row.key != _CONFIGURATION_KEY or row.value is None:
            return None
        record = _decode(row, _ConfigurationRecord)
        try:
            return _configuration_of(record)
        except (ValueError, KeyError) as error:
            raise UnreadableRowError(str(error)) from error

    def ordered_service(self, row: Row) -> str | None:
        """Returns the service named by an order's key, None for other rows."""
        if not row.key.startswith(_ORDER_PREFIX):
            return None
        return row.key.removeprefix(_ORDER_PREFIX)

    def evacuated_zone(self, row: Row) -> str | None:
        """Returns the zone named by an evacuation's key, None for others.

        The row's value is not read: its presence is the request.
        """
        if not row.key.startswith(_EVACUATION_PREFIX):
            return None
        return row.key.removeprefix(_EVACUATION_PREFIX)

    def decode_order(self, row: Row) -> VersionOrder:
        """Decodes a version order; raises ``UnreadableRowError``."""
        record = _decode(row, _OrderRecord)
        if not 0 <= record.duration_seconds <= _MAX_ORDER_SECONDS:
            raise UnreadableRowError(f'{record.duration_seconds} seconds')
        if not record.version:
            raise UnreadableRowError('no version')
        return VersionOrder(
            service=record.service,
            version=record.version,
            duration_ms=int(record.duration_seconds * _MS_PER_SECOND),
            revision=row.revision,
        )

    def decode_runner(self, row: Row) -> ForwardingRunner:
        """Decodes a runner's entry; raises ``UnreadableRowError``."""
        record = _decode(row, _RunnerRecord)
        objection = _objection_to(record)
        if objection is not None:
            raise UnreadableRowError(objection)
        try:
            address = decode_address(record.address)
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        return ForwardingRunner(
            runner_id=row.key,
            started_wall_ms=record.started_wall_ms,
            service=record.service,
            address=address,
            availability_zone=record.zone,
            version=record.version,
            slot_count=record.slots,
            is_leaving=_IS_LEAVING_BY_STATE[record.state],
            cold_left_ms=decode_non_negative(record.cold_left_ms),
            revision=row.revision,
        )


def _decode(row: Row, kind: type[RecordT]) -> RecordT:
    """Raises ``UnreadableRowError``, also for arrays within arrays."""
    try:
        return msgspec.json.decode(row.value or b'', type=kind)
    except (ValueError, RecursionError) as error:
        raise UnreadableRowError(str(error)) from error


def _objection_to(record: _RunnerRecord) -> str | None:
    """Returns why an entry names no runner that can be used, or None."""
    if record.state not in _IS_LEAVING_BY_STATE:
        return f'state {record.state!r}'
    if not 1 <= record.slots <= _MAX_SLOT_COUNT:
        return f'{record.slots} slots'
    if not 0 <= record.started_wall_ms <= _MAX_START_WALL_MS:
        return f'a start at {record.started_wall_ms}'
    if not (record.service and record.version):
        return 'no service or no version'
    return None


def _configuration_of(
    record: _ConfigurationRecord,
) -> ForwardingConfiguration:
    limits = record.limits
    return ForwardingConfiguration(
        version=record.version,
        routes=tuple(map(_route_of, record.routes)),
        services={
            service.name: _service_of(service) for service in record.services
        },
        accounts=tuple(map(_account_of, record.tenants)),
        limits=EntryLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_ms,
            idle_timeout_ms=limits.idle_ms,
        ),
    )


def _route_of(record: _RouteRecord) -> ForwardingRoute:
    services = tuple(
        WeightedService(service=part.service, weight=part.weight)
        for part in record.split
    )
    if not services:
        services = (WeightedService(service=record.service, weight=1),)
    return ForwardingRoute(
        name=record.name,
        host=record.host,
        path_prefix=record.prefix,
        repetition=_REPETITIONS[record.kind],
        services=services,
        runner_limit=record.runner_limit,
        timeout_ms=record.timeout_ms,
        objective_ms=record.objective_ms,
        priority=record.priority,
        is_anonymous=record.is_anonymous,
        is_resumable=record.is_resumable,
        gap_objective_ms=record.gap_objective_ms,
    )


def _service_of(record: _ServiceRecord) -> ForwardingService:
    engine = record.engine
    return ForwardingService(
        name=record.name,
        connection_limit=record.connection_limit,
        health_path=record.health_path or '',
        cold_limit_per_s=decode_non_negative(record.cold_limit_per_s) or 0,
        cold_start_ms=_MS_PER_SECOND
        * (decode_non_negative(record.cold_start_seconds) or 0),
        engine=None
        if engine is None
        else EngineLimits(
            slot_count=engine.slots,
            memory_tokens=engine.memory_tokens,
            tokens_per_event=engine.stride,
        ),
    )


def _account_of(record: _TenantRecord) -> PrepaidAccount:
    return PrepaidAccount(
        name=record.name,
        keys=tuple(record.keys),
        priority=record.priority,
        prepaid_tokens=record.prepaid,
    )

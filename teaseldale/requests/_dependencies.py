"""State that spending and the request registry of one VM share."""

import random

import attrs

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.peers import BasePeerNetwork
from teaseldale.requests._duplicates import DuplicateQueue
from teaseldale.requests._holder import HOLDER_VALIDITY_MS, SpendingHolder
from teaseldale.requests._records import RecordStore
from teaseldale.tables import BaseTableService, RetryingTableService


@attrs.frozen(kw_only=True)
class HolderDependencies:
    """Dependencies and shared state of one holder of grants."""

    table: RetryingTableService
    peers: BasePeerNetwork
    clock: BaseClock
    metrics: Metrics
    holder: SpendingHolder
    store: RecordStore
    duplicates: DuplicateQueue

    @classmethod
    def build(
        cls,
        *,
        table: BaseTableService,
        peers: BasePeerNetwork,
        clock: BaseClock,
        metrics: Metrics,
        random_source: random.Random,
        validity_ms: int = HOLDER_VALIDITY_MS,
    ) -> 'HolderDependencies':
        """Creates the initial state of a VM incarnation."""
        holder = SpendingHolder(
            vm=peers.identity,
            clock=clock,
            validity_ms=validity_ms,
        )
        return cls(
            table=RetryingTableService(
                table=table,
                clock=clock,
                metrics=metrics,
                random_source=random_source,
            ),
            peers=peers,
            clock=clock,
            metrics=metrics,
            holder=holder,
            store=RecordStore(clock=clock),
            duplicates=DuplicateQueue(holder=holder),
        )

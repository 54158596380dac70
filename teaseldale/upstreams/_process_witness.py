"""Connections that show whether the process of a runner goes on."""

import asyncio
from collections.abc import Callable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.upstreams._connection_end import (
    BaseProcessWitness,
    BaseWitnessUse,
    Testimony,
)
from teaseldale.upstreams._connector import BaseConnector, RunnerChannel
from teaseldale.upstreams._expected_framing import ExpectedFraming
from teaseldale.upstreams._process_inquiry import BaseProcessInquiry
from teaseldale.upstreams._tcp_network import PeerAddress
from teaseldale.upstreams._witness_connection import (
    ConnectionLoss,
    InquiryResult,
    WitnessConnection,
)

_CONNECT_TIMEOUT_MS = 700
_RECONNECT_PAUSE_SECONDS = 0.25
# Connections on which an end is asked about, one after another, if the runner
# announces that it closes them.
_TRIES = 3
_SWAP_SECONDS = 0.01
_ANSWERS = frozenset((InquiryResult.NAMED, InquiryResult.ANSWERED))

# Returns an idle connection to the runner and what is left of its idle time.
IdleSource = Callable[[], tuple[RunnerChannel, int] | None]


@attrs.frozen(kw_only=True)
class _Observations:
    """What a witness has seen until some moment."""

    # Ends that may be those of the process.
    loss_count: int = 0
    # Times without a connection, after which the next one may belong to another
    # process.
    gap_count: int = 0


class ProcessWitness(BaseProcessWitness):
    """Holds a connection of its own while responses need one.

    A process that is gone has lost all of its connections and answers on none,
    one that has ended a response keeps the others. Unlike a new connection, one
    that was open before cannot belong to the next process at the same address.
    How long the end of a connection takes to arrive differs between
    connections, so only an answer to a request that was sent after the end
    of a response shows that its process has outlived it.

    Runners close idle connections, which looks like the end of a process. So
    the connection is kept busy. Where the runner closes it after an answer, its
    successor is opened before: the process that answers has outlived that
    moment.
    """

    def __init__(
        self,
        *,
        address: PeerAddress,
        connector: BaseConnector,
        inquiry: BaseProcessInquiry,
        clock: BaseClock,
        metrics: Metrics,
        take_idle: IdleSource,
    ) -> None:
        """Opens no connection before the first use."""
        self._address = address
        self._connector = connector
        self._inquiry = inquiry
        self.expected_framing = ExpectedFraming(clock=clock)
        self._metrics = metrics
        self._take_idle = take_idle
        self._use_count = 0
        self._connection: WitnessConnection | None = None
        self._successor: WitnessConnection | None = None
        # Whether the process has answered since the successor was opened.
        self._is_confirmed = False
        self._preparing = asyncio.Lock()
        # Whether the runner answers more than one request on a connection.
        self._keeps_open = False
        self._names_itself = False
        self._seen = _Observations()
        self._task: asyncio.Task[None] | None = None

    @property
    def seen(self) -> _Observations:
        """What has been seen until now."""
        return self._seen

    @property
    def has_connection(self) -> bool:
        """Whether a connection is open."""
        return self._connection is not None

    def observe(self) -> BaseWitnessUse:
        """Returns an observation from now on."""
        return _WitnessUse(witness=self)

    def begin_use(self) -> None:
        """Opens the connection, and again when it is lost."""
        self._use_count += 1
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._keep_open())

    def end_use(self) -> None:
        """Ends one use; the connection is closed once it has been idle."""
        self._use_count -= 1

    def close(self) -> None:
        """Closes the connection unless it is in use."""
        if self._task is not None and not self._use_count:
            self._task.cancel()

    async def testify(self, since: _Observations) -> Testimony:
        """Returns what is known of the process since ``since``.

        Takes the time of an answer from the runner.
        """
        if since.loss_count != self._seen.loss_count:
            return Testimony.ENDED
        outcome = await self._ask()
        is_new = outcome is None
        if outcome is None:
            outcome = await self._ask_anew()
        if since.loss_count != self._seen.loss_count:
            return Testimony.ENDED
        has_gap = since.gap_count != self._seen.gap_count
        # After a time without a connection, the next process may answer.
        if outcome not in _ANSWERS or (
            has_gap and outcome is not InquiryResult.NAMED
        ):
            return Testimony.SILENT
        return Testimony.REACHED if has_gap or is_new else Testimony.SURVIVED

    async def _ask(self) -> InquiryResult | None:
        """Returns the outcome on the open connection, if there is one."""
        for _ in range(_TRIES):
            connection = self._connection
            if connection is None:
                return None
            outcome = await self._ask_on(connection)
            if outcome is not InquiryResult.LOST:
                return outcome
            # Until the task that holds the connection has replaced it.
            while self._connection is connection:
                await asyncio.sleep(_SWAP_SECONDS)
        return None

    async def _ask_on(self, connection: WitnessConnection) -> InquiryResult:
        await self._prepare_successor()
        successor = self._successor
        outcome = await connection.ask()
        if outcome in _ANSWERS:
            self._keeps_open = self._keeps_open and connection.loss is None
            if successor is not None and successor is self._successor:
                self._is_confirmed = True
        return outcome

    async def _learn(self) -> None:
        """Finds out on another connection how the runner answers."""
        connection = None if self._keeps_open else await self._open()
        if connection is None:
            return
        try:
            first = await connection.ask()
            second = await connection.ask()
        finally:
            connection.close()
        self._names_itself = first is InquiryResult.NAMED
        self._keeps_open = second in _ANSWERS
        if self._keeps_open:
            self._drop_successor()

    async def _prepare_successor(self) -> None:
        async with self._preparing:
            successor = self._successor
            if successor is not None and successor.loss is not None:
                self._drop_successor()
            if not self._keeps_open and self._successor is None:
                self._successor = await self._open()

    def _drop_successor(self) -> None:
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        self._is_confirmed = False

    async def _ask_anew(self) -> InquiryResult:
        """Returns the outcome on a new connection."""
        connection = await self._open()
        if connection is None:
            return InquiryResult.UNANSWERED
        try:
            return await connection.ask()
        finally:
            connection.close()

    async def _keep_open(self) -> None:
        """Holds one connection after another while there are uses."""
        try:
            while self._use_count:
                connection = self._successor or await self._open()
                self._successor = None
                self._is_confirmed = False
                if connection is not None:
                    await self._hold(connection)
                if self._successor is None and self._use_count:
                    await asyncio.sleep(_RECONNECT_PAUSE_SECONDS)
        finally:
            self._drop_successor()

    async def _hold(self, connection: WitnessConnection) -> None:
        """Returns once the connection has ended or is not needed."""
        self._connection = connection
        learning = asyncio.create_task(self._learn())
        try:
            is_lost = await self._keep_busy(connection)
        finally:
            learning.cancel()
            self._connection = None
            connection.close()
        if is_lost:
            self._note_loss(connection.loss)

    async def _keep_busy(self, connection: WitnessConnection) -> bool:
        """Returns whether the connection was lost while it was needed."""
        while not await connection.wait_until_lost(connection.idle_ms):
            if not self._use_count:
                return False
            # A successor that names no runner proves too little to give up a
            # connection for it.
            if self._keeps_open or self._names_itself:
                await self._ask_on(connection)
        return True

    def _note_loss(self, loss: ConnectionLoss | None) -> None:
        if self._is_confirmed:
            return
        self._drop_successor()
        self._keeps_open = False
        seen = self._seen
        if loss is ConnectionLoss.LOST:
            self._seen = attrs.evolve(seen, loss_count=seen.loss_count + 1)
        else:
            self._seen = attrs.evolve(seen, gap_count=seen.gap_count + 1)

    async def _open(self) -> WitnessConnection | None:
        """Prefers an idle connection, which needs no place at the runner."""
        idle = self._take_idle()
        if idle is not None:
            return self._connection_of(idle[0], idle_ms=idle[1])
        try:
            channel = await self._connector.connect(
                self._address,
                timeout_ms=_CONNECT_TIMEOUT_MS,
            )
        except ConnectionRefusedError:
            # No process listens, and the next one is another.
            self._note_loss(ConnectionLoss.LOST)
            return None
        except OSError:
            # Responses are examined by a new connection instead.
            return None
        return self._connection_of(channel)

    def _connection_of(
        self,
        channel: RunnerChannel,
        *,
        idle_ms: int | None = None,
    ) -> WitnessConnection:
        return WitnessConnection(
            channel=channel,
            inquiry=self._inquiry,
            metrics=self._metrics,
            idle_ms=idle_ms,
        )


class _WitnessUse(BaseWitnessUse):
    """Observation since one request was sent."""

    def __init__(self, *, witness: ProcessWitness) -> None:
        self._witness = witness
        self._since = witness.seen
        self._has_connection = False  # once the response has ended
        self._is_in_use = False
        if witness.expected_framing.may_be_unframed:
            # The head may arrive after the end of the process.
            self._open()

    def begin(self) -> None:
        """Needs a connection from now on."""
        self._witness.expected_framing.note_head(is_unframed=True)
        self._open()

    def dismiss(self) -> None:
        """Needs no connection, as the response marks its end itself."""
        self._witness.expected_framing.note_head(is_unframed=False)
        self.end()

    def note_end(self) -> None:
        """Records whether there is a connection from before the end."""
        self._has_connection = self._witness.has_connection

    async def testify(self) -> Testimony:
        """Returns what an inquiry shows that is sent from now on."""
        testimony = await self._witness.testify(self._since)
        if testimony is Testimony.SURVIVED and not self._has_connection:
            return Testimony.REACHED
        return testimony

    def end(self) -> None:
        """Needs no connection any more."""
        if self._is_in_use:
            self._is_in_use = False
            self._witness.end_use()

    def _open(self) -> None:
        if not self._is_in_use:
            self._is_in_use = True
            self._witness.begin_use()

"""Interface of the request registry."""

import abc
import enum

import attrs

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.outcomes import Refusal
from teaseldale.requests._holder import Settlement
from teaseldale.requests._identity import RequestIdentity


@attrs.frozen(kw_only=True)
class OpenedRequest:
    """A request that this VM has to run."""

    request: RequestIdentity
    digest: str  # hash of the body, detects reuse of a key
    answer: AnswerLog  # written by the runner, read by callers
    repeatable: bool  # whether a run with unknown outcome may be retried
    attempt: str = ''  # ID of this attempt to open the request


@attrs.frozen(kw_only=True)
class ReservedFunds:
    """Reservation of a request, made before its dispatch."""

    holder: str  # key of the paying holder; empty without grants
    budgets: tuple[str, ...]
    tokens: int  # upper bound of the usage


@enum.unique
class RequestStatus(enum.StrEnum):
    """Status of a request, for callers that query it later."""

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    FINISHED = 'finished'
    IN_DOUBT = 'in_doubt'


@attrs.frozen(kw_only=True)
class AttachedAnswer:
    """A request that is running or has run; its answer can be read."""

    answer: AnswerLog


class BaseRequestRegistry(abc.ABC):
    """Decides for each arriving request whether this VM runs it.

    Calls come in this order: ``open``, ``record_dispatch`` before any byte is
    sent to an upstream, then ``finish`` or ``abandon``.
    """

    @abc.abstractmethod
    async def open(
        self,
        *,
        request: RequestIdentity,
        digest: str,
        repeatable: bool,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        """Registers a request or attaches to its earlier run."""

    def record_funds(self, opened: OpenedRequest, funds: ReservedFunds) -> None:
        """Records the reservation; called before ``record_dispatch``."""

    @abc.abstractmethod
    async def record_dispatch(
        self,
        opened: OpenedRequest,
        *,
        upstream: str,
        reserved_tokens: int,
    ) -> Refusal | None:
        """Replicates the dispatch; a refusal means it must not happen."""

    @abc.abstractmethod
    async def finish(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
        settlement: Settlement,
    ) -> Refusal | None:
        """Records the outcome that is replayed to retries.

        After a refusal the end of the answer must not be sent.
        """

    @abc.abstractmethod
    async def abandon(
        self,
        opened: OpenedRequest,
        *,
        not_run: bool,
        settlement: Settlement | None = None,
    ) -> None:
        """Aborts; if ``not_run`` is set, a retry may run the request."""

    @abc.abstractmethod
    async def status(self, request: RequestIdentity) -> RequestStatus:
        """Returns the status of a request; raises ``PlatformError``."""

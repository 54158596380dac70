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
    """This VM is to run the request."""

    request: RequestIdentity
    digest: str  # hash of the body, to find a key used twice
    answer: AnswerLog  # written by the run, read by callers
    repeatable: bool  # whether it may run again after an unknown outcome
    attempt: str = ''  # names this opening of the request


@attrs.frozen(kw_only=True)
class ReservedFunds:
    """What a request that is about to run has reserved."""

    holder: str  # key of the holder that pays, empty without grants
    budgets: tuple[str, ...]
    tokens: int  # upper bound of the use


@enum.unique
class RequestStatus(enum.StrEnum):
    """What is known of a request, for callers that ask later."""

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    FINISHED = 'finished'
    IN_DOUBT = 'in_doubt'


@attrs.frozen(kw_only=True)
class AttachedAnswer:
    """The request runs or has run; its answer is read from the start."""

    answer: AnswerLog


class BaseRequestRegistry(abc.ABC):
    """Decides for each arriving request whether this VM runs it.

    ``open`` comes first, then ``record_dispatch`` before any byte goes to an
    upstream, then ``finish`` or ``abandon``.
    """

    @abc.abstractmethod
    async def open(
        self,
        *,
        request: RequestIdentity,
        digest: str,
        repeatable: bool,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        """Registers a request or finds its earlier run."""

    def record_funds(self, opened: OpenedRequest, funds: ReservedFunds) -> None:
        """Notes what was reserved, before the dispatch is recorded."""

    @abc.abstractmethod
    async def record_dispatch(
        self,
        opened: OpenedRequest,
        *,
        upstream: str,
        reserved_tokens: int,
    ) -> Refusal | None:
        """Makes the intent to run known; a refusal forbids the dispatch."""

    @abc.abstractmethod
    async def finish(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
        settlement: Settlement,
    ) -> Refusal | None:
        """Records the outcome that retries are given.

        A refusal forbids the last byte of the answer.
        """

    @abc.abstractmethod
    async def abandon(
        self,
        opened: OpenedRequest,
        *,
        not_run: bool,
        settlement: Settlement | None = None,
    ) -> None:
        """Gives up; if ``not_run`` holds, a retry may run the request."""

    @abc.abstractmethod
    async def status(self, request: RequestIdentity) -> RequestStatus:
        """Tells what is known of a request; raises ``PlatformError``."""

"""Interface of the request registry."""

import abc

import attrs

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.outcomes import Refusal
from teaseldale.requests._identity import RequestIdentity


@attrs.frozen(kw_only=True)
class OpenedRequest:
    """This VM is to run the request."""

    request: RequestIdentity
    digest: str  # hash of the body, to find a key used twice
    answer: AnswerLog  # written by the run, read by callers
    repeatable: bool  # whether it may run again after an unknown outcome


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
    ) -> None:
        """Records the outcome that retries are given."""

    @abc.abstractmethod
    async def abandon(self, opened: OpenedRequest, *, not_run: bool) -> None:
        """Gives up; if ``not_run`` holds, a retry may run the request."""

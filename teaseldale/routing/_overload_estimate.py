"""Estimates of the time until a runner sends the first event of a request."""

import abc

from teaseldale.routing._runner_pace import RunnerPaces


class BaseStartEstimate(abc.ABC):
    """Estimates when a runner would send the first event of a new request."""

    @abc.abstractmethod
    def first_event_ms(
        self,
        runner: str,
        queued_tokens: int,
        own_tokens: int,
        in_work: int,
    ) -> float | None:
        """Returns the time from the send to the first event, in ms.

        ``queued_tokens`` and ``own_tokens`` are the prompt tokens to be read
        before and for the request, ``in_work`` the requests at the runner.
        Returns None if nothing is known about the runner.
        """


class UnknownStart(BaseStartEstimate):
    """Knows nothing, so that only the slots of runners decide."""

    def first_event_ms(
        self,
        runner: str,
        queued_tokens: int,
        own_tokens: int,
        in_work: int,
    ) -> float | None:
        """Returns None."""
        return None


class LearnedStart(BaseStartEstimate):
    """Estimates from the learned paces of runners."""

    def __init__(self, *, paces: RunnerPaces) -> None:
        """Uses ``paces``, which others keep current."""
        self._paces = paces

    def first_event_ms(
        self,
        runner: str,
        queued_tokens: int,
        own_tokens: int,
        in_work: int,
    ) -> float | None:
        """Returns the expected time, or None if the pace is unknown."""
        return self._paces.first_event_ms(
            runner,
            queued_tokens,
            own_tokens,
            in_work,
        )

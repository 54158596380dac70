"""Requests that ask the process of a runner for a sign of life."""

import abc
import enum

from teaseldale.upstreams._runner_message import RunnerMessage
from teaseldale.upstreams._wire_headers import WireHeaders


@enum.unique
class Sender(enum.StrEnum):
    """Who has sent the response to an inquiry."""

    NAMED = 'named'  # the runner, which names itself
    UNNAMED = 'unnamed'  # the runner, as far as the response says
    OTHER = 'other'  # another runner


class BaseProcessInquiry(abc.ABC):
    """A request that a runner answers without running anything."""

    @property
    @abc.abstractmethod
    def message(self) -> RunnerMessage:
        """The request."""

    @abc.abstractmethod
    def sender_of(self, status: int, headers: WireHeaders) -> Sender:
        """Returns who has sent a response with this head."""


class OptionsInquiry(BaseProcessInquiry):
    """Asks for the options of a server as a whole, which HTTP has as a ping."""

    @property
    def message(self) -> RunnerMessage:
        """An ``OPTIONS *`` request."""
        return RunnerMessage(
            method='OPTIONS',
            target=b'*',
            headers=((b'host', b'runner'),),
            body=b'',
        )

    def sender_of(self, status: int, headers: WireHeaders) -> Sender:
        """Returns that the response names no sender."""
        return Sender.UNNAMED

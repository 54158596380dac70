"""Requests that ask the process of a runner for a sign of life."""

import abc

from teaseldale.upstreams._runner_message import RunnerMessage
from teaseldale.upstreams._wire_headers import WireHeaders


class BaseProcessInquiry(abc.ABC):
    """A request that a runner answers without running anything."""

    @property
    @abc.abstractmethod
    def message(self) -> RunnerMessage:
        """The request."""

    @abc.abstractmethod
    def is_from_runner(self, status: int, headers: WireHeaders) -> bool:
        """Returns whether a response may come from the runner itself.

        It does not if it names another runner.
        """


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

    def is_from_runner(self, status: int, headers: WireHeaders) -> bool:
        """Returns True, as no response names its sender."""
        return True

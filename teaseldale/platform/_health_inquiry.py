"""Health checks as inquiries whether a runner's process goes on."""

import re

from teaseldale.forwarding import ForwardingRunner
from teaseldale.upstreams import (
    BaseProcessInquiry,
    RunnerMessage,
    Sender,
    WireHeaders,
    header_of,
)

_STATUS_MISDIRECTED = 421
_RUNNER_ID = b'x-instance-id'
# A health check waits for a slot. One that waits any longer is rejected,
# which is an answer as well.
_DEADLINE_MS = 100
_PATH = re.compile('/[!-~]*')


class HealthInquiry(BaseProcessInquiry):
    """A health check; any answer to it shows that its process goes on."""

    def __init__(self, *, runner: ForwardingRunner, health_path: str) -> None:
        """Pings the server as a whole if the service names no usable path."""
        has_path = _PATH.fullmatch(health_path) is not None
        self._runner_id = runner.runner_id.encode()
        self._message = RunnerMessage(
            method='GET' if has_path else 'OPTIONS',
            target=health_path.encode() if has_path else b'*',
            headers=(
                (b'host', str(runner.address).encode()),
                (b'x-expect-instance', self._runner_id),
                (b'x-deadline-ms', b'%d' % _DEADLINE_MS),
            ),
            body=b'',
        )

    @property
    def message(self) -> RunnerMessage:
        """The health check."""
        return self._message

    def sender_of(self, status: int, headers: WireHeaders) -> Sender:
        """Returns who has answered; rejections need not name the runner."""
        sender_id = header_of(headers, _RUNNER_ID)
        if status == _STATUS_MISDIRECTED:
            return Sender.OTHER
        if sender_id is None:
            return Sender.UNNAMED
        is_own = sender_id == self._runner_id
        return Sender.NAMED if is_own else Sender.OTHER

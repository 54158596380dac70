"""Exceptions for failed calls to the platform and to other VMs."""

from teaseldale.outcomes._step import Step


class PlatformError(Exception):
    """The platform returned no valid response; a write may be committed."""

    def __init__(self, *, step: Step, peer: str, reason: str) -> None:
        """Creates the error; ``peer`` is the remote end of the call."""
        super().__init__(f'{step} at {peer}: {reason}')
        self.step = step
        self.peer = peer
        self.reason = reason


class PeerUnreachableError(Exception):
    """Another VM did not answer within the time-out."""

    def __init__(self, *, step: Step, peer: str, reason: str) -> None:
        """Creates the error; ``peer`` is the remote end of the call."""
        super().__init__(f'{step} at {peer}: {reason}')
        self.step = step
        self.peer = peer
        self.reason = reason

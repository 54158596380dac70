"""What the forwarding path asks of a wire format."""

import abc

import attrs

from teaseldale.forwarding._node import Address
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.outcomes import Refusal
from teaseldale.routing import SharedPart
from teaseldale.upstreams import WireHeaders


@attrs.frozen(kw_only=True)
class TokenUsage:
    """The size of a generation."""

    prompt_tokens: int
    output_limit_tokens: int  # most that the caller accepts

    @property
    def most_tokens(self) -> int:
        """What the request costs at its most."""
        return self.prompt_tokens + self.output_limit_tokens


@attrs.frozen(kw_only=True)
class ClientRequest:
    """A request of a caller, decoded."""

    request_id: str  # of this attempt of the caller
    method: str
    target: bytes  # raw path with the query
    path: str
    host: str
    headers: WireHeaders  # as sent, names in lower case
    key: str | None = None
    deadline_ms: float | None = None  # time the caller waits from now
    usage: TokenUsage | None = None
    prompt_parts: tuple[SharedPart, ...] = ()
    last_event_id: int | None = None  # set when a stream is resumed


@attrs.frozen(kw_only=True)
class Dispatch:
    """What is added to a request for one runner."""

    runner: ForwardingRunner
    left_ms: int  # time after which the runner stops work
    account: str | None = None  # name of the caller's account
    priority: int | None = None  # 0 to 9, 0 is the most urgent
    last_event_id: int | None = None  # event after which a stream goes on
    fetch_from: Address | None = None  # runner that holds more of the prompt


@attrs.frozen(kw_only=True)
class RunnerLoad:
    """What a runner says of its load."""

    running_count: int
    waiting_count: int
    slot_count: int


@attrs.frozen(kw_only=True)
class RunnerReply:
    """The head of a runner's answer, decoded."""

    status: int
    is_not_run: bool  # whether the runner says that it did not run it
    is_misdirected: bool = False  # whether it is not the runner that was meant
    load: RunnerLoad | None = None


class BaseWireFormat(abc.ABC):
    """Translates between headers and the types of the forwarding path."""

    @abc.abstractmethod
    def read_request(
        self,
        *,
        method: str,
        target: bytes,
        path: str,
        headers: WireHeaders,
    ) -> ClientRequest:
        """Decodes a caller's request; raises ``ValueError`` if it is wrong."""

    @abc.abstractmethod
    def runner_headers(
        self,
        request: ClientRequest,
        dispatch: Dispatch,
    ) -> WireHeaders:
        """Returns the headers of the request for a runner."""

    @abc.abstractmethod
    def answers(
        self,
        request: ClientRequest,
        status: int,
        headers: WireHeaders,
    ) -> bool:
        """Whether an answer with this head belongs to ``request``."""

    @abc.abstractmethod
    def read_reply(self, status: int, headers: WireHeaders) -> RunnerReply:
        """Decodes the head of a runner's answer."""

    @abc.abstractmethod
    def caller_headers(self, headers: WireHeaders) -> WireHeaders:
        """Returns what of a runner's headers goes on to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self,
        request: ClientRequest | None,
        refusal: Refusal,
    ) -> WireHeaders:
        """Returns the headers of an answer of the VM's own."""

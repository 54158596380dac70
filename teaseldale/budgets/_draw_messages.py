"""Datagrams between keepers of an account and VMs that draw on them."""

import enum

import attrs

# First byte of a datagram, which identifies the type of its content.
DRAW = b'd'
DRAW_ANSWER = b'a'
RETURN = b'r'
RETURN_RECEIPT = b'c'


@enum.unique
class DrawState(enum.StrEnum):
    """Outcome of a draw at a keeper."""

    PAID = 'paid'
    PENDING = 'pending'  # the keeper waits for tokens and will answer again
    REFUSED = 'refused'


@attrs.frozen(kw_only=True)
class Draw:
    """Requests tokens for one request and, if available, spare tokens.

    A draw of no tokens asks for the outcome of an earlier one with its id.
    """

    draw_id: str  # unique for each keeper that is asked
    account: str
    tokens: int  # required by the request
    spare_tokens: int  # expected to be needed by subsequent requests
    prepaid_tokens: int  # of the account, as configured at the drawer
    drawer: str  # key of the requesting incarnation
    drawer_address: str
    # Part of ``spare_tokens`` that requests wait for; absent in draws of
    # earlier builds.
    waiting_tokens: int = 0


@attrs.frozen(kw_only=True)
class DrawAnswer:
    """Answer to a draw; the tokens of a paid draw belong to the drawer."""

    draw_id: str
    account: str
    state: DrawState
    drawer: str  # the only incarnation that may accept the tokens
    keeper: str  # key of the answering incarnation
    keeper_address: str
    tokens: int = 0
    refusal: str = ''  # refusal code if the draw is refused
    # Whether the keeper pays ``Draw.waiting_tokens``; absent in answers of
    # earlier builds, which pay only the tokens of a draw and spare ones.
    pays_waiting: bool = False


@attrs.frozen(kw_only=True)
class TokenReturn:
    """Returns drawn tokens that a VM does not need."""

    return_id: str
    account: str
    tokens: int
    keeper: str  # the only incarnation that may accept the tokens
    drawer_address: str


@attrs.frozen(kw_only=True)
class ReturnReceipt:
    """Acknowledges a token return."""

    return_id: str

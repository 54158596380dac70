"""Datagrams between a VM that needs tokens of an account and a keeper."""

import enum

import attrs

# First bytes of datagrams, which tell what follows.
DRAW = b'd'
DRAW_ANSWER = b'a'
RETURN = b'r'
RETURN_RECEIPT = b'c'


@enum.unique
class DrawState(enum.StrEnum):
    """What a keeper says of a draw."""

    PAID = 'paid'
    PENDING = 'pending'  # the keeper waits for tokens and answers again
    REFUSED = 'refused'


@attrs.frozen(kw_only=True)
class Draw:
    """Asks a keeper to pay for one request, and for more if it can."""

    draw_id: str  # new for each keeper that is asked
    account: str
    tokens: int  # of the request
    spare_tokens: int  # that the next requests may need
    prepaid_tokens: int  # of the account, by the asking VM's configuration
    drawer: str  # key of the start of the VM that asks
    drawer_address: str


@attrs.frozen(kw_only=True)
class DrawAnswer:
    """Answers a draw; the tokens of a paid one belong to the drawer."""

    draw_id: str
    account: str
    state: DrawState
    drawer: str  # the only start of a VM that may take the tokens
    keeper: str  # key of the start of the VM that answers
    keeper_address: str
    tokens: int = 0
    refusal: str = ''  # code, if the draw is refused


@attrs.frozen(kw_only=True)
class TokenReturn:
    """Tokens that a VM drew and does not need."""

    return_id: str
    account: str
    tokens: int
    keeper: str  # the only start of a VM that may take them
    drawer_address: str


@attrs.frozen(kw_only=True)
class ReturnReceipt:
    """Says that returned tokens have been taken."""

    return_id: str

"""Loans of tokens between keepers of an account without the store.

A keeper that is short of tokens asks a few others, which lend their spare
tokens. A loan counts as spent by its lender and reduces the spending of the
borrower, so the rows of both stay consistent. The tokens of a lost loan are
lost; a duplicate, or a loan to an earlier incarnation, is ignored.
"""

import random
from collections.abc import Callable

import attrs
import msgspec

from teaseldale.budgets._account_rounds import VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._seen_ids import SeenIds
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers
from teaseldale.metrics import Metrics

# First byte of a datagram, which identifies the type of its content.
LOAN_REQUEST = b'q'
LOAN = b'l'
# VMs that are asked at a time; others are asked shortly after.
_VMS_PER_REQUEST = 3
# Loan ids retained for deduplication. Duplicates of a datagram arrive within a
# second.
_MAX_SEEN_LOANS = 1000


@attrs.frozen(kw_only=True)
class LoanRequest:
    """Requests a loan of tokens of an account."""

    account: str
    tokens: int
    borrower: str  # key of the requesting incarnation
    borrower_address: str
    # Lacked by the waiting requests; absent in requests of earlier builds.
    needed_tokens: int = 0


@attrs.frozen(kw_only=True)
class Loan:
    """Transfers tokens of an account to the borrower."""

    loan_id: str  # unique for each loan
    account: str
    tokens: int
    borrower: str  # the only incarnation that may accept the loan


class TokenLoans:
    """Requests, grants and accepts loans."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        keepers: AccountKeepers,
        find_shard: Callable[[str], AccountShard | None],
        metrics: Metrics,
    ) -> None:
        """Takes a function that looks up this VM's shard of an account."""
        self._holder = start.holder
        self._address = start.address
        self._keepers = keepers
        self._find_shard = find_shard
        self._metrics = metrics
        self._loan_count = 0
        self._seen_ids = SeenIds(limit=_MAX_SEEN_LOANS)
        # Addresses asked since all keepers of an account had been asked.
        self._asked: dict[str, list[str]] = {}
        self._random = random.Random(start.holder.text)  # noqa: S311
        self._send: Callable[[str, bytes], None] | None = None
        self._log = StateLog(channel='loans')

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    def request_loan(self, shard: AccountShard) -> None:
        """Asks some keepers for the tokens that the waiting requests lack."""
        held = shard.held
        others = [
            entry.address
            for entry in self._keepers.keepers_of(held.account).values()
            if entry.address != self._address
        ]
        if self._send is None or not others:
            return
        # A mark that allows less than the grant cannot be raised in time.
        short_tokens = held.waiting_tokens - shard.waiting.payable_tokens
        request = LoanRequest(
            account=held.account,
            tokens=max(short_tokens, 0) + held.demand.retained_tokens(),
            needed_tokens=max(short_tokens, 0),
            borrower=self._holder.text,
            borrower_address=self._address,
        )
        encoded = msgspec.msgpack.encode(request)
        self._metrics.increment('loans_asked')
        for address in self._next_lenders(held.account, others):
            self._send(address, LOAN_REQUEST + encoded)

    def handle_loan_request(self, content: bytes) -> None:
        """Lends spare tokens; raises ``msgspec.DecodeError``."""
        request = msgspec.msgpack.decode(content, type=LoanRequest)
        shard = self._find_shard(request.account)
        if shard is None or self._send is None:
            return
        held = shard.held
        spare_tokens = shard.spare_tokens
        if held.waiting:
            if not self._comes_first(request, shard):
                return
            spare_tokens = shard.waiting.payable_tokens
        tokens = min(request.tokens, spare_tokens)
        if tokens < request.tokens:
            # The next transaction allows the loan, and the borrower retries.
            held.lending_tokens = request.needed_tokens or request.tokens
            shard.trigger_round()
        if tokens <= 0:
            self._metrics.increment('loans_refused')
            return
        held.spent_tokens += tokens
        loan = Loan(
            loan_id=self._next_id(),
            account=request.account,
            tokens=tokens,
            borrower=request.borrower,
        )
        self._metrics.increment('loans_given')
        self._log.changed(
            'loan_given',
            account=loan.account,
            tokens=tokens,
            borrower=loan.borrower,
        )
        encoded = msgspec.msgpack.encode(loan)
        self._send(request.borrower_address, LOAN + encoded)

    def handle_loan(self, content: bytes) -> None:
        """Accepts a loan once; raises ``msgspec.DecodeError``."""
        loan = msgspec.msgpack.decode(content, type=Loan)
        shard = self._find_shard(loan.account)
        if shard is None or loan.borrower != self._holder.text:
            self._metrics.increment('loans_not_taken', 'other start')
            return
        if not self._seen_ids.add(loan.loan_id):
            self._metrics.increment('loans_not_taken', 'twice')
            return
        shard.held.spent_tokens -= loan.tokens
        self._metrics.increment('loans_taken')
        shard.waiting.serve()

    def _next_lenders(self, account: str, others: list[str]) -> list[str]:
        """Returns the keepers to ask now; all are asked in turn."""
        asked = self._asked.setdefault(account, [])
        if not set(others) - set(asked):
            asked.clear()
        left = [address for address in others if address not in asked]
        count = min(_VMS_PER_REQUEST, len(left))
        lenders = self._random.sample(left, count)
        asked.extend(lenders)
        return lenders

    def _comes_first(self, request: LoanRequest, shard: AccountShard) -> bool:
        """Whether to lend although requests wait here for tokens as well.

        Of two VMs that both lack tokens, the one that lacks fewer is served.
        """
        held = shard.held
        short_tokens = (
            held.waiting[0].most_tokens - shard.waiting.payable_tokens
        )
        if not request.needed_tokens or short_tokens <= held.free_tokens:
            return False
        own_rank = (short_tokens, self._holder.text)
        return (request.needed_tokens, request.borrower) < own_rank

    def _next_id(self) -> str:
        self._loan_count += 1
        lender = self._holder.text
        return f'{lender}/{self._loan_count}'

"""Bound on the answers that callers have not read yet."""

from teaseldale.memory import ByteBudget
from teaseldale.web import Exchange, NoRoomError


class UnsentAnswers:
    """Counts answers in the budget of held bytes until they are sent.

    When bytes are short, the budget evicts callers that read nothing.
    """

    def __init__(self, *, budget: ByteBudget) -> None:
        """Counts in ``budget``, which also counts the requests."""
        self._budget = budget

    async def admit(self, exchange: Exchange) -> None:
        """Waits until earlier answers of the connection have been sent.

        A pipelined request would otherwise hold its answer beside theirs.
        Raises ``NoRoomError`` if the budget is exhausted.
        """
        if exchange.send_buffer.is_full:
            await exchange.send_buffer.wait_until_sent()
        self.check_room(1)

    def check_room(self, size_bytes: int) -> None:
        """Raises ``NoRoomError`` if an answer does not fit.

        Only for requests that have not run, since they are refused.
        """
        if not self._budget.make_room(size_bytes, size_bytes=size_bytes):
            raise NoRoomError

    def hold_until_sent(self, exchange: Exchange, size_bytes: int) -> None:
        """Counts a complete answer that was just written.

        The request may have run, so the answer is held beyond the budget if
        evictions do not free enough.
        """
        if not exchange.send_buffer.is_full:
            return
        self._budget.make_room(size_bytes, size_bytes=size_bytes)
        holding = self._budget.hold(size_bytes)
        exchange.send_buffer.call_when_sent(holding.release)

    async def wait_until_sent(
        self, exchange: Exchange, size_bytes: int
    ) -> None:
        """Counts a part of an answer, and waits until it has been sent."""
        if not exchange.send_buffer.is_full:
            return
        self._budget.make_room(size_bytes, size_bytes=size_bytes)
        with self._budget.hold(size_bytes):
            await exchange.send_buffer.wait_until_sent()

"""Shows from log lines where the tokens of an account were, by second."""

import datetime
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from teaseldale.command._log_lines import LogLine, decode_lines
from teaseldale.command._usage import CommandFailedError

_REFUSAL_EVENT = 'reservation_refused'
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen(kw_only=True)
class AccountSecond:
    """Tokens of an account at the end of a second, over all VMs."""

    time: str  # start of the second
    prepaid: int
    closed: int  # counted as spent by starts of VMs that have ended
    free: int  # at the store
    spent: int  # by the running VMs
    reserved: int  # by requests in progress
    payable: int  # may be spent now
    withheld: int  # granted, but beyond the marks
    refusals: Mapping[str, int]  # reservations by refusal code


@attrs.define(kw_only=True)
class _AccountState:
    by_vm: dict[str, LogLine] = attrs.field(factory=dict)
    newest: LogLine | None = None
    refusals: Counter[str] = attrs.field(factory=Counter)

    def apply(self, line: LogLine, account: str) -> None:
        if line.event == 'started':
            self.by_vm.pop(line.vm, None)
        elif line.account == account and line.event == 'account_tokens':
            self.by_vm[line.vm] = line
            self.newest = line
        elif line.account == account and line.event == _REFUSAL_EVENT:
            self.refusals[str(line.fields.get('code'))] += 1

    def take_second(self, time: datetime.datetime) -> AccountSecond | None:
        """Returns the counts; None before the first line of the account."""
        if self.newest is None:
            return None
        refusals = dict(self.refusals)
        self.refusals.clear()
        limit = self._sum('limit_tokens')
        reserved = self._sum('reserved_tokens')
        spent = self._sum('spent_tokens')
        return AccountSecond(
            time=time.isoformat(timespec='seconds'),
            prepaid=_number(self.newest, 'prepaid_tokens'),
            closed=_number(self.newest, 'closed_tokens'),
            free=_number(self.newest, 'free_tokens'),
            spent=spent,
            reserved=reserved,
            payable=limit - spent - reserved,
            withheld=self._sum('granted_tokens') - limit,
            refusals=refusals,
        )

    def _sum(self, name: str) -> int:
        return sum(_number(line, name) for line in self.by_vm.values())


def account_seconds(
    account: str,
    raw_lines: Iterable[str],
) -> tuple[AccountSecond, ...]:
    """Returns the seconds with log lines of an account, in order.

    Raises ``CommandFailedError`` if there are none.
    """
    lines = sorted(decode_lines(raw_lines), key=lambda line: line.time)
    found = tuple(_seconds_of(account, lines))
    if not found:
        raise CommandFailedError(f'no tokens logged for account {account!r}')
    return found


def _seconds_of(
    account: str,
    lines: Iterable[LogLine],
) -> Iterator[AccountSecond]:
    state = _AccountState()
    second: datetime.datetime | None = None
    is_changed = False
    for line in lines:
        start = line.time.replace(microsecond=0)
        if second is not None and start >= second + _SECOND and is_changed:
            counts = state.take_second(second)
            is_changed = False
            if counts is not None:
                yield counts
        second = start
        state.apply(line, account)
        is_changed = is_changed or line.account == account
    last = None if second is None else state.take_second(second)
    if last is not None and is_changed:
        yield last


def _number(line: LogLine, name: str) -> int:
    number = line.fields.get(name)
    return number if isinstance(number, int) else 0

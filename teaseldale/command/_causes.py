"""Determines from log lines why requests failed."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from teaseldale.command._log_lines import LogLine, decode_lines

_FIRST_FAILURE_STATUS = 400
_UNKNOWN = 'unknown'
_DRAW_REFUSED = 'draw_refused'


@attrs.frozen(kw_only=True)
class FailedRequest:
    """Request that was refused, failed or cut off, with the cause."""

    request_id: str
    vm: str
    failure: str  # refusal code, status or reason of the cut-off
    cause: str  # "unknown" if the log lines do not show it


@attrs.frozen(kw_only=True)
class FailureReport:
    """Failed requests in a set of log lines."""

    failed: tuple[FailedRequest, ...]
    request_count: int

    @property
    def unexplained(self) -> tuple[FailedRequest, ...]:
        """Failed requests whose cause is unknown."""
        return tuple(
            request for request in self.failed if request.cause == _UNKNOWN
        )

    def document(self) -> dict[str, object]:
        """Returns the report with counts per failure and cause.

        The most frequent ones come first.
        """
        counts = Counter(
            (request.failure, request.cause) for request in self.failed
        )
        return {
            'requests': self.request_count,
            'failed': len(self.failed),
            'unexplained': [request.request_id for request in self.unexplained],
            'causes': [
                {'ending': failure, 'cause': cause, 'count': count}
                for (failure, cause), count in counts.most_common()
            ],
        }


@attrs.define(kw_only=True)
class _VmState:
    """State of a VM according to its log lines so far."""

    # Accounts for which the store is unavailable. The empty string stands for
    # all accounts, as logged by earlier releases.
    lost_accounts: set[str] = attrs.field(factory=set)
    # Latest line of a refused reservation or draw, by account.
    refused: dict[str, LogLine] = attrs.field(factory=dict)

    def is_store_lost(self, line: LogLine) -> bool:
        """Returns whether the store is unavailable for the line's account."""
        return not self.lost_accounts.isdisjoint((line.account, ''))

    def apply(self, line: LogLine) -> None:
        account = line.account
        if line.event == 'grants_store_lost':
            self.lost_accounts.add(account)
        elif line.event == 'grants_store_regained':
            self.lost_accounts.discard(account)
        elif line.event == 'started':
            self.lost_accounts.clear()
        elif line.event in {'reservation_refused', _DRAW_REFUSED}:
            self.refused[account] = line


def find_causes(raw_lines: Iterable[str]) -> FailureReport:
    """Returns the failed requests in the log lines of all VMs."""
    states: dict[str, _VmState] = {}
    failed: list[FailedRequest] = []
    request_count = 0
    for line in sorted(
        decode_lines(raw_lines), key=lambda log_line: log_line.time
    ):
        state = states.setdefault(line.vm, _VmState())
        state.apply(line)
        if not line.event.startswith('request_'):
            continue
        request_count += 1
        failure = _failure_of(line)
        if failure:
            failed.append(
                FailedRequest(
                    request_id=str(line.fields.get('request', '')),
                    vm=line.vm,
                    failure=failure,
                    cause=_cause_of(failure, line, state),
                ),
            )
    return FailureReport(failed=tuple(failed), request_count=request_count)


def _failure_of(line: LogLine) -> str:
    """Returns how a request failed; an empty string if it succeeded."""
    for name in ('refusal', 'cut'):
        reason = line.fields.get(name)
        if reason:
            return str(reason)
    status = line.fields.get('status')
    if isinstance(status, int) and status >= _FIRST_FAILURE_STATUS:
        return f'status {status}'
    return ''


def _cause_of(failure: str, line: LogLine, state: _VmState) -> str:
    if failure.startswith('status '):
        status = failure.removeprefix('status ')
        return f'the runner answered {status}'
    explain = _EXPLANATIONS.get(failure)
    return _UNKNOWN if explain is None else explain(line, state)


def _explain_by_text(line: LogLine, _state: _VmState) -> str:
    return str(line.fields.get('text') or _UNKNOWN)


def _explain_by_reasons(line: LogLine, _state: _VmState) -> str:
    """Returns the errors of all attempts, without the runners' names."""
    reasons = line.fields.get('reasons')
    if not isinstance(reasons, list) or not reasons:
        return _UNKNOWN
    kinds = [str(reason).rpartition(': ')[2] for reason in reasons]
    return ', then '.join(kinds)


def _explain_no_upstream(line: LogLine, state: _VmState) -> str:
    reasons = _explain_by_reasons(line, state)
    if reasons != _UNKNOWN:
        return reasons
    service = line.fields.get('service')
    return f'no runner of {service} was usable'


def _explain_deadline(line: LogLine, state: _VmState) -> str:
    reasons = _explain_by_reasons(line, state)
    if reasons != _UNKNOWN:
        return f'{reasons}, then silence'
    if line.fields.get('runners'):
        return 'the runner was silent until the time was over'
    if state.is_store_lost(line):
        return 'waited for tokens while the store was away'
    # Before it is sent to a runner, a request only waits for tokens.
    return 'waited for tokens until its time was over'


def _explain_budget(line: LogLine, state: _VmState) -> str:
    refused = state.refused.get(line.account)
    if refused is None:
        return _UNKNOWN
    if refused.event == _DRAW_REFUSED:
        return _explain_draw(refused)
    if state.is_store_lost(line):
        return 'the store did not answer, and what the VM held was used'
    if _token_field(refused, 'limit') < _token_field(refused, 'granted'):
        return 'the VM was bound by its mark'
    if refused.fields.get('code') == 'budget_exhausted':
        return 'the account is used up'
    return 'other VMs held the last tokens of the account'


def _explain_draw(refused: LogLine) -> str:
    if refused.fields.get('code') == 'budget_exhausted':
        return 'the account is used up'
    if refused.fields.get('code') == 'budget_held':
        return 'other VMs held the last tokens of the account'
    if refused.fields.get('silent_keepers'):
        return 'keepers of the account did not answer'
    return 'no keeper of the account could pay in time'


def _token_field(line: LogLine, name: str) -> int:
    amount = line.fields.get(f'{name}_tokens')
    return amount if isinstance(amount, int) else 0


def _explain_time_over(line: LogLine, state: _VmState) -> str:
    return 'the answer was under way as the time of the request ended'


def _explain_caller_left(line: LogLine, state: _VmState) -> str:
    return 'the caller closed its connection'


def _explain_vm_ended(line: LogLine, state: _VmState) -> str:
    return 'the VM had to end before the answer'


_EXPLANATIONS: Mapping[str, Callable[[LogLine, _VmState], str]] = {
    'unauthorized': _explain_by_text,
    'unknown_route': _explain_by_text,
    'bad_request': _explain_by_text,
    'body_too_large': _explain_by_text,
    'head_too_large': _explain_by_text,
    'request_too_slow': _explain_by_text,
    'not_ready': _explain_by_text,
    'budget_exhausted': _explain_budget,
    'budget_held': _explain_budget,
    'budget_unavailable': _explain_budget,
    'no_upstream': _explain_no_upstream,
    'upstream_broke_off': _explain_by_reasons,
    'runner_broke_off': _explain_by_reasons,
    'deadline_exceeded': _explain_deadline,
    'time_over': _explain_time_over,
    'caller_left': _explain_caller_left,
    'vm_ended': _explain_vm_ended,
}

"""Headers of requests and responses on the platform."""

import math
import re
from urllib.parse import unquote

from teaseldale.forwarding import (
    Announcement,
    BaseWireFormat,
    ClientRequest,
    Dispatch,
    ForwardingRunner,
    RunnerLoad,
    RunnerReply,
    TokenUsage,
)
from teaseldale.outcomes import Refusal
from teaseldale.platform._health_inquiry import HealthInquiry
from teaseldale.routing import SharedPart
from teaseldale.upstreams import BaseProcessInquiry, WireHeaders, header_of

_REQUEST_ID = b'x-request-id'
_LAST_EVENT_ID = b'last-event-id'
_DEADLINE_MS = b'x-deadline-ms'
_PRIORITY = b'x-request-priority'
_ACCOUNT = b'x-tenant'
_EXPECTED_RUNNER = b'x-expect-instance'
_FETCH_FROM = b'kv-fetch'
_NOT_EXECUTED = b'x-not-executed'
_LIMIT = b'server-limit'  # of the sending runner, for all VMs together
_LEAVING = b'server-leaving'  # of the sending runner
# Rejections per second that the sending runner survives.
_BRITTLE = b'server-brittle'
# With a 503, the time in seconds for which the runner takes no request from
# the VM that gets the answer.
_RETRY_AFTER = b'retry-after'
_IS_SET = '1'
_ENCODED_SLASH = '%2F'
_AUTHORIZATION = b'authorization'
_BEARER_PREFIX = b'bearer '
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_FIRST_ERROR_STATUS = 400
_HIGHEST_PRIORITY, _LOWEST_PRIORITY = 0, 9
_MS_PER_SECOND = 1000
_INSTANCE_LOAD = b'x-instance-load'
_LOAD_COUNTS = 3  # running, waiting and slots, at the start of a load report
_USUAL_PERCENT = 100
_INTEGER = re.compile('[0-9]{1,18}')
_QUOTED_LENGTH = 40  # of a wrong value in an error

# Hop-by-hop headers, removed in both directions.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Headers that only the fleet may set; those of callers are not forwarded.
_FLEET_HEADERS = frozenset(
    (
        _ACCOUNT,
        _AUTHORIZATION,
        _DEADLINE_MS,
        _EXPECTED_RUNNER,
        _LAST_EVENT_ID,
        _PRIORITY,
        b'expect',
        _FETCH_FROM,
        b'kv-from',
        b'x-expect-version',
        b'x-kv-backup',
        b'x-kv-hold',
        b'x-pin-ms',
    )
)


class PlatformWireFormat(BaseWireFormat):
    """Decodes and encodes the headers of the platform's HTTP traffic."""

    def read_request(
        self,
        *,
        method: str,
        target: bytes,
        headers: WireHeaders,
    ) -> ClientRequest:
        """Decodes a caller's request; raises ``ValueError`` if malformed."""
        request_id = _header_text(headers, _REQUEST_ID)
        if not request_id:
            raise ValueError('there is no request id')
        deadline = _header_text(headers, _DEADLINE_MS)
        last_event_id = _header_text(headers, _LAST_EVENT_ID)
        return ClientRequest(
            request_id=request_id,
            method=method,
            target=target,
            path=_path_of(target),
            host=_header_text(headers, b'host'),
            headers=headers,
            key=_key_of(headers),
            deadline_ms=_duration_of(deadline) if deadline else None,
            usage=_usage_of(_header_text(headers, b'x-token-usage')),
            prompt_parts=_parts_of(_header_text(headers, b'x-prompt-prefix')),
            last_event_id=_integer_of(last_event_id) if last_event_id else None,
        )

    def runner_headers(
        self,
        request: ClientRequest,
        dispatch: Dispatch,
    ) -> WireHeaders:
        """Returns the headers of the request that is sent to a runner."""
        dropped = (
            _HOP_BY_HOP_HEADERS
            | _FLEET_HEADERS
            | _hop_by_hop_names(request.headers)
        )
        added = [
            (_DEADLINE_MS, _encode_number(dispatch.left_ms)),
            (_EXPECTED_RUNNER, dispatch.runner.runner_id.encode()),
        ]
        if dispatch.account is not None:
            added.append((_ACCOUNT, dispatch.account.encode()))
        if dispatch.priority is not None:
            bounded = max(
                _HIGHEST_PRIORITY, min(dispatch.priority, _LOWEST_PRIORITY)
            )
            added.append((_PRIORITY, _encode_number(bounded)))
        if dispatch.last_event_id is not None:
            added.append(
                (_LAST_EVENT_ID, _encode_number(dispatch.last_event_id))
            )
        if dispatch.fetch_from is not None:
            added.append((_FETCH_FROM, str(dispatch.fetch_from).encode()))
        kept = [
            header for header in request.headers if header[0] not in dropped
        ]
        return (*kept, *added)

    def answers(
        self,
        request: ClientRequest,
        status: int,
        headers: WireHeaders,
    ) -> bool:
        """Whether the runner echoes the request's id.

        An error response without an id counts as the request's own, because
        the runner may have failed before it read the id.
        """
        echoed = header_of(headers, _REQUEST_ID)
        if echoed is None:
            return status >= _FIRST_ERROR_STATUS
        return echoed == request.request_id.encode()

    def names_request(self, headers: WireHeaders) -> bool:
        """Returns whether the runner echoes the id of a request."""
        return header_of(headers, _REQUEST_ID) is not None

    def read_reply(self, status: int, headers: WireHeaders) -> RunnerReply:
        """Decodes the status and headers of a runner's response."""
        is_not_run = header_of(headers, _NOT_EXECUTED) is not None
        load_text = _header_text(headers, _INSTANCE_LOAD)
        load = _load_of(load_text)
        return RunnerReply(
            status=status,
            is_not_run=is_not_run or status == _STATUS_MISDIRECTED,
            is_misdirected=status == _STATUS_MISDIRECTED,
            load=load,
            is_load_unreadable=bool(load_text) and load is None,
            announcement=Announcement(
                limit_per_s=_non_negative_of(_header_text(headers, _LIMIT)),
                is_leaving=_header_text(headers, _LEAVING).strip() == _IS_SET,
                pause_ms=_pause_of(status, headers),
                tolerated_rejections=_count_of(headers, _BRITTLE),
            ),
        )

    def inquiry(
        self,
        runner: ForwardingRunner,
        health_path: str,
    ) -> BaseProcessInquiry:
        """Returns a health check."""
        return HealthInquiry(runner=runner, health_path=health_path)

    def caller_headers(self, headers: WireHeaders) -> WireHeaders:
        """Returns a runner's headers without the hop-by-hop headers."""
        dropped = _HOP_BY_HOP_HEADERS | _hop_by_hop_names(headers)
        return tuple(header for header in headers if header[0] not in dropped)

    def refusal_headers(
        self,
        request: ClientRequest | None,
        refusal: Refusal,
    ) -> WireHeaders:
        """Returns the headers of a refusal that the VM itself sends."""
        headers = [(b'content-type', b'application/json')]
        if request is not None:
            headers.append((_REQUEST_ID, request.request_id.encode()))
        if refusal.retry_after_ms is not None:
            seconds = refusal.retry_after_ms / _MS_PER_SECOND
            headers.append((_RETRY_AFTER, f'{seconds:.3f}'.encode()))
        return tuple(headers)


def _header_text(headers: WireHeaders, name: bytes) -> str:
    return (header_of(headers, name) or b'').decode('latin-1')


def _encode_number(number: int) -> bytes:
    return str(number).encode()


def _path_of(target: bytes) -> str:
    """Returns the decoded path, in which an encoded slash ends no segment."""
    raw_path = target.partition(b'?')[0].decode('latin-1')
    segments = map(unquote, raw_path.split('/'))
    return '/'.join(
        segment.replace('/', _ENCODED_SLASH) for segment in segments
    )


def _key_of(headers: WireHeaders) -> str | None:
    authorization = header_of(headers, _AUTHORIZATION)
    if authorization is None or not authorization.lower().startswith(
        _BEARER_PREFIX
    ):
        return None
    return authorization[len(_BEARER_PREFIX) :].strip().decode('latin-1')


def _usage_of(text: str) -> TokenUsage | None:
    if not text:
        return None
    prompt, _, output = text.partition(',')
    return TokenUsage(
        prompt_tokens=_integer_of(prompt),
        output_limit_tokens=_integer_of(output or '0'),
    )


def _parts_of(text: str) -> tuple[SharedPart, ...]:
    parts = []
    for entry in filter(None, text.split(',')):
        part_id, _, count = entry.partition(':')
        parts.append(
            SharedPart(
                part_id=part_id.strip(),
                token_count=_integer_of(count),
            ),
        )
    return tuple(parts)


def _load_of(text: str) -> RunnerLoad | None:
    """Returns the reported load; figures that this build knows not are ignored.

    A slowdown that cannot be read does not spoil the counts before it.
    """
    figures = text.split(',')
    try:
        running, waiting, slots = map(_integer_of, figures[:_LOAD_COUNTS])
    except ValueError:
        return None
    slowdown_percent = ''.join(figures[_LOAD_COUNTS : _LOAD_COUNTS + 1])
    return RunnerLoad(
        running_count=running,
        waiting_count=waiting,
        slot_count=slots,
        slowdown=_slowdown_of(slowdown_percent),
    )


def _slowdown_of(percent: str) -> float | None:
    """Returns how many times longer than usual work takes, or None."""
    try:
        usual_percent = _integer_of(percent)
    except ValueError:
        return None
    return usual_percent / _USUAL_PERCENT or None


def _non_negative_of(text: str) -> float | None:
    """Returns a finite number that is not negative, or None."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    is_usable = math.isfinite(limit_per_s) and limit_per_s >= 0
    return limit_per_s if is_usable else None


def _pause_of(status: int, headers: WireHeaders) -> float | None:
    """Returns the pause that a runner asks for, or None.

    A date is not a pause: the clocks of runners and VMs differ by seconds.
    """
    if status != _STATUS_UNAVAILABLE:
        return None
    seconds = _non_negative_of(_header_text(headers, _RETRY_AFTER))
    return seconds * _MS_PER_SECOND if seconds else None


def _count_of(headers: WireHeaders, name: bytes) -> int | None:
    try:
        return _integer_of(_header_text(headers, name))
    except ValueError:
        return None


def _integer_of(text: str) -> int:
    """Raises ``ValueError`` unless the text is digits without a sign."""
    digits = text.strip()
    if _INTEGER.fullmatch(digits) is None:
        quoted = digits[:_QUOTED_LENGTH]
        raise ValueError(f'{quoted} is not a count')
    return int(digits)


def _duration_of(text: str) -> float:
    """Raises ``ValueError`` for a number below 0, and for nan and inf."""
    duration = _non_negative_of(text)
    if duration is None:
        quoted = text[:_QUOTED_LENGTH]
        raise ValueError(f'{quoted} is not a duration')
    return duration


def _hop_by_hop_names(headers: WireHeaders) -> frozenset[bytes]:
    """Returns the hop-by-hop headers named by the connection header."""
    connection_header = header_of(headers, b'connection') or b''
    return frozenset(
        token.strip().lower()
        for token in connection_header.split(b',')
        if token.strip()
    )

"""Refusals returned to callers and operators."""

import enum
from dataclasses import dataclass

from teaseldale.outcomes._step import Step


@enum.unique
class RefusalCode(enum.StrEnum):
    """Machine-readable reason of a refusal; metrics count by code."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEAD_TOO_LARGE = 'head_too_large'
    REQUEST_TOO_SLOW = 'request_too_slow'
    UNAUTHORIZED = 'unauthorized'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    BUDGET_HELD = 'budget_held'
    BUDGET_UNAVAILABLE = 'budget_unavailable'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_REUSED = 'key_reused'
    IN_DOUBT = 'in_doubt'
    REQUEST_RUNNING = 'request_running'
    OVERLOADED = 'overloaded'
    RUNNERS_FULL = 'runners_full'
    MEMORY_FULL = 'memory_full'
    LINK_FULL = 'link_full'
    QUARANTINED = 'quarantined'
    CRASHES_RUNNERS = 'crashes_runners'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_BROKE_OFF = 'upstream_broke_off'
    NOT_READY = 'not_ready'
    STORE_UNAVAILABLE = 'store_unavailable'
    DRAINING = 'draining'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    CONFLICT = 'conflict'
    INTERNAL_ERROR = 'internal_error'


_STATUS_BY_CODE = {  # noqa: WPS407
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.HEAD_TOO_LARGE: 431,
    RefusalCode.REQUEST_TOO_SLOW: 408,
    RefusalCode.UNAUTHORIZED: 401,
    RefusalCode.BUDGET_EXHAUSTED: 402,
    RefusalCode.BUDGET_HELD: 429,
    RefusalCode.BUDGET_UNAVAILABLE: 503,
    RefusalCode.UNKNOWN_ROUTE: 404,
    RefusalCode.KEY_REUSED: 409,
    RefusalCode.IN_DOUBT: 409,
    RefusalCode.REQUEST_RUNNING: 409,
    RefusalCode.OVERLOADED: 429,
    RefusalCode.RUNNERS_FULL: 503,
    RefusalCode.MEMORY_FULL: 503,
    RefusalCode.LINK_FULL: 503,
    RefusalCode.QUARANTINED: 409,
    RefusalCode.CRASHES_RUNNERS: 503,
    RefusalCode.NO_UPSTREAM: 503,
    RefusalCode.UPSTREAM_FAILED: 503,
    RefusalCode.UPSTREAM_BROKE_OFF: 502,
    RefusalCode.NOT_READY: 503,
    RefusalCode.STORE_UNAVAILABLE: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.CONFLICT: 409,
    RefusalCode.INTERNAL_ERROR: 500,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Final response to a request that was not or may not be executed."""

    code: RefusalCode  # machine-readable reason
    message: str  # human-readable reason and remedy
    not_run: bool  # true only if no upstream ran the request
    step: Step  # step at which the request was refused
    peer: str = 'local'  # VM, upstream or platform at fault
    retry_after_ms: int | None = None  # earliest useful retry

    @property
    def status(self) -> int:
        """HTTP status that corresponds to the code."""
        return _STATUS_BY_CODE[self.code]

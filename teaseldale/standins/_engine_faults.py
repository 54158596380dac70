"""Pace and injected faults of the engine stand-in (``POST /faults``)."""

import attrs


@attrs.frozen(kw_only=True)
class EngineFaults:
    """Current pace and faults."""

    token_interval_ms: float = 20
    tokens_per_event: int = 1  # tokens sent in one event
    first_token_ms: int = 50  # if the whole prompt is cached
    prefill_ms_per_block: float = 0  # for each uncached block
    fail_percent: int = 0  # % of requests that fail after their first token
    fail_above_running: int = 0  # they fail only above this concurrency
    reject_status: int = 0  # reject all requests with this HTTP status
    refuse: bool = False  # refuse all requests before they run
    hang: bool = False  # streams stall after their first token
    paused: bool = False  # all runs are suspended
    silent_connections: bool = False  # no request gets a response
    wrong_answers: bool = False  # events have the id of another request
    overrun_tokens: int = 0  # tokens sent beyond the requested limit
    crash_word: str = ''  # a prompt with this word crashes the engine
    load_lag_ms: int = 0  # delay of load reports
    cache_event_lag_ms: int = 0  # delay of cache events
    cache_event_loss_percent: int = 0  # percent of cache events lost

"""Pace and faults of the engine stand-in, set by ``POST /faults``."""

import attrs


@attrs.frozen(kw_only=True)
class EngineFaults:
    """Pace and faults switched on now."""

    token_interval_ms: float = 20
    tokens_per_event: int = 1  # tokens that are sent together
    first_token_ms: int = 50  # with the whole prompt in the cache
    prefill_ms_per_block: float = 0  # for each block not in the cache
    fail_percent: int = 0  # requests that fail after their first token
    fail_above_running: int = 0  # they fail only above so many at once
    reject_status: int = 0  # refuse every request with this HTTP status
    refuse: bool = False  # every request is refused before it runs
    hang: bool = False  # streams go silent after their first token
    paused: bool = False  # no run makes progress
    silent_connections: bool = False  # nothing at all is answered
    wrong_answers: bool = False  # events carry another request's id
    overrun_tokens: int = 0  # tokens sent beyond the limit asked for
    crash_word: str = ''  # a prompt with this word breaks all streams
    load_lag_ms: int = 0  # age of load reports
    cache_event_lag_ms: int = 0  # age of the newest cache event shown
    cache_event_loss_percent: int = 0  # cache events that are never shown

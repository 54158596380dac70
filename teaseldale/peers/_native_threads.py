"""Limits on the native threads of the NNG messaging library."""

import pynng

_TASK_THREADS = 2
_SINGLE_THREAD = 1
_LIMITS = (
    (pynng.lib.NNG_INIT_NUM_TASK_THREADS, _TASK_THREADS),
    (pynng.lib.NNG_INIT_MAX_TASK_THREADS, _TASK_THREADS),
    (pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS, _SINGLE_THREAD),
    (pynng.lib.NNG_INIT_MAX_EXPIRE_THREADS, _SINGLE_THREAD),
    (pynng.lib.NNG_INIT_NUM_POLLER_THREADS, _SINGLE_THREAD),
    (pynng.lib.NNG_INIT_MAX_POLLER_THREADS, _SINGLE_THREAD),
    (pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, _SINGLE_THREAD),
)


def limit_native_threads() -> None:
    """Applies the limits; has no effect once a socket has been opened."""
    for parameter, count in _LIMITS:
        pynng.lib.nng_init_set_parameter(parameter, count)

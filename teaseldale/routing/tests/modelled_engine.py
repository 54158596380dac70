"""Model of runners that prefill prompts between the tokens of streams."""

import math
import random

_PREFILL_TOKENS_PER_MS = 64
_MS_PER_MILLION_PAIRS = 0.3  # quadratic part of the prefill time
_STREAM_MS = 1200
_STALL_MS = 400


def prefill_ms(tokens):
    """Returns the time that a runner needs to prefill a prompt."""
    pairs = tokens * tokens / 1_000_000
    return tokens / _PREFILL_TOKENS_PER_MS + pairs * _MS_PER_MILLION_PAIRS


class ModelledRunner:
    """Prefills prompts in order, which pauses all running streams."""

    def __init__(self):
        self.free_ms = 0.0
        self.stall_start_ms = 0.0
        self.streams = []  # end time and stall flag of each stream

    def add(self, now_ms, tokens):
        """Adds a request and returns the start time of its stream."""
        if self.free_ms < now_ms:
            self.stall_start_ms = now_ms
            self.free_ms = now_ms
        self.free_ms += prefill_ms(tokens)
        if self.free_ms - self.stall_start_ms > _STALL_MS:
            for stream in self.streams:
                if stream['ends_ms'] > self.stall_start_ms:
                    stream['is_stalled'] = True
        self.streams.append(
            {'ends_ms': self.free_ms + _STREAM_MS, 'is_stalled': False}
        )
        return self.free_ms

    def running(self, now_ms):
        """Returns the number of streams that have not ended."""
        return sum(stream['ends_ms'] > now_ms for stream in self.streams)


def uneven_arrivals(duration_ms, seed):
    """Yields arrival times and prompt tokens, with a few very long prompts."""
    rng = random.Random(seed)
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(30 / 1000)
        tokens = 700
        if rng.random() < 0.15:
            tokens = int(rng.lognormvariate(math.log(8000), 0.75))
        yield now_ms, tokens


def arrivals(duration_ms, seed):
    """Yields arrival times and prompt tokens, with a few long prompts."""
    rng = random.Random(seed)
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(45 / 1000)
        tokens = 700
        if rng.random() < 0.15:
            tokens = 6000 + int(rng.expovariate(1 / 4000))
        yield now_ms, tokens

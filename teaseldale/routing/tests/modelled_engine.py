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


class PacedRunner:
    """Reads prompts in order at its own pace, more slowly beyond its knee."""

    def __init__(self, *, tokens_per_ms, slots, knee):
        self.tokens_per_ms = tokens_per_ms
        self.slots = slots
        self.knee = knee
        self.free_ms = 0.0  # end of the last prompt that has been placed
        self.ends_ms = []  # end of each stream
        self.request_count = 0

    @property
    def duration(self):
        """Returns the time for one prompt token in ms."""
        return 1 / self.tokens_per_ms

    @duration.setter
    def duration(self, duration):
        self.tokens_per_ms = 1 / duration

    def first_event_at(self, now_ms, tokens):
        """Returns when a prompt that is placed now would be read."""
        stretch = max(1, (self.in_work(now_ms) + 1) / self.knee)
        started_ms = max(now_ms, self.free_ms)
        return started_ms + tokens / self.tokens_per_ms * stretch

    def add(self, now_ms, tokens):
        """Adds a request and returns the time of its first event."""
        self.free_ms = self.first_event_at(now_ms, tokens)
        self.ends_ms.append(self.free_ms + _STREAM_MS)
        self.request_count += 1
        return self.free_ms

    def in_work(self, now_ms):
        """Returns the number of requests that have not ended."""
        self.ends_ms = [end_ms for end_ms in self.ends_ms if end_ms > now_ms]
        return len(self.ends_ms)


class PlainRunner:
    """Answers plain requests, more slowly when all slots are taken."""

    def __init__(self, *, plain_ms, slots):
        self.duration = plain_ms
        self.knee = slots
        self.ends_ms = []  # end of each request
        self.request_count = 0

    def first_event_at(self, now_ms, tokens):
        """Returns when a request that is placed now would be answered."""
        stretch = max(1, (self.in_work(now_ms) + 1) / self.knee)
        return now_ms + self.duration * stretch

    def add(self, now_ms, tokens):
        """Adds a request and returns the time of its answer."""
        end_ms = self.first_event_at(now_ms, tokens)
        self.ends_ms.append(end_ms)
        self.request_count += 1
        return end_ms

    def in_work(self, now_ms):
        """Returns the number of requests that have not ended."""
        self.ends_ms = [end_ms for end_ms in self.ends_ms if end_ms > now_ms]
        return len(self.ends_ms)


def steady_arrivals(duration_ms, seed, per_second):
    """Yields arrival times and prompt tokens of a constant mean rate."""
    rng = random.Random(seed)
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(per_second / 1000)
        yield now_ms, int(rng.lognormvariate(math.log(2500), 0.7))

"""Compact encoding of what a VM has observed about the paces of runners."""

import math
import struct
from collections.abc import Iterable

import attrs

_HEAD = struct.Struct('>IIB')  # runner code, incarnation code, flags
_HAS_PREFILL = 1
_HAS_PLAIN = 2
_HAS_SLOWDOWN = 4
_WORK_BYTES = 3  # both durations and the age
_SLOWDOWN_BYTES = 2
MAX_OBSERVATION_BYTES = _HEAD.size + 2 * _WORK_BYTES + _SLOWDOWN_BYTES
_MAX_CODE = 255
_INCARNATION_BITS = 32


@attrs.frozen(kw_only=True)
class _LogScale:
    """One byte for a positive number, with a constant relative error."""

    least: float
    step: float

    def encode(self, value: float) -> int:
        code = round(math.log(max(value, self.least) / self.least) / self.step)
        return min(code, _MAX_CODE)

    def decode(self, code: int) -> float:
        return self.least * math.exp(code * self.step)


_PREFILL = _LogScale(least=1e-4, step=0.05)  # ms per token, up to 34
_PLAIN = _LogScale(least=0.1, step=0.05)  # ms, up to 34 s
_SLOWDOWN = _LogScale(least=0.1, step=0.02)  # up to 16
_AGE = _LogScale(least=1, step=0.05)  # ms, up to 344 s


@attrs.frozen(kw_only=True)
class ObservedWork:
    """Mean duration of some samples of one VM, below the knee."""

    measured: float  # ms, or ms per token
    usual: float  # the same divided by the reported slowdown
    age_ms: float  # of the latest sample


@attrs.frozen(kw_only=True)
class ObservedSlowdown:
    """Reported slowdown as filtered by one VM."""

    slowdown: float
    age_ms: float  # of the latest report


@attrs.frozen(kw_only=True)
class PaceObservation:
    """What one VM has observed itself about a runner."""

    runner_code: int
    incarnation_code: int
    prefill: ObservedWork | None = None  # ms per token
    plain: ObservedWork | None = None  # ms
    slowdown: ObservedSlowdown | None = None

    @property
    def has_figures(self) -> bool:
        """Returns whether anything was observed."""
        figures = (self.prefill, self.plain, self.slowdown)
        return any(figure is not None for figure in figures)

    @property
    def size_bytes(self) -> int:
        """Returns the encoded size."""
        work_count = sum(
            work is not None for work in (self.prefill, self.plain)
        )
        size_bytes = _HEAD.size + work_count * _WORK_BYTES
        if self.slowdown is not None:
            size_bytes += _SLOWDOWN_BYTES
        return size_bytes


def incarnation_code(started_wall_ms: int | None) -> int:
    """Returns the short name of an incarnation; 0 if it is unknown."""
    return (started_wall_ms or 0) % (1 << _INCARNATION_BITS)


def is_later_incarnation(code: int, other_code: int) -> bool:
    """Compares codes whose incarnations are less than 24 days apart."""
    distance = (code - other_code) % (1 << _INCARNATION_BITS)
    return 0 < distance < 1 << (_INCARNATION_BITS - 1)


def encode_observations(observations: Iterable[PaceObservation]) -> bytes:
    """Encodes observations; values beyond the scales are bounded."""
    return b''.join(map(_encode, observations))


def decode_observations(content: bytes) -> tuple[PaceObservation, ...]:
    """Returns the observations up to the first incomplete one."""
    found: list[PaceObservation] = []
    left = content
    while len(left) >= _HEAD.size:
        observation = _decode(left)
        if observation is None:
            break
        found.append(observation)
        left = left[observation.size_bytes :]
    return tuple(found)


def _encode(observation: PaceObservation) -> bytes:
    flags = 0
    figures: list[int] = []
    for flag, scale, work in (
        (_HAS_PREFILL, _PREFILL, observation.prefill),
        (_HAS_PLAIN, _PLAIN, observation.plain),
    ):
        if work is not None:
            flags |= flag
            figures += (
                scale.encode(work.measured),
                scale.encode(work.usual),
                _AGE.encode(work.age_ms),
            )
    if observation.slowdown is not None:
        flags |= _HAS_SLOWDOWN
        figures += (
            _SLOWDOWN.encode(observation.slowdown.slowdown),
            _AGE.encode(observation.slowdown.age_ms),
        )
    head = _HEAD.pack(
        observation.runner_code,
        observation.incarnation_code,
        flags,
    )
    return head + bytes(figures)


def _decode(content: bytes) -> PaceObservation | None:
    """Returns the first observation, or None if it is incomplete."""
    code, incarnation, flags = _HEAD.unpack_from(content)
    figures = content[_HEAD.size :]
    works: list[ObservedWork | None] = []
    for flag, scale in ((_HAS_PREFILL, _PREFILL), (_HAS_PLAIN, _PLAIN)):
        if not flags & flag:
            works.append(None)
            continue
        if len(figures) < _WORK_BYTES:
            return None
        works.append(
            ObservedWork(
                measured=scale.decode(figures[0]),
                usual=scale.decode(figures[1]),
                age_ms=_AGE.decode(figures[2]),
            ),
        )
        figures = figures[_WORK_BYTES:]
    slowdown = None
    if flags & _HAS_SLOWDOWN:
        if len(figures) < _SLOWDOWN_BYTES:
            return None
        slowdown = ObservedSlowdown(
            slowdown=_SLOWDOWN.decode(figures[0]),
            age_ms=_AGE.decode(figures[1]),
        )
    return PaceObservation(
        runner_code=code,
        incarnation_code=incarnation,
        prefill=works[0],
        plain=works[1],
        slowdown=slowdown,
    )

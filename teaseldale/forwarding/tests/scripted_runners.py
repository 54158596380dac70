"""Test doubles of runner connections with scripted answers."""

import anyio

from teaseldale.outcomes import Step
from teaseldale.platform.tests.wire_names import NOT_RUN, STAMP
from teaseldale.upstreams import (
    BodyFraming,
    EndFinding,
    FailureKind,
    UpstreamError,
)

# Headers of answers whose kind is named by them.
_HEADERS = {
    'encoded': (b'content-encoding', b'gzip'),
    'json': (b'content-type', b'application/json'),
}
_ENDLESS_EVENT = [b'data: ' * 4096] * 40  # 960 KB without a separator


def events(first, last):
    """Returns the encoded events ``first`` to ``last``."""
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def span(text):
    """Parses a range such as ``4-5``; a single number is its own end."""
    first, _, last = text.partition('-')
    return int(first), int(last or first)


def failure(kind):
    """Returns a connection error of a ``FailureKind``."""
    return UpstreamError(
        step=Step.DISPATCH,
        peer='runner',
        reason='scripted',
        may_have_run=kind is not FailureKind.REFUSED,
        kind=kind,
    )


class ScriptedAnswer:
    """A scripted runner answer: its head and its body parts."""

    is_kept = False
    is_relayed = False
    end_finding = EndFinding.NONE

    def __init__(
        self,
        *,
        status,
        parts,
        headers=(),
        breaks=False,
        stays_silent=False,
        framing=BodyFraming.CHUNKS,
    ):
        self.status = status
        self.headers = (STAMP, *headers)
        self.framing = framing
        self._parts = list(parts)
        self._breaks = breaks
        self._stays_silent = stays_silent

    async def read(self, timeout_ms=None):
        await anyio.sleep(0.001)
        if self._parts:
            return self._parts.pop(0)
        if self._breaks:
            raise failure(FailureKind.BROKEN)
        if self._stays_silent:
            await anyio.sleep_forever()
        return b''

    def release(self):
        """Does nothing, as there is no connection to release."""

    def discard(self):
        """Does nothing, as there is no connection to close."""


class ScriptedConnections:
    """Returns the next answer of a script, regardless of the runner."""

    def __init__(self, script):
        self.script = list(script)
        self.asked = []  # runners, one per attempt
        self.seen = []  # messages received by runners
        self.closed_ms = None

    def pool_for(self, runner):
        self.asked.append(runner)
        return self

    def keep_only(self, runners):
        """Does nothing, as no connections are pooled."""

    def close_expired(self):
        """Does nothing, as no connections are pooled."""

    async def send(self, prepare, *, belongs, timeout_ms):
        step = self.script.pop(0)
        if step == 'unreached':
            raise failure(FailureKind.REFUSED)
        message = prepare()
        self.seen.append(message)
        if step == 'broken':
            raise failure(FailureKind.BROKEN)
        if step == 'silent':
            await self._stay_silent()
        return scripted(step)

    async def _stay_silent(self):
        try:
            await anyio.sleep_forever()
        finally:
            self.closed_ms = round(anyio.current_time() * 1000)


def scripted(step):
    """Returns the answer described by one step of a script."""
    kind, _, detail = step.partition(' ')
    if step == 'not run':
        return ScriptedAnswer(
            status=503,
            parts=[b''],
            headers=(NOT_RUN,),
        )
    if kind == 'whole':
        return ScriptedAnswer(status=int(detail), parts=[b'the ', b'body'])
    if kind == 'short':
        return ScriptedAnswer(status=200, parts=[b'the '], breaks=True)
    if kind in _HEADERS:
        return ScriptedAnswer(
            status=200,
            parts=[b'the body'],
            headers=(_HEADERS[kind],),
        )
    if kind in {'unframed', 'chunked', 'endless'}:
        return _ending_stream(kind, detail)
    if kind == 'events':
        first, last = span(detail)
        parts = [events(number, number) for number in range(first, last + 1)]
        return ScriptedAnswer(status=200, parts=parts)
    if step.startswith(('cut after', 'silent after')):
        first, last = span(step.split()[-1])
        return ScriptedAnswer(
            status=200,
            parts=[events(first, last)],
            breaks=kind == 'cut',
            stays_silent=kind == 'silent',
        )
    number = int(step.split()[-1])  # cut within an event
    truncated = events(number, number)[:-6]
    return ScriptedAnswer(
        status=200,
        parts=[events(1, number - 1) + truncated],
        breaks=True,
    )


def _ending_stream(kind, detail):
    """Returns a stream that ends without an error, perhaps in an event."""
    framing = BodyFraming.CHUNKS
    if kind == 'unframed':
        framing = BodyFraming.CONNECTION
    if kind == 'endless':
        parts = [events(1, int(detail) - 1), *_ENDLESS_EVENT]
    elif detail == 'nothing':
        parts = []
    elif detail.startswith('within'):
        first, last = span(detail.removeprefix('within '))
        parts = [events(1, first - 1) + events(first, last)[:-6]]
    else:
        parts = [events(*span(detail))]
    return ScriptedAnswer(
        status=200,
        parts=parts,
        framing=framing,
        stays_silent=kind == 'endless',
    )

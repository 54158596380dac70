"""Runners whose answers are scripted, in place of connections."""

import anyio

from teaseldale.outcomes import Step
from teaseldale.platform.tests.wire_names import NOT_RUN, STAMP
from teaseldale.upstreams import FailureKind, UpstreamError


def events(first, last):
    """Returns the bytes of some events."""
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def span(text):
    """Returns both ends of a range such as ``4-5``."""
    first, _, last = text.partition('-')
    return int(first), int(last or first)


def failure(kind):
    """Returns the error of a connection."""
    return UpstreamError(
        step=Step.DISPATCH,
        peer='runner',
        reason='scripted',
        may_have_run=kind is not FailureKind.REFUSED,
        kind=kind,
    )


class ScriptedAnswer:
    """The head and the parts of one answer."""

    def __init__(
        self, *, status, parts, headers=(), breaks=False, stays_silent=False
    ):
        self.status = status
        self.headers = (STAMP, *headers)
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
        """Gives the connection back."""


class ScriptedConnections:
    """Gives the next answer of a script, whatever runner is asked."""

    def __init__(self, script):
        self.script = list(script)
        self.asked = []  # runners
        self.seen = []  # messages that runners saw
        self.closed_ms = None

    def of(self, runner):
        self.asked.append(runner)
        return self

    def keep_only(self, runners):
        """Keeps everything."""

    def close_expired(self):
        """Keeps everything."""

    async def send(self, message, *, belongs, timeout_ms):
        step = self.script.pop(0)
        if step == 'unreached':
            raise failure(FailureKind.REFUSED)
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
    """Builds the answer of one step of a script."""
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
    if kind == 'encoded':
        headers = ((b'content-encoding', b'gzip'),)
        return ScriptedAnswer(status=200, parts=[b'zz'], headers=headers)
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
    torn = events(number, number)[:-6]
    return ScriptedAnswer(
        status=200,
        parts=[events(1, number - 1) + torn],
        breaks=True,
    )

"""Builds the timeline of a request from the log lines of several VMs."""

from collections.abc import Iterable

import attrs

from teaseldale.command._log_lines import LogLine, decode_lines
from teaseldale.command._usage import CommandFailedError

# Maximum age of context lines, which are lines of the same VM about the
# request's account or runners, relative to a line of the request.
_CONTEXT_SECONDS = 10
_CONTEXT_LINES = 12  # the most recent ones are shown


@attrs.frozen(kw_only=True)
class RequestStory:
    """Log lines of a request, and related earlier lines of the same VMs."""

    request_id: str
    lines: tuple[LogLine, ...]  # ordered by time
    context: tuple[LogLine, ...]  # ordered by time

    def render(self) -> str:
        """Returns the timeline as human-readable text."""
        shown = [f'request {self.request_id}', *map(_text_of, self.lines)]
        if self.context:
            shown.append('before it, on the same VMs:')
            shown.extend(map(_text_of, self.context))
        return '\n'.join(shown)

    def document(self) -> dict[str, object]:
        """Returns the timeline as a JSON-serializable mapping."""
        return {
            'request': self.request_id,
            'lines': list(map(_document_of, self.lines)),
            'context': list(map(_document_of, self.context)),
        }


def tell_story(request_id: str, raw_lines: Iterable[str]) -> RequestStory:
    """Returns the timeline of a request.

    Raises ``CommandFailedError`` if no line has the request id.
    """
    decoded = sorted(decode_lines(raw_lines), key=lambda line: line.time)
    lines = tuple(
        line for line in decoded if line.fields.get('request') == request_id
    )
    if not lines:
        raise CommandFailedError(f'No log line has request id {request_id!r}.')
    context = [line for line in decoded if _is_context(line, lines)]
    return RequestStory(
        request_id=request_id,
        lines=lines,
        context=tuple(context[-_CONTEXT_LINES:]),
    )


def _is_context(line: LogLine, lines: tuple[LogLine, ...]) -> bool:
    if 'request' in line.fields:
        return False
    return any(_precedes(line, told) for told in lines)


def _precedes(line: LogLine, told: LogLine) -> bool:
    age = (told.time - line.time).total_seconds()
    if line.vm != told.vm or not 0 <= age <= _CONTEXT_SECONDS:
        return False
    if line.event.endswith(('_lost', '_regained')):
        return True
    runners = told.fields.get('runners')
    names = [str(told.fields.get('account', ''))]
    if isinstance(runners, list):
        names.extend(map(str, runners))
    return line.mentions(frozenset(filter(None, names)))


def _text_of(line: LogLine) -> str:
    clock = line.time.time().isoformat('milliseconds')
    details = ' '.join(f'{name}={found}' for name, found in line.fields.items())
    return f'{clock} {line.vm} {line.event} {details}'


def _document_of(line: LogLine) -> dict[str, object]:
    return {
        'time': line.time.isoformat(),
        'vm': line.vm,
        'event': line.event,
        **line.fields,
    }

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
class RequestTimeline:
    """Log lines of a request, and related earlier lines of the same VMs."""

    request_id: str
    lines: tuple[LogLine, ...]  # ordered by time
    context: tuple[LogLine, ...]  # ordered by time

    def render(self) -> str:
        """Returns the timeline as human-readable text."""
        output_lines = [
            f'request {self.request_id}',
            *map(_format_line, self.lines),
        ]
        if self.context:
            output_lines.append('before it, on the same VMs:')
            output_lines.extend(map(_format_line, self.context))
        return '\n'.join(output_lines)

    def document(self) -> dict[str, object]:
        """Returns the timeline as a JSON-serializable mapping."""
        return {
            'request': self.request_id,
            'lines': list(map(_line_document, self.lines)),
            'context': list(map(_line_document, self.context)),
        }


def build_timeline(
    request_id: str, raw_lines: Iterable[str]
) -> RequestTimeline:
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
    return RequestTimeline(
        request_id=request_id,
        lines=lines,
        context=tuple(context[-_CONTEXT_LINES:]),
    )


def _is_context(line: LogLine, lines: tuple[LogLine, ...]) -> bool:
    if 'request' in line.fields:
        return False
    return any(_precedes(line, request_line) for request_line in lines)


def _precedes(line: LogLine, request_line: LogLine) -> bool:
    age = (request_line.time - line.time).total_seconds()
    if line.vm != request_line.vm or not 0 <= age <= _CONTEXT_SECONDS:
        return False
    if line.event.endswith(('_lost', '_regained')):
        return True
    runners = request_line.fields.get('runners')
    names = [str(request_line.fields.get('account', ''))]
    if isinstance(runners, list):
        names.extend(map(str, runners))
    return line.mentions(frozenset(filter(None, names)))


def _format_line(line: LogLine) -> str:
    timestamp = line.time.time().isoformat('milliseconds')
    details = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return f'{timestamp} {line.vm} {line.event} {details}'


def _line_document(line: LogLine) -> dict[str, object]:
    return {
        'time': line.time.isoformat(),
        'vm': line.vm,
        'event': line.event,
        **line.fields,
    }

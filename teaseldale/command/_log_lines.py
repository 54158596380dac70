"""Reading and decoding of log lines."""

import datetime
import pathlib
import sys
from collections.abc import Iterable, Iterator

import attrs
import msgspec

from teaseldale.command._usage import CommandFailedError

_COMMON_FIELDS = frozenset(('time', 'vm', 'channel', 'event'))


@attrs.frozen(kw_only=True)
class LogLine:
    """Decoded log line."""

    time: datetime.datetime
    vm: str
    event: str
    fields: dict[str, object]  # all other fields, unchanged

    def mentions(self, names: frozenset[str]) -> bool:
        """Returns whether the value of any field is one of ``names``."""
        texts = {str(value) for value in self.fields.values()}
        return not names.isdisjoint(texts)

    @property
    def account(self) -> str:
        """Account of the line; empty if it has none."""
        return str(self.fields.get('account', ''))


def read_lines(paths: Iterable[str]) -> Iterator[str]:
    """Yields the lines of the files, or of standard input without paths.

    Raises ``CommandFailedError`` if a file cannot be read.
    """
    names = tuple(paths)
    if not names:
        yield from sys.stdin
    for name in names:
        try:
            yield from pathlib.Path(name).read_text().splitlines()
        except OSError as error:
            raise CommandFailedError(f'{name}: {error.strerror}') from error


def decode_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields decoded lines and skips the output of other programs."""
    for raw in raw_lines:
        start = raw.find('{"time"')
        line = None if start < 0 else _decode(raw[start:])
        if line is not None:
            yield line


def _decode(text: str) -> LogLine | None:
    """Returns None for malformed lines.

    A process that ends while it writes leaves a truncated line.
    """
    try:
        return _to_log_line(msgspec.json.decode(text, type=dict[str, object]))
    except (msgspec.DecodeError, KeyError, ValueError):
        return None


def _to_log_line(fields: dict[str, object]) -> LogLine:
    return LogLine(
        time=datetime.datetime.fromisoformat(str(fields['time'])),
        vm=str(fields['vm']),
        event=str(fields['event']),
        fields={
            name: value
            for name, value in fields.items()
            if name not in _COMMON_FIELDS
        },
    )

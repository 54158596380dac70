"""Logging of JSON or key=value lines through logbook."""

import enum
import sys
from typing import Any, BinaryIO

import logbook
import msgspec

from teaseldale.clock import BaseClock, SystemClock
from teaseldale.logs._line_limits import LineLimits
from teaseldale.logs._line_writer import LineWriter


@enum.unique
class LogFormat(enum.StrEnum):
    """Output format of log lines."""

    JSON = 'json'
    KEY_VALUE = 'key_value'


class StateLog:
    """Logger of state changes on one channel."""

    def __init__(self, *, channel: str) -> None:
        """Creates a logger; ``channel`` is a field of each line."""
        self._logger = logbook.Logger(channel)

    def changed(self, event: str, **fields: object) -> None:
        """Logs a state change; ``fields`` must not contain secrets."""
        self._logger.info(event, extra=fields)

    def routine(self, event: str, **fields: object) -> None:
        """Logs a frequent event; under load such lines are dropped first."""
        self._logger.debug(event, extra=fields)


def make_log_handler(
    log_format: LogFormat,
    vm_name: str,
    *,
    stream: BinaryIO | None = None,
    clock: BaseClock | None = None,
) -> Any:
    """Returns a handler that writes to ``stream`` or else standard error."""
    return _BoundedHandler(
        formatter=_LineFormatter(log_format, vm_name),
        writer=LineWriter(stream=stream or sys.stderr.buffer),
        limits=LineLimits(clock=clock or SystemClock()),
    )


class _BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """Handler with bounded rate and memory that never blocks its callers."""

    def __init__(
        self,
        *,
        formatter: Any,
        writer: LineWriter,
        limits: LineLimits,
    ) -> None:
        super().__init__(level=logbook.DEBUG)
        self.formatter = formatter
        self._writer = writer
        self._limits = limits

    def emit(self, record: Any) -> None:
        is_routine = record.level < logbook.INFO
        self._log_dropped(self._limits.pop_dropped())
        if self._limits.admit(record.message, is_routine=is_routine):
            self._put(record, is_routine=is_routine)

    def close(self) -> None:
        """Logs the counts of dropped lines and writes the queued lines."""
        self._log_dropped(self._limits.pop_dropped(at_once=True))
        self._writer.close()

    def _put(self, record: Any, *, is_routine: bool) -> None:
        line = f'{self.format(record)}\n'.encode()
        if not self._writer.put(line, is_routine=is_routine):
            self._limits.count_dropped(record.message)

    def _log_dropped(self, dropped: dict[str, int]) -> None:
        if not dropped:
            return
        summary = logbook.LogRecord(
            'logs',
            logbook.INFO,
            'lines_left_out',
            extra={'counts': dropped},
        )
        summary.heavy_init()
        line = f'{self.format(summary)}\n'.encode()
        if not self._writer.put(line, is_routine=False):
            # The counts are logged once the queue has room.
            self._limits.restore(dropped)


class _LineFormatter:
    def __init__(self, log_format: LogFormat, vm_name: str) -> None:
        self._log_format = log_format
        self._vm_name = vm_name

    def __call__(self, record: Any, _handler: Any) -> str:
        fields = {
            'time': record.time.isoformat(),
            'vm': self._vm_name,
            'channel': record.channel,
            'event': record.message,
            **record.extra,
        }
        if self._log_format is LogFormat.JSON:
            return msgspec.json.encode(fields, enc_hook=str).decode()
        return ' '.join(
            f'{name}={_quoted(str(value))}' for name, value in fields.items()
        )


def _quoted(text: str) -> str:
    if ' ' in text or '"' in text:
        return msgspec.json.encode(text).decode()
    return text

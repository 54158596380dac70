"""Log lines as JSON or key=value pairs, through logbook."""

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
    """How a line is written."""

    JSON = 'json'
    KEY_VALUE = 'key_value'


class StateLog:
    """Writes a line when something changes its state."""

    def __init__(self, *, channel: str) -> None:
        """Creates a log whose lines name ``channel``."""
        self._logger = logbook.Logger(channel)

    def changed(self, event: str, **fields: object) -> None:
        """Writes one line; ``fields`` hold no secrets."""
        self._logger.info(event, extra=fields)

    def routine(self, event: str, **fields: object) -> None:
        """Writes a line that is the first to be left out under load."""
        self._logger.debug(event, extra=fields)


def make_log_handler(
    log_format: LogFormat,
    vm_name: str,
    *,
    stream: BinaryIO | None = None,
    clock: BaseClock | None = None,
) -> Any:
    """Creates the handler that writes lines, by default to standard error."""
    return _BoundedHandler(
        formatter=_LineFormatter(log_format, vm_name),
        writer=LineWriter(stream=stream or sys.stderr.buffer),
        limits=LineLimits(clock=clock or SystemClock()),
    )


class _BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """Writes a bounded number of lines and never waits for their reader."""

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
        self._tell(self._limits.take_left_out())
        if self._limits.allows(record.message, is_routine=is_routine):
            self._put(record, is_routine=is_routine)

    def close(self) -> None:
        """Writes what waits, and how much was left out, as far as it can."""
        self._tell(self._limits.take_left_out(at_once=True))
        self._writer.close()

    def _put(self, record: Any, *, is_routine: bool) -> None:
        line = f'{self.format(record)}\n'.encode()
        if not self._writer.put(line, is_routine=is_routine):
            self._limits.leave_out(record.message)

    def _tell(self, left_out: dict[str, int]) -> None:
        if not left_out:
            return
        told = logbook.LogRecord(
            'logs',
            logbook.INFO,
            'lines_left_out',
            extra={'counts': left_out},
        )
        told.heavy_init()
        line = f'{self.format(told)}\n'.encode()
        if not self._writer.put(line, is_routine=False):
            # They are told once there is room.
            self._limits.restore(left_out)


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

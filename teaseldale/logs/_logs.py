"""Log lines as JSON or key=value pairs, through logbook."""

import enum
import sys
from typing import Any, TextIO

import logbook
import msgspec


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


def make_log_handler(
    log_format: LogFormat,
    vm_name: str,
    *,
    stream: TextIO | None = None,
) -> Any:
    """Creates the handler that writes lines, by default to standard error."""
    handler = logbook.StreamHandler(stream or sys.stderr, level=logbook.INFO)
    handler.formatter = _LineFormatter(log_format, vm_name)
    return handler


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

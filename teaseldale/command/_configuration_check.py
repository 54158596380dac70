"""Report of the ``check-configuration`` command."""

import attrs
import msgspec

from teaseldale.clock import SystemClock
from teaseldale.command._usage import UsageError, read_file_bytes
from teaseldale.notes import FileCheck, Finding, MissingBaseError, check_file


@attrs.frozen(kw_only=True)
class ConfigurationReport:
    """Findings of a file, as they are printed."""

    path: str
    checked: FileCheck
    is_json: bool

    def render(self) -> str:
        """Returns the report as text or JSON."""
        if self.is_json:
            encoded = msgspec.json.encode(self.checked)
            return msgspec.json.format(encoded).decode()
        lines = [_line(self.path, found) for found in self.checked.findings]
        lines.extend(self.checked.differences)
        return '\n'.join(lines or [f'{self.path}: nothing found'])


def check_configuration_file(
    path: str,
    against: str | None,
    *,
    is_json: bool,
) -> ConfigurationReport:
    """Checks the file at ``path``.

    Raises ``CommandFailedError`` if a file cannot be read and ``UsageError``
    if the other file is needed and not given.
    """
    other = None if against is None else read_file_bytes(against)
    try:
        checked = check_file(
            read_file_bytes(path),
            wall_ms=SystemClock().wall_ms(),
            against=other,
        )
    except MissingBaseError as error:
        raise UsageError(
            f'{path}: it changes or withdraws items; name the configuration '
            'that it was written for with --against',
        ) from error
    return ConfigurationReport(path=path, checked=checked, is_json=is_json)


def _line(path: str, finding: Finding) -> str:
    where = f'{path}:{finding.line}' if finding.line else path
    place = f'{finding.place}: ' if finding.place else ''
    return f'{where}: {finding.kind}: {place}{finding.message}'

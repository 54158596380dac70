"""Checks the statuses of responses."""

import httpcore

_FIRST_STATUS = 100
_LAST_STATUS = 599


def check_status(status: int) -> None:
    """Raises ``httpcore.RemoteProtocolError`` for no status of HTTP.

    The parser accepts any three digits.
    """
    if not _FIRST_STATUS <= status <= _LAST_STATUS:
        raise httpcore.RemoteProtocolError(f'not a status: {status}')

"""HTTP client of the operators' interface, used by commands."""

import pathlib
from typing import Any

import httpcore
import msgspec

_STATUS_OK = 200
_TIMEOUT_SECONDS = 30


class CommandFailedError(Exception):
    """The fleet refused a command or could not be reached."""


class OperatorsClient:
    """Calls one VM's operators' interface."""

    def __init__(self, *, url: str, key_file: str) -> None:
        """Creates a client; ``url`` is such as ``http://10.0.0.1:7301``."""
        self._url = url.rstrip('/')
        self._key = pathlib.Path(key_file).read_text('utf-8').strip()

    def call(self, method: str, path: str, body: bytes = b'') -> Any:
        """Returns the decoded answer or raises ``CommandFailedError``."""
        try:
            response = httpcore.request(
                method,
                self._url + path,
                headers={'authorization': f'Bearer {self._key}'},
                content=body,
                extensions={'timeout': {'read': _TIMEOUT_SECONDS}},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise CommandFailedError(f'{self._url}: {error}') from error
        answer = msgspec.json.decode(response.content)
        if response.status != _STATUS_OK:
            raise CommandFailedError(answer['error']['message'])
        return answer

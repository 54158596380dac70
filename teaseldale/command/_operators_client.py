"""HTTP client of the operators' interface."""

from typing import Any

import httpcore
import msgspec

from teaseldale.command._usage import (
    CommandFailedError,
    read_file_bytes,
    string_argument,
)

_STATUS_OK = 200
_TIMEOUT_SECONDS = 30


class OperatorsClient:
    """Client of one VM's operators' interface."""

    def __init__(self, *, url: object, key_file: object) -> None:
        """Creates a client for a URL such as ``http://10.0.0.1:7301``.

        Raises ``CommandFailedError`` if the key file cannot be read.
        """
        self._url = string_argument(url, '--url').rstrip('/')
        key = read_file_bytes(string_argument(key_file, '--key_file'))
        self._key = key.decode('latin-1').strip()

    def call(self, method: str, path: str, body: bytes = b'') -> Any:
        """Returns the decoded JSON response.

        Raises ``CommandFailedError`` if the VM does not respond, refuses the
        request or does not respond with JSON.
        """
        try:
            response = httpcore.request(
                method,
                self._url + path,
                headers={'authorization': f'Bearer {self._key}'},
                content=body,
                extensions={
                    'timeout': {
                        'connect': _TIMEOUT_SECONDS,
                        'read': _TIMEOUT_SECONDS,
                    },
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            reason = str(error) or type(error).__name__
            raise CommandFailedError(f'{self._url}: {reason}') from error
        return self._decode_response(response)

    def _decode_response(self, response: httpcore.Response) -> Any:
        try:
            answer = msgspec.json.decode(response.content)
        except msgspec.MsgspecError as error:
            raise CommandFailedError(
                f'{self._url}: status {response.status}, not JSON; is this '
                "the operators' address?",
            ) from error
        if response.status != _STATUS_OK:
            refusal = answer['error']
            raise CommandFailedError(
                f'{self._url}: {refusal["code"]}: {refusal["message"]}',
            )
        return answer

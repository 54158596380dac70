"""Commands that operators send to a running fleet."""

import pathlib
from typing import Any
from urllib.parse import urlencode

from teaseldale.command._operators_client import OperatorsClient

_DEFAULT_URL = 'http://127.0.0.1:7301'
_DEFAULT_KEY_FILE = 'operators.key'


class NoteCommands:
    """Applies and shows release notes."""

    def apply(
        self,
        path: str,
        *,
        url: str = _DEFAULT_URL,
        key_file: str = _DEFAULT_KEY_FILE,
    ) -> Any:
        """Sends the note in the TOML file at PATH to the fleet."""
        client = OperatorsClient(url=url, key_file=key_file)
        return client.call('POST', '/notes', pathlib.Path(path).read_bytes())


class BudgetCommands:
    """Shows and tops up budgets."""

    def show(
        self,
        name: str,
        *,
        url: str = _DEFAULT_URL,
        key_file: str = _DEFAULT_KEY_FILE,
    ) -> Any:
        """Prints the totals of budget NAME."""
        client = OperatorsClient(url=url, key_file=key_file)
        query = urlencode({'name': name})
        return client.call('GET', f'/budget?{query}')

    def topup(
        self,
        name: str,
        tokens: int,
        *,
        url: str = _DEFAULT_URL,
        key_file: str = _DEFAULT_KEY_FILE,
    ) -> Any:
        """Credits TOKENS to budget NAME."""
        client = OperatorsClient(url=url, key_file=key_file)
        query = urlencode({'name': name, 'tokens': tokens})
        return client.call('POST', f'/budget/topup?{query}')

"""Commands that call the operators' interface of a running fleet."""

from typing import Any
from urllib.parse import quote, urlencode

from teaseldale.command._operators_client import OperatorsClient
from teaseldale.command._usage import (
    integer_argument,
    read_file_bytes,
    string_argument,
)

_DEFAULT_URL = 'http://127.0.0.1:7301'
_DEFAULT_KEY_FILE = 'operators.key'
_MAX_TOKENS = 10**15
_NOTES_PATH = '/notes'
_MOVES_PATH = '/moves'


class FleetCommands:
    """Base of commands that call one VM's operators' interface."""

    def __init__(
        self,
        *,
        url: str = _DEFAULT_URL,
        key_file: str = _DEFAULT_KEY_FILE,
    ) -> None:
        """Stores the target; the key file is read when a command runs."""
        self._url = url
        self._key_file = key_file

    def _call(self, method: str, path: str, body: bytes = b'') -> Any:
        client = OperatorsClient(url=self._url, key_file=self._key_file)
        return client.call(method, path, body)


class NoteCommands(FleetCommands):
    """Applies, shows and cancels release notes.

    URL is the address of a VM's operators' interface. KEY_FILE is the path
    of the file with the operators' key.
    """

    def apply(self, path: str, *, dry_run: bool = False) -> Any:
        """Applies the note in the TOML file PATH; DRY_RUN only validates it."""
        query = '?dry_run=true' if dry_run else ''
        note = read_file_bytes(string_argument(path, 'PATH'))
        return self._call('POST', f'{_NOTES_PATH}{query}', note)

    def show(self, name: str) -> Any:
        """Prints note NAME with its content and state."""
        return self._call('GET', _item_path(_NOTES_PATH, name))

    def status(self, name: str = '') -> Any:
        """Prints the state of note NAME, or of all notes if NAME is empty."""
        if not name:
            return self._call('GET', _NOTES_PATH)
        note = self._call('GET', _item_path(_NOTES_PATH, name))
        note.pop('note', None)
        return note

    def cancel(self, name: str) -> Any:
        """Cancels note NAME unless it is already accepted."""
        return self._call('POST', f'{_item_path(_NOTES_PATH, name)}/cancel')


class BudgetCommands(FleetCommands):
    """Creates, shows and tops up budgets.

    URL is the address of a VM's operators' interface. KEY_FILE is the path
    of the file with the operators' key.
    """

    def create(self, name: str, tokens: int, *, team: str = 'operators') -> Any:
        """Creates budget NAME with TOKENS by a separate release note."""
        budget = string_argument(name, 'NAME')
        token_count = integer_argument(tokens, 'TOKENS', maximum=_MAX_TOKENS)
        note = (
            f'name = "create-budget-{budget}"\n'
            f'team = "{string_argument(team, "--team")}"\n'
            '[[additions.budgets]]\n'
            f'name = "{budget}"\n'
            f'initial_tokens = {token_count}\n'
        )
        return self._call('POST', _NOTES_PATH, note.encode())

    def show(self, name: str) -> Any:
        """Prints the totals of budget NAME."""
        query = urlencode({'name': string_argument(name, 'NAME')})
        return self._call('GET', f'/budget?{query}')

    def topup(self, name: str, tokens: int, *, top_up_id: str = '') -> Any:
        """Credits TOKENS to budget NAME; idempotent for equal TOP_UP_ID.

        After an error, repeat the command with the same TOP_UP_ID. Without
        one, it is unknown after an error whether the tokens were credited.
        """
        query = urlencode(
            {
                'name': string_argument(name, 'NAME'),
                'tokens': integer_argument(
                    tokens, 'TOKENS', maximum=_MAX_TOKENS
                ),
                'id': str(top_up_id),
            },
        )
        return self._call('POST', f'/budget/topup?{query}')


class MoveCommands(FleetCommands):
    """Shows version moves and rolls them back.

    URL is the address of a VM's operators' interface. KEY_FILE is the path
    of the file with the operators' key.
    """

    def status(self, name: str = '') -> Any:
        """Prints the state of move NAME, or of all moves if NAME is empty."""
        moves = self._call('GET', _MOVES_PATH)
        if not name:
            return moves
        return [move for move in moves if move['name'] == name]

    def takeback(self, name: str) -> Any:
        """Rolls back move NAME in the whole fleet."""
        return self._call('POST', f'{_item_path(_MOVES_PATH, name)}/takeback')


def _item_path(path: str, name: object) -> str:
    quoted = quote(string_argument(name, 'NAME'), safe='')
    return f'{path}/{quoted}'

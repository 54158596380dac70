"""Look-up of the client account that a bearer key belongs to."""

import hashlib
import hmac
import secrets
from collections.abc import Mapping

from teaseldale.notes import ClientAccount, Configuration

_SECRET_BYTES = 32


class AccountKeys:
    """Index of client accounts by a keyed hash of their key.

    The time of a look-up depends only on a hash keyed with a random secret of
    this process, so that it leaks nothing about the configured keys.
    """

    def __init__(self) -> None:
        """Generates the secret of this process."""
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._source: Mapping[str, ClientAccount] = {}
        self._accounts: dict[bytes, ClientAccount] = {}

    def find(
        self,
        configuration: Configuration,
        key: str,
    ) -> ClientAccount | None:
        """Returns the account of ``key``, compared in constant time."""
        if configuration.accounts_by_key_hash is not self._source:
            self._rebuild(configuration.accounts_by_key_hash)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        account = self._accounts.get(self._keyed_hash(key_hash))
        if account is None:
            return None
        same = hmac.compare_digest(account.key_hash, key_hash)
        return account if same else None

    def _rebuild(self, source: Mapping[str, ClientAccount]) -> None:
        self._accounts = {
            self._keyed_hash(key_hash): account
            for key_hash, account in source.items()
        }
        self._source = source

    def _keyed_hash(self, key_hash: str) -> bytes:
        return hmac.digest(self._secret, key_hash.encode(), 'sha256')

"""Send buffer of a connection of uvicorn."""

from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from teaseldale.web._exchange import BaseSendBuffer


class ConnectionBuffer(BaseSendBuffer):
    """Bytes of a connection that its transport has not sent yet."""

    def __init__(self, *, protocol: HttpToolsProtocol) -> None:
        """Belongs to the connection of ``protocol``."""
        self._protocol = protocol
        self._on_sent: list[Callable[[], object]] = []

    @property
    def is_full(self) -> bool:
        """Whether writers should wait."""
        return bool(self._protocol.flow.write_paused)

    def call_when_sent(self, callback: Callable[[], object]) -> None:
        """Calls ``callback`` once it is not full or the connection is lost."""
        self._on_sent.append(callback)

    def note_sent(self) -> None:
        """Calls the callbacks."""
        callbacks = tuple(self._on_sent)
        self._on_sent.clear()
        for callback in callbacks:
            callback()

"""A tunnel at the VM that asked for it."""

import asyncio

import attrs
import httptools

from teaseldale.tunnels._handshake import TunnelReply, encode_reply


@attrs.frozen(kw_only=True)
class Tunnel:
    """An open tunnel."""

    transport: asyncio.Transport
    reply: TunnelReply

    def attach(self, receiver: asyncio.Protocol) -> None:
        """Lets ``receiver`` read what the runner sends.

        Its ``eof_received`` is called only if the relaying VM has found that
        the runner has ended its response and not just its connection.
        """
        tunnel_exit = _TunnelExit(tunnel=self, receiver=receiver)
        self.transport.set_protocol(tunnel_exit)
        receiver.connection_made(self.transport)


class _TunnelExit(asyncio.Protocol):
    """Decodes what arrives through a tunnel.

    The connection to a relaying VM that has ended by itself ends like one that
    the runner has ended. So an end without a last chunk is a lost connection,
    and so is one of an earlier build that passes ends on unexamined.
    """

    def __init__(self, *, tunnel: Tunnel, receiver: asyncio.Protocol) -> None:
        self._transport = tunnel.transport
        self._receiver = receiver
        self._has_ended = False
        self._examines_ends = tunnel.reply.examines_ends
        self._parser: httptools.HttpResponseParser | None = None
        if tunnel.reply.sends_chunks:
            self._parser = httptools.HttpResponseParser(self)
            # The chunks are the body of this reply.
            self._parser.feed_data(encode_reply(tunnel.reply))

    def data_received(self, received: bytes) -> None:
        """Passes on the runner's bytes; drops any that follow its end."""
        if self._parser is None:
            self._receiver.data_received(received)
        elif not self._has_ended:
            self._decode(self._parser, received)

    def on_body(self, part: bytes) -> None:
        """Passes on bytes of the runner."""
        self._receiver.data_received(part)

    def on_message_complete(self) -> None:
        """Passes on the end of the runner's response."""
        self._has_ended = True
        if not (self._examines_ends and self._receiver.eof_received()):
            self._transport.close()

    def eof_received(self) -> bool:
        """Keeps the connection if the runner has ended its own before."""
        return self._has_ended

    def connection_lost(self, error: Exception | None) -> None:
        """Passes on the loss."""
        self._receiver.connection_lost(error)

    def pause_writing(self) -> None:
        """Passes on that the write buffer is full."""
        self._receiver.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the write buffer has room."""
        self._receiver.resume_writing()

    def _decode(
        self,
        parser: httptools.HttpResponseParser,
        received: bytes,
    ) -> None:
        try:
            parser.feed_data(received)
        except httptools.HttpParserError:
            # Without the last chunk the receiver sees a lost connection.
            self._transport.abort()

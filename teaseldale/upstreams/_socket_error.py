"""Asks a connection's socket whether the connection has failed."""

import asyncio
import socket


def has_socket_error(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the connection has failed, as by a reset; clears it.

    An event loop may report an end where a reset follows the last bytes, and
    it reports no reset after an end, as it reads no more. A write that meets
    the reset clears the socket's error, and the loop closes the transport.
    """
    if transport.is_closing():
        return True
    connection_socket = transport.get_extra_info('socket')
    return bool(
        connection_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
    )

"""Text buffer that compresses the part that all readers have consumed."""

import zlib

_CHUNK_BYTES = 8192
_FAST = 1  # fastest compression level


class AnswerText:
    """Append-only buffer that can be read from any byte position."""

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._cold: list[bytes] = []  # zlib, _CHUNK_BYTES of text each
        self._warm = bytearray()

    def __len__(self) -> int:
        """Length of the uncompressed text in bytes."""
        return self._cold_bytes + len(self._warm)

    @property
    def held_bytes(self) -> int:
        """Memory that the text occupies, without object overhead."""
        return sum(map(len, self._cold)) + len(self._warm)

    def append(self, text: str) -> None:
        """Appends text, encoded as UTF-8."""
        self._warm += text.encode()

    def read_from(self, position: int) -> bytes:
        """Returns the UTF-8 text from byte ``position`` to the end."""
        if position >= self._cold_bytes:
            return bytes(self._warm[position - self._cold_bytes :])
        first, within = divmod(position, _CHUNK_BYTES)
        chunks = [zlib.decompress(chunk) for chunk in self._cold[first:]]
        return b''.join((*chunks, self._warm))[within:]

    def compress_until(self, position: int) -> None:
        """Compresses full chunks before ``position``, read by all readers."""
        while position - self._cold_bytes >= _CHUNK_BYTES:
            chunk = bytes(self._warm[:_CHUNK_BYTES])
            self._cold.append(zlib.compress(chunk, _FAST))
            del self._warm[:_CHUNK_BYTES]  # noqa: WPS420

    @property
    def _cold_bytes(self) -> int:
        return len(self._cold) * _CHUNK_BYTES

"""Text buffer that compresses the part that all readers have consumed."""

import zlib

_CHUNK_BYTES = 8192
_ZLIB_LEVEL = 1  # fastest compression level


class AnswerText:
    """Append-only buffer that can be read from any byte position."""

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._compressed: list[bytes] = []  # zlib, _CHUNK_BYTES of text each
        self._plain = bytearray()

    def __len__(self) -> int:
        """Length of the uncompressed text in bytes."""
        return self._compressed_until + len(self._plain)

    @property
    def memory_bytes(self) -> int:
        """Memory that the text occupies, without object overhead."""
        return sum(map(len, self._compressed)) + len(self._plain)

    def append(self, text: str) -> None:
        """Appends text, encoded as UTF-8."""
        self._plain += text.encode()

    def read_from(self, position: int) -> bytes:
        """Returns the UTF-8 text from byte ``position`` to the end."""
        if position >= self._compressed_until:
            return bytes(self._plain[position - self._compressed_until :])
        first, within = divmod(position, _CHUNK_BYTES)
        chunks = [zlib.decompress(chunk) for chunk in self._compressed[first:]]
        return b''.join((*chunks, self._plain))[within:]

    def compress_until(self, position: int) -> None:
        """Compresses full chunks before ``position``, read by all readers."""
        while position - self._compressed_until >= _CHUNK_BYTES:
            chunk = bytes(self._plain[:_CHUNK_BYTES])
            self._compressed.append(zlib.compress(chunk, _ZLIB_LEVEL))
            del self._plain[:_CHUNK_BYTES]  # noqa: WPS420

    @property
    def _compressed_until(self) -> int:
        return len(self._compressed) * _CHUNK_BYTES

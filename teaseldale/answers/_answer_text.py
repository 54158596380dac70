"""Text of one answer: recent part plain, the part read by all compressed."""

import zlib

_CHUNK_BYTES = 8192
_FAST = 1  # compression level


class AnswerText:
    """Appends at the end; reads from any byte position to the end."""

    def __init__(self) -> None:
        """Creates an empty text."""
        self._cold: list[bytes] = []  # compressed, _CHUNK_BYTES plain each
        self._warm = bytearray()

    def __len__(self) -> int:
        """Bytes of the whole text."""
        return self._cold_bytes + len(self._warm)

    @property
    def held_bytes(self) -> int:
        """Memory that the text takes, without overheads."""
        return sum(map(len, self._cold)) + len(self._warm)

    def append(self, text: str) -> None:
        """Adds text at the end."""
        self._warm += text.encode()

    def read_from(self, position: int) -> bytes:
        """Returns the text after ``position`` bytes."""
        if position >= self._cold_bytes:
            return bytes(self._warm[position - self._cold_bytes :])
        first, within = divmod(position, _CHUNK_BYTES)
        chunks = [zlib.decompress(chunk) for chunk in self._cold[first:]]
        return b''.join((*chunks, self._warm))[within:]

    def compress_until(self, position: int) -> None:
        """Compresses whole chunks before ``position``, read by everybody."""
        while position - self._cold_bytes >= _CHUNK_BYTES:
            chunk = bytes(self._warm[:_CHUNK_BYTES])
            self._cold.append(zlib.compress(chunk, _FAST))
            del self._warm[:_CHUNK_BYTES]  # noqa: WPS420

    @property
    def _cold_bytes(self) -> int:
        return len(self._cold) * _CHUNK_BYTES

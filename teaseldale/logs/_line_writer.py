"""Writes lines from a thread, so that no caller waits for a slow reader."""

import threading
import time
from collections import deque
from typing import BinaryIO

# Lines that wait for the reader. Some seconds of lines at their limits fit in.
_WAITING_BYTES = 1_000_000
# Routine lines are left out from this part on, so that others still fit in.
_ROUTINE_SHARE = 0.5
# Pause in which lines gather, so that one write takes several.
_GATHER_SECONDS = 0.02
# Longest time that an ending process waits for its reader.
_CLOSE_SECONDS = 0.5


class LineWriter:
    """Bounded lines on their way to a stream."""

    def __init__(self, *, stream: BinaryIO) -> None:
        """Writes to ``stream``, which may block for good."""
        self._stream = stream
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(
            target=self._run,
            name='log-writer',
            daemon=True,
        )
        self._thread.start()

    @property
    def waiting_bytes(self) -> int:
        """Bytes that the reader has not taken."""
        return self._waiting_bytes

    def put(self, line: bytes, *, is_routine: bool) -> bool:
        """Keeps a line for the reader; False if there is no room."""
        limit = _WAITING_BYTES
        if is_routine:
            limit = int(limit * _ROUTINE_SHARE)
        with self._lock:
            if self._waiting_bytes + len(line) > limit:
                return False
            self._waiting.append(line)
            self._waiting_bytes += len(line)
        self._has_lines.set()
        return True

    def close(self) -> None:
        """Writes what waits, for as long as an ending process may take."""
        self._is_closing = True
        self._has_lines.set()
        self._thread.join(_CLOSE_SECONDS)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            if not self._is_closing:
                time.sleep(_GATHER_SECONDS)
            self._has_lines.clear()
            try:
                self._write_waiting()
            except (OSError, ValueError):
                # The reader has closed its end, and nobody else reads lines.
                return
            if self._is_closing and not self._waiting:
                return

    def _write_waiting(self) -> None:
        with self._lock:
            gathered = b''.join(self._waiting)
            self._waiting.clear()
        self._stream.write(gathered)
        self._stream.flush()
        with self._lock:
            self._waiting_bytes -= len(gathered)

"""Log writer thread, so that callers never block on a slow reader."""

import threading
import time
from collections import deque
from typing import BinaryIO

# Capacity of the queue. It holds several seconds of lines at the rate limits.
_QUEUE_LIMIT_BYTES = 1_000_000
# Share of the queue beyond which routine lines are dropped, so that there is
# room for important ones.
_ROUTINE_QUEUE_SHARE = 0.5
# Delay before each write, so that several lines are written in one call.
_BATCH_DELAY_SECONDS = 0.02
# Longest time for which a shutdown waits for the reader.
_CLOSE_TIMEOUT_SECONDS = 0.5


class LineWriter:
    """Bounded queue of lines that a thread writes to a stream."""

    def __init__(self, *, stream: BinaryIO) -> None:
        """Starts the thread; writes to ``stream`` may block indefinitely."""
        self._stream = stream
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
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
    def queued_bytes(self) -> int:
        """Number of bytes that are not written to the stream yet."""
        return self._queued_bytes

    def put(self, line: bytes, *, is_routine: bool) -> bool:
        """Queues a line; returns False if the queue is full."""
        limit = _QUEUE_LIMIT_BYTES
        if is_routine:
            limit = int(limit * _ROUTINE_QUEUE_SHARE)
        with self._lock:
            if self._queued_bytes + len(line) > limit:
                return False
            self._queue.append(line)
            self._queued_bytes += len(line)
        self._has_lines.set()
        return True

    def close(self) -> None:
        """Writes the queued lines, as far as the time-out allows."""
        self._is_closing = True
        self._has_lines.set()
        self._thread.join(_CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            if not self._is_closing:
                time.sleep(_BATCH_DELAY_SECONDS)
            self._has_lines.clear()
            try:
                self._write_queued()
            except (OSError, ValueError):
                # The reader closed the stream, so later writes would fail too.
                return
            if self._is_closing and not self._queue:
                return

    def _write_queued(self) -> None:
        with self._lock:
            batch = b''.join(self._queue)
            self._queue.clear()
        self._stream.write(batch)
        self._stream.flush()
        with self._lock:
            self._queued_bytes -= len(batch)

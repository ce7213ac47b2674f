"""Collects the bodies of answers within bounds of memory."""

from collections.abc import Iterable

from poplarspar.exceptions import ConnectionLost

MAX_ANSWER_BYTES = 8 * 1024 * 1024
# All bodies that are being read may take this much together, far below the memory of
# the smallest machines.
MAX_COLLECTED_BYTES = 32 * 1024 * 1024
# Bodies up to this size are read in any case, so that endless ones only fail others
# that are large themselves.
SMALL_ANSWER_BYTES = 512 * 1024


class BodyCollector:
    """Collects bodies, and fails large ones while all take too much memory.

    Attributes
    ----------
    collected_bytes : int
        Size of all the bodies that are being read.
    """

    def __init__(self, limit_bytes: int = MAX_COLLECTED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.collected_bytes = 0

    def collect(
        self, chunks: Iterable[bytes], limit_bytes: int = MAX_ANSWER_BYTES
    ) -> bytes:
        """Return a complete body.

        Raises
        ------
        ConnectionLost
            If the body is too large; the caller then closes the connection.
        """
        parts = []
        size = 0
        try:
            for chunk in chunks:
                size += len(chunk)
                self.collected_bytes += len(chunk)
                self._check(size, limit_bytes)
                parts.append(chunk)
            return b"".join(parts)
        finally:
            self.collected_bytes -= size

    def _check(self, size: int, limit_bytes: int) -> None:
        if size > limit_bytes:
            raise ConnectionLost(f"answer larger than {limit_bytes} bytes")
        if size > SMALL_ANSWER_BYTES and self.collected_bytes > self._limit_bytes:
            raise ConnectionLost(
                f"answers that are being read take {self.collected_bytes} bytes"
            )


# One for the process, whose memory all answers share.
COLLECTOR = BodyCollector()

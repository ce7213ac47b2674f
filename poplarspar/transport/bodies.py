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
SMALL_PART_BYTES = 1024


class BodyParts:
    """Parts of a body, which together take little more memory than the body.

    Attributes
    ----------
    size : int
        Size of all parts in bytes.
    """

    def __init__(self) -> None:
        self._parts: list[bytes | bytearray] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.size += len(part)
        if len(part) >= SMALL_PART_BYTES or not self._parts:
            self._parts.append(part)
            return
        # An object for each small part would take many times its size.
        last = self._parts[-1]
        if isinstance(last, bytearray):
            last += part
        else:
            self._parts.append(bytearray(part))

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self._parts)


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
        body = BodyParts()
        try:
            for chunk in chunks:
                self.collected_bytes += len(chunk)
                body.add(chunk)
                self._check(body.size, limit_bytes)
            return body.join()
        finally:
            self.collected_bytes -= body.size

    def _check(self, size: int, limit_bytes: int) -> None:
        if size > limit_bytes:
            raise ConnectionLost(f"answer larger than {limit_bytes} bytes")
        if size > SMALL_ANSWER_BYTES and self.collected_bytes > self._limit_bytes:
            raise ConnectionLost(
                f"answers that are being read take {self.collected_bytes} bytes"
            )


# One for the process, whose memory all answers share.
COLLECTOR = BodyCollector()

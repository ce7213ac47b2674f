"""Connections that detect resets and truncated heads, and that bound a whole answer."""

import socket
import time
from http.client import HTTPException, HTTPResponse, RemoteDisconnected

from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection

# A time-out that is handled later than this shows that the process was paused. It then
# gets this much longer to read what has arrived.
MAX_DELAY_S = 0.1
PAUSE_EXTENSION_S = 0.3
# The library bounds each line and their number, which allows 6.5 MB for each answer.
MAX_HEAD_BYTES = 131_072


class StrictSocket(GreenSocket):
    """Raises when the peer resets the connection, and after a deadline.

    eventlet's socket reports a reset as the end of the data, so a truncated answer
    without Content-Length would look complete. Its time-out applies to each receive,
    so bytes without end could keep a reader of one line or one event for ever.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds after which nothing is received.
    """

    deadline = float("inf")

    def _recv_loop(self, receive, empty, *arguments):
        while True:
            if time.monotonic() > self.deadline:
                raise TimeoutError("the answer is not complete in time")
            try:
                return receive(*arguments)
            except BlockingIOError:
                self._wait_readable()

    def _wait_readable(self) -> None:
        """Wait for data; raises `TimeoutError`.

        After a pause of the whole process, data may have arrived that it has not read.
        """
        timeout_s = self.gettimeout()
        now = time.monotonic()
        due = min(self.deadline, float("inf") if timeout_s is None else now + timeout_s)
        late = TimeoutError("nothing arrived in time")
        wait_s = None if due == float("inf") else due - now
        try:
            self._trampoline(self.fd, read=True, timeout=wait_s, timeout_exc=late)
        except TimeoutError:
            if time.monotonic() <= due + MAX_DELAY_S:
                raise
        if time.monotonic() > due + MAX_DELAY_S:
            self.deadline = max(self.deadline, time.monotonic() + PAUSE_EXTENSION_S)


class _HeadLines:
    """Reads the lines of an answer's head, all of which must be complete."""

    def __init__(self, file) -> None:
        self._file = file
        self._size = 0

    def readline(self, limit: int) -> bytes:
        line = self._file.readline(limit)
        self._size += len(line)
        if self._size > MAX_HEAD_BYTES:
            raise HTTPException(f"the answer's head exceeds {MAX_HEAD_BYTES} bytes")
        if not line.endswith(b"\n") and len(line) < limit:
            raise RemoteDisconnected("the connection ended in the answer's head")
        return line

    def close(self) -> None:
        self._file.close()


class StrictResponse(HTTPResponse):
    """An answer whose head must end with an empty line.

    The standard library takes the end of the connection for the end of the head, so an
    answer that is cut there would have an empty body.
    """

    def begin(self) -> None:
        """Read the status and the headers; raises `RemoteDisconnected`."""
        file = self.fp
        self.fp = _HeadLines(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file


class StrictHeadConnection(HTTPConnection):
    """A connection whose answers are `StrictResponse` objects."""

    response_class = StrictResponse


class StrictConnection(StrictHeadConnection):
    """A connection with a `StrictSocket` as well."""

    def _new_conn(self) -> socket.socket:
        original = super()._new_conn()
        wrapped = StrictSocket(original.fd)
        # Keeps the original socket alive, which would close the descriptor when it is
        # garbage-collected.
        wrapped.original = original
        return wrapped

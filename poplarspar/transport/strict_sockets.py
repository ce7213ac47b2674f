"""Connections with strictly read answers, which detect resets and have a deadline."""

import socket
import time

from urllib3.connection import HTTPConnection

from poplarspar.transport.fair_sockets import FairSocket
from poplarspar.transport.strict_answers import StrictResponse
from poplarspar.transport.turns import TURNS

# A time-out that is handled later than this shows that the process was paused. It then
# gets this much longer to read what has arrived.
MAX_DELAY_S = 0.1
PAUSE_EXTENSION_S = 0.3


class StrictSocket(FairSocket):
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
                result = receive(*arguments)
            except BlockingIOError:
                self._wait_readable()
            else:
                TURNS.check()
                return result

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


class StrictHeadConnection(HTTPConnection):
    """A connection whose answers are `StrictResponse` objects."""

    response_class = StrictResponse

    def _new_conn(self) -> socket.socket:
        return FairSocket.wrap(super()._new_conn())


class StrictConnection(StrictHeadConnection):
    """A connection with a `StrictSocket` as well."""

    def _new_conn(self) -> socket.socket:
        return StrictSocket.wrap(super()._new_conn())

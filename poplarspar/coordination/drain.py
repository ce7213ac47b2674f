"""Graceful shutdown: counts requests in flight and waits for them to end."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.event import Event


class Drain:
    """Requests in flight in this process, and whether it is draining."""

    def __init__(self) -> None:
        self.running = 0
        self.draining = False
        self._idle = Event()

    def begin(self) -> None:
        """Mark the process as draining; requests may still arrive."""
        self.draining = True

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as in flight during a ``with`` block."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            if self.running == 0:
                idle, self._idle = self._idle, Event()
                idle.send()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False after `timeout_s`."""
        if self.running:
            self._idle.wait(timeout=timeout_s)
        return self.running == 0

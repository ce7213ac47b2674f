"""Graceful shutdown: counting what runs, and waiting for it to end."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.event import Event


class Drain:
    """Requests that run in this process, and whether it is shutting down."""

    def __init__(self) -> None:
        self.running = 0
        self.draining = False
        self._idle = Event()

    def begin(self) -> None:
        """Start to shut down."""
        self.draining = True

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as running for the length of a ``with`` block."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            if self.running == 0:
                idle, self._idle = self._idle, Event()
                idle.send()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until nothing runs and return whether that came about."""
        if self.running:
            self._idle.wait(timeout=timeout_s)
        return self.running == 0

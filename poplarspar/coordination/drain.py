"""Graceful shutdown: counts the requests in flight."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager


class Drain:
    """Requests in flight in this process, and whether it is draining."""

    def __init__(self) -> None:
        self.running = 0
        self.draining = False
        self._interrupts: set[Callable[[], None]] = set()

    def begin(self) -> None:
        """Mark the process as draining; requests may still arrive."""
        self.draining = True

    def interrupt(self) -> None:
        """Interrupt the requests that have no answer yet."""
        for interrupt in list(self._interrupts):
            interrupt()

    @contextmanager
    def interruptible(self, interrupt: Callable[[], None]) -> Iterator[None]:
        """Let `interrupt` be called at the end of the shutdown during a block."""
        self._interrupts.add(interrupt)
        try:
            yield
        finally:
            self._interrupts.discard(interrupt)

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as in flight during a ``with`` block."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

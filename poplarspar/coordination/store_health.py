"""What a node knows of the store's health, from the ends of its calls."""

import time
from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal

from poplarspar.events import Event
from poplarspar.logs import log_event

# While one watcher tries an unavailable store, the others only do after this time, in
# case that its attempt hangs. Its calls have shorter time-outs.
MAX_TURN_WAIT_S = 5.0
# The same for values that must take effect within seconds, in case that only those of
# the other watcher can't be read.
URGENT_MAX_TURN_WAIT_S = 1.0


class StoreHealth:
    """Records since when the store has answered this node without a failure.

    All watchers of a node share it, so that one of them tries an unavailable store
    while the others wait for its success: the store counts refused calls too.
    """

    def __init__(self) -> None:
        self._healthy_since: float | None = None
        self._unavailable = False
        self._trying: object | None = None
        self._back = Signal()
        self._back_callbacks: list[Callable[[], None]] = []

    def on_back(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not wait, when the store answers again."""
        self._back_callbacks.append(callback)

    def record_success(self) -> None:
        """Record a successful call."""
        if self._healthy_since is None:
            self._healthy_since = time.monotonic()
        if self._unavailable:
            self._unavailable = False
            self._trying = None
            back, self._back = self._back, Signal()
            back.send()
            log_event(Event.STORE_BACK)
            for callback in self._back_callbacks:
                callback()

    def wait_for_turn(
        self, watcher: object, backoff_s: float, is_urgent: bool = False
    ) -> None:
        """Wait until a watcher should call the store again after a failure.

        An urgent one takes the turn from the others, since its values are needed first.
        """
        if self._trying is None or is_urgent:
            self._trying = watcher
        max_wait_s = URGENT_MAX_TURN_WAIT_S if is_urgent else MAX_TURN_WAIT_S
        wait_s = backoff_s if self._trying is watcher else max_wait_s
        with eventlet.Timeout(wait_s, False):
            self._back.wait()

    def record_failure(self, cause: str) -> None:
        """Record a call without an answer, or a gap in the store's answers."""
        self._healthy_since = None
        if not self._unavailable:
            self._unavailable = True
            log_event(Event.STORE_LOST, cause=cause)

    @property
    def is_available(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._healthy_since is not None

    def record_restore(self) -> None:
        """Record that the store shows an older state, which may lack entries."""
        if self._healthy_since is not None:
            self._healthy_since = time.monotonic()

    def healthy_s(self) -> float:
        """Return the seconds for which the store has answered without a failure."""
        if self._healthy_since is None:
            return 0.0
        return time.monotonic() - self._healthy_since

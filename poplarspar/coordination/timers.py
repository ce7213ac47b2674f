"""Timer service that parts subscribe to."""

import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event as Signal

from poplarspar.events import Event
from poplarspar.logs import log_event


@dataclass(order=True)
class Subscription:
    """A callback that is due at a monotonic time, again if it has a period."""

    due_at: float
    sequence: int
    callback: Callable[[], None] = field(compare=False)
    period_s: float | None = field(compare=False)
    closed: bool = field(default=False, compare=False)

    def cancel(self) -> None:
        """End the subscription."""
        self.closed = True


class TimerService:
    """Runs callbacks at their times, one after the other in one task.

    Callbacks must not block.
    """

    def __init__(self) -> None:
        self._heap: list[Subscription] = []
        self._serials = itertools.count()
        self._wake = Signal()
        self._task = eventlet.spawn(self._run)

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def every(self, period_s: float, callback: Callable[[], None]) -> Subscription:
        """Run `callback` every `period_s` seconds."""
        return self._subscribe(period_s, callback, period_s)

    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Run `callback` once after `delay_s` seconds."""
        return self._subscribe(delay_s, callback, None)

    def close(self) -> None:
        """Stop the service; no callback runs afterwards."""
        self._task.kill()

    def _subscribe(
        self, delay_s: float, callback: Callable[[], None], period_s: float | None
    ) -> Subscription:
        entry = Subscription(
            self.now() + delay_s, next(self._serials), callback, period_s
        )
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry and not self._wake.ready():
            self._wake.send()
        return entry

    def _run(self) -> None:
        while True:
            self._wait_for_next()
            while self._heap and self._heap[0].due_at <= self.now():
                self._fire(heapq.heappop(self._heap))

    def _wait_for_next(self) -> None:
        delay_s = self._heap[0].due_at - self.now() if self._heap else None
        if delay_s is None or delay_s > 0:
            self._wake.wait(timeout=delay_s)
        if self._wake.ready():
            self._wake = Signal()

    def _fire(self, entry: Subscription) -> None:
        if entry.closed:
            return
        try:
            entry.callback()
        except Exception as error:
            # One part's fault must not stop the time of all others.
            cause = f"{type(error).__name__}: {error}"
            log_event(Event.TASK_FAILED, task="timer", cause=cause)
        if entry.period_s is not None:
            entry.due_at = self.now() + entry.period_s
            heapq.heappush(self._heap, entry)

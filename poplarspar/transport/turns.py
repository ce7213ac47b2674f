"""Turns of tasks: how long one may run before the others do.

A task gives way when it waits for its socket. One whose peer sends faster than the task
can decode never waits, so it would run alone until its deadline. All sockets count the
time since their task last waited, and let it give way after `MAX_TURN_S`.
"""

from time import monotonic

import eventlet
from eventlet import getcurrent
from eventlet.hubs import get_hub
from eventlet.semaphore import Semaphore

# Far above what reading sound bodies and streams takes between two waits, and far below
# the times that callers notice.
MAX_TURN_S = 0.004


class Turns:
    """Lets tasks that don't wait continue one after the other.

    In each round of the event loop all other tasks run, and one of these for at most
    `MAX_TURN_S`, however many there are. Without other work they take all the time.

    Attributes
    ----------
    ended : int
        Number of turns that ended so, for the metrics.
    """

    def __init__(self) -> None:
        self._next = Semaphore(1)
        self.ended = 0

    @staticmethod
    def begin() -> None:
        """Begin the turn of the present task, which has just waited."""
        getcurrent().turn_began_at = monotonic()

    def check(self) -> None:
        """Let the present task give way if its turn has lasted long enough."""
        task = getcurrent()
        now = monotonic()
        began_at = getattr(task, "turn_began_at", None)
        if began_at is None:
            task.turn_began_at = now
        elif now > began_at + MAX_TURN_S and task is not get_hub().greenlet:
            self.ended += 1
            with self._next:
                eventlet.sleep(0)
            self.begin()


# One for the process, whose event loop all tasks share.
TURNS = Turns()

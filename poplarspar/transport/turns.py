"""Turns of tasks: how long one may run before the others do.

A task gives way when it waits. One whose peer sends faster than the task can decode
never waits, so it would run alone until its deadline. All sockets check for how long
their task has run, and let it give way after `MAX_TURN_S`.
"""

from time import monotonic

import eventlet
from eventlet import getcurrent
from eventlet.hubs import get_hub
from eventlet.semaphore import Semaphore

# Far above what reading sound bodies and streams takes between two waits, and far below
# the times that callers notice.
MAX_TURN_S = 0.004


class _Turn:
    """The turn of one task; the event loop calls `end` whenever the task waits."""

    __slots__ = ("began_at",)

    def __init__(self) -> None:
        self.began_at: float | None = None

    def end(self) -> None:
        self.began_at = None


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

    def check(self) -> None:
        """Let the present task give way if its turn has lasted long enough.

        A turn begins with the first check after the task has waited, for whatever.
        """
        task = getcurrent()
        turn = getattr(task, "turn", None)
        if turn is None:
            turn = task.turn = _Turn()
            task.switch_out = turn.end
        now = monotonic()
        if turn.began_at is None:
            turn.began_at = now
        elif now > turn.began_at + MAX_TURN_S and task is not get_hub().greenlet:
            self.ended += 1
            with self._next:
                eventlet.sleep(0)


# One for the process, whose event loop all tasks share.
TURNS = Turns()

"""Tasks whose unexpected errors are logged, and which then start again."""

from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from poplarspar.events import Event
from poplarspar.logs import log_event

RESTART_DELAY_S = 1.0


def spawn_supervised(task: Callable[..., None], *arguments: object) -> GreenThread:
    """Start a task that runs until it is killed.

    The task restarts after a delay if it returns or raises; an exception is logged.
    """

    def run() -> None:
        while True:
            run_logged(task, *arguments)
            eventlet.sleep(RESTART_DELAY_S)

    return eventlet.spawn(run)


def spawn_logged(task: Callable[..., None], *arguments: object) -> GreenThread:
    """Start a task that runs once; an exception is logged."""
    return eventlet.spawn(run_logged, task, *arguments)


def run_logged(task: Callable[..., None], *arguments: object) -> None:
    """Run a task and log an exception instead of raising it."""
    try:
        task(*arguments)
    except Exception as error:
        cause = f"{type(error).__name__}: {error}"
        log_event(Event.TASK_FAILED, task=task.__qualname__, cause=cause)

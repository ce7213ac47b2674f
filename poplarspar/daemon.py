"""Runs a daemon until a signal stops it."""

import json
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal
from eventlet.greenthread import GreenThread

from poplarspar.events import Event
from poplarspar.logs import log_event, set_up_logging

RESTART_DELAY_S = 1.0
# A settings file may change without a signal, and reading a small file is cheap.
RELOAD_INTERVAL_S = 1.0


class Daemon(Protocol):
    """Interface that `run_daemon` requires of a daemon."""

    addresses: dict[str, str]

    def shut_down(self) -> None:
        """Shut down gracefully."""

    def close(self) -> None:
        """Stop all tasks and close all resources."""


def spawn_supervised(task: Callable[..., None], *arguments: object) -> GreenThread:
    """Start a task that runs for the life of the process.

    The task restarts after a delay if it returns or raises; an exception is logged.
    """

    def run() -> None:
        while True:
            try:
                task(*arguments)
            except Exception as error:
                cause = f"{type(error).__name__}: {error}"
                log_event(Event.TASK_FAILED, task=task.__qualname__, cause=cause)
            eventlet.sleep(RESTART_DELAY_S)

    return eventlet.spawn(run)


def run_daemon(name: str, start, reload=None) -> None:
    """Start a daemon, print its addresses as JSON, and run it until SIGTERM or SIGINT.

    Parameters
    ----------
    name : str
        Name of the daemon, for the log.
    start : callable
        Returns the started `Daemon`.
    reload : callable or None
        Receives the started daemon and rereads its settings. Called every
        `RELOAD_INTERVAL_S` seconds, with or without SIGHUP.
    """
    set_up_logging(name)
    stop_requested = Signal()

    def on_signal(number, frame) -> None:
        if stop_requested.ready():
            log_event(Event.SIGNAL_IGNORED)
        else:
            stop_requested.send()

    # By default, SIGHUP would end the process; the loop below rereads the settings
    # without a signal.
    signal.signal(signal.SIGHUP, lambda number, frame: None)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon = start()
    try:
        log_event(Event.STARTED, **daemon.addresses)
        print(json.dumps(daemon.addresses), flush=True)
        while not stop_requested.ready():
            stop_requested.wait(timeout=RELOAD_INTERVAL_S)
            if reload is not None and not stop_requested.ready():
                reload(daemon)
        daemon.shut_down()
    finally:
        daemon.close()
    sys.exit(0)

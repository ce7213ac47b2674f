"""Runs a daemon until a signal stops it."""

import gc
import json
import signal
import sys
from typing import Protocol

from eventlet.event import Event as Signal

from poplarspar.events import Event
from poplarspar.logs import log_event, set_up_logging

# A settings file may change without a signal, and reading a small file is cheap.
RELOAD_INTERVAL_S = 1.0


class Daemon(Protocol):
    """Interface that `run_daemon` requires of a daemon."""

    addresses: dict[str, str]

    def shut_down(self) -> None:
        """Shut down gracefully."""

    def close(self) -> None:
        """Stop all tasks and close all resources."""


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
    # What is imported lives as long as the process, so collections leave it out.
    gc.freeze()
    gc.enable()
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

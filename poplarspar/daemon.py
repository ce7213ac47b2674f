"""Running a daemon until a signal stops it."""

import json
import signal
import sys
from typing import Protocol

from eventlet.event import Event as Signal

from poplarspar.events import Event, log_event, set_up_logging


class Daemon(Protocol):
    """What `run_daemon` needs of a daemon."""

    addresses: dict[str, str]

    def shut_down(self) -> None:
        """Leave gracefully."""

    def close(self) -> None:
        """Close everything."""


def run_daemon(name: str, start) -> None:
    """Start a daemon, print its addresses as JSON, and run it until SIGTERM.

    Parameters
    ----------
    name : str
        Name of the daemon, for the log.
    start : callable
        Returns the started `Daemon`.
    """
    set_up_logging(name)
    stop = Signal()

    def on_signal(number, frame) -> None:
        if stop.ready():
            log_event(Event.SIGNAL_IGNORED)
        else:
            stop.send()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon = start()
    try:
        log_event(Event.STARTED, **daemon.addresses)
        print(json.dumps(daemon.addresses), flush=True)
        stop.wait()
        daemon.shut_down()
    finally:
        daemon.close()
    sys.exit(0)

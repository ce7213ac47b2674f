"""Numbered log events and the JSON logger that writes them."""

import logging
import sys
from enum import Enum

from pythonjsonlogger.json import JsonFormatter


class Event(Enum):
    """Every event, with its number and message; docs/EVENTS.md explains each."""

    STARTED = (100, "daemon started")
    DRAINING = (101, "graceful shutdown began")
    STOPPED = (102, "daemon stopped")
    BAD_SETTINGS = (103, "settings were refused")
    SIGNAL_IGNORED = (104, "second stop signal while shutting down")
    VIEW_CHANGED = (200, "new revision in force here")
    BECAME_FRESH = (201, "view is fresh")
    BECAME_STALE = (202, "view is no longer fresh; new work is refused")
    STEWARD_LOST = (203, "link to steward lost")
    STEWARD_LINKED = (204, "linked to steward")
    PEER_REFUSED = (205, "peer refused")
    PEER_LOST = (206, "link to peer steward lost")
    STORE_LOST = (300, "store does not answer")
    STORE_BACK = (301, "store answers again")
    PLANNER_STARTED = (310, "this steward is the planner")
    PLANNER_ENDED = (311, "this steward is no longer the planner")
    PUBLISHED = (400, "objects published")
    PUBLISH_CONFLICT = (401, "publish met a conflict")
    PUBLISH_UNKNOWN = (402, "outcome of a publish is unknown")
    OPERATOR_REFUSED = (403, "operator request without a valid token")
    REQUEST_FAILED = (500, "request failed inside the daemon")

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def message(self) -> str:
        """The event's message."""
        return self.value[1]


_LOGGER = logging.getLogger("poplarspar")


def set_up_logging(daemon: str) -> None:
    """Write events of this process to standard error, one JSON object a line.

    Parameters
    ----------
    daemon : str
        Name of the daemon, put into each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"daemon": daemon},
    )
    handler.setFormatter(formatter)
    _LOGGER.handlers = [handler]
    _LOGGER.propagate = False
    _LOGGER.setLevel(logging.INFO)


def log_event(event: Event, **fields: object) -> None:
    """Write one event with its fields; never pass secrets or callers' texts."""
    _LOGGER.info(event.message, extra={"event": event.number, **fields})

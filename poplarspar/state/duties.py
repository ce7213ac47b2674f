"""Duties towards the platform, which one node performs at a time."""

from dataclasses import dataclass
from enum import Enum


class Duty(Enum):
    """A kind of call to the platform that one node at a time may make."""

    USAGE = "usage"
    CAPACITY = "capacity"


@dataclass(frozen=True)
class DutySettings:
    """Where and how the duties are performed.

    Attributes
    ----------
    address : str
        Host and port of the platform's interface for duties.
    calls_per_s : float
        Limit on such calls of all nodes together, per second.
    hold_s : float
        Time within which two holders must not act in turns, in seconds.
    window_s : float
        Length of a usage window, in seconds; 0 without usage reports.
    due_s : float
        Time after the end of a window until its report is due, in seconds.
    """

    address: str
    duties: frozenset[Duty]
    calls_per_s: float
    hold_s: float
    window_s: float
    due_s: float


@dataclass(frozen=True)
class DutyTerm:
    """The right of one node to perform the duties.

    Attributes
    ----------
    holder : str
        Name of the node, the same after a restart of its process.
    token : int
        Fencing token, which rises whenever the holder changes.
    """

    holder: str
    token: int


@dataclass(frozen=True)
class UsageReport:
    """Requests of each workspace that began to run in one window.

    Attributes
    ----------
    window : int
        Number of the window: its begin in Unix time, divided by the window's length.
    """

    window: int
    requests_by_workspace: dict[str, int]


@dataclass(frozen=True)
class CapacityOrder:
    """An order for a number of backend servers of a service in an availability zone."""

    service: str
    zone: str
    count: int


@dataclass(frozen=True)
class Performed:
    """The platform has accepted the call."""


@dataclass(frozen=True)
class Superseded:
    """The platform has seen a higher fencing token, so another node holds the duty."""


@dataclass(frozen=True)
class Postponed:
    """The platform has refused the call, since there were too many or it is down."""


@dataclass(frozen=True)
class NotAnswered:
    """No answer arrived; the call may take effect later."""


DutyResult = Performed | Superseded | Postponed | NotAnswered

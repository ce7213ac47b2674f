"""What backend servers ask of this node in their answers, besides limits.

A limit (`rate_limits`) is divided between all nodes, since they share its requests. A
notice holds for the node that got it, so it needs no messages.
"""

import math
import time
from collections.abc import Collection
from dataclasses import dataclass

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer

# The store drops entries in an outage and lists them again afterwards.
UNLISTED_TTL_S = 60.0
# No backend server takes itself out of use for longer by one answer.
MAX_PAUSE_S = 300.0
# Within this time after a pause, a node goes back to all slots step by step.
RETURN_S = 1.0


@dataclass(frozen=True)
class Leaving:
    """The backend server is about to stop, and takes no new requests."""


@dataclass(frozen=True)
class Pause:
    """The backend server wants no requests of this node for some time, in seconds."""

    duration_s: float


Notice = Leaving | Pause


class ServerNotices:
    """The notices that backend servers have given this node, by their incarnation.

    Neither an older entry nor a plan undoes them. A server that starts again is another
    incarnation, and gets requests again.

    Attributes
    ----------
    left_at_by_incarnation : dict of tuple to float
        Monotonic times in seconds at which backend servers last said that they leave.
    pause_ends_at_by_incarnation : dict of tuple to float
        Monotonic times in seconds at which pauses end. Mostly both are empty, which
        the choice of a target relies on to be quick.
    """

    def __init__(self) -> None:
        self.left_at_by_incarnation: dict[tuple[str, int], float] = {}
        self.pause_ends_at_by_incarnation: dict[tuple[str, int], float] = {}

    def record(self, backend: BackendServer, notice: Notice, status: int) -> None:
        """Record a notice in an answer with a status."""
        match notice:
            case Leaving():
                self._record_leaving(backend, status)
            case Pause(duration_s):
                self._record_pause(backend, min(duration_s, MAX_PAUSE_S), status)

    def is_leaving(self, backend: BackendServer) -> bool:
        """Return whether a backend server has said that it is leaving."""
        return backend.incarnation in self.left_at_by_incarnation

    def paused_s(self, backend: BackendServer, now: float) -> float:
        """Return the rest of a backend server's pause in seconds, 0 without one."""
        ends_at = self.pause_ends_at_by_incarnation.get(backend.incarnation, now)
        return max(0.0, ends_at - now)

    def admitted_in_flight(
        self, backend: BackendServer, slots: int, now: float
    ) -> int | None:
        """Return how many requests may run there after a pause, None for any number.

        The callers that wait for its end would otherwise all arrive at that moment.
        """
        ends_at = self.pause_ends_at_by_incarnation.get(backend.incarnation)
        if ends_at is None:
            return None
        since_s = now - ends_at
        if since_s >= RETURN_S:
            del self.pause_ends_at_by_incarnation[backend.incarnation]
            return None
        return max(0, math.ceil(slots * since_s / RETURN_S))

    def retain(self, incarnations: Collection[tuple[str, int]]) -> None:
        """Drop other backend servers unless they may be listed again soon."""
        since = time.monotonic() - UNLISTED_TTL_S
        for incarnation in self.left_at_by_incarnation.keys() - set(incarnations):
            if self.left_at_by_incarnation[incarnation] < since:
                del self.left_at_by_incarnation[incarnation]
        now = time.monotonic()
        self.pause_ends_at_by_incarnation = {
            incarnation: ends_at
            for incarnation, ends_at in self.pause_ends_at_by_incarnation.items()
            if ends_at + RETURN_S > now
        }

    def leaving_count(self) -> int:
        """Return the number of backend servers that are leaving."""
        return len(self.left_at_by_incarnation)

    def paused_count(self) -> int:
        """Return the number of backend servers whose pause has not ended."""
        now = time.monotonic()
        return sum(at > now for at in self.pause_ends_at_by_incarnation.values())

    def _record_pause(
        self, backend: BackendServer, duration_s: float, status: int
    ) -> None:
        now = time.monotonic()
        known = self.pause_ends_at_by_incarnation.get(
            backend.incarnation, float("-inf")
        )
        if known >= now + duration_s:
            # An answer to a request that was sent before the longer pause.
            return
        if known < now:
            log_event(
                Event.BACKEND_PAUSED,
                backend=backend.id,
                started=backend.started_ms,
                status=status,
                duration_s=duration_s,
            )
        self.pause_ends_at_by_incarnation[backend.incarnation] = now + duration_s

    def _record_leaving(self, backend: BackendServer, status: int) -> None:
        if backend.incarnation not in self.left_at_by_incarnation:
            log_event(
                Event.BACKEND_LEAVING,
                backend=backend.id,
                started=backend.started_ms,
                status=status,
            )
        self.left_at_by_incarnation[backend.incarnation] = time.monotonic()

"""What backend servers ask of this node in their answers, besides limits.

A limit (`rate_limits`) is divided between all nodes, since they share its requests. A
notice holds for the node that got it, so it needs no messages.
"""

import time
from collections.abc import Collection
from dataclasses import dataclass

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer

# The store drops entries in an outage and lists them again afterwards.
UNLISTED_TTL_S = 60.0


@dataclass(frozen=True)
class Leaving:
    """The backend server is about to stop, and takes no new requests."""


Notice = Leaving


class ServerNotices:
    """The notices that backend servers have given this node, by their incarnation.

    Neither an older entry nor a plan undoes them. A server that starts again is another
    incarnation, and gets requests again.
    """

    def __init__(self) -> None:
        self._left_at_by_incarnation: dict[tuple[str, int], float] = {}

    def record(self, backend: BackendServer, notice: Notice, status: int) -> None:
        """Record a notice in an answer with a status."""
        match notice:
            case Leaving():
                self._record_leaving(backend, status)

    def is_leaving(self, backend: BackendServer) -> bool:
        """Return whether a backend server has said that it is leaving."""
        left_at = self._left_at_by_incarnation
        return bool(left_at) and backend.incarnation in left_at

    def retain(self, incarnations: Collection[tuple[str, int]]) -> None:
        """Drop other backend servers unless they may be listed again soon."""
        since = time.monotonic() - UNLISTED_TTL_S
        for incarnation in self._left_at_by_incarnation.keys() - set(incarnations):
            if self._left_at_by_incarnation[incarnation] < since:
                del self._left_at_by_incarnation[incarnation]

    def leaving_count(self) -> int:
        """Return the number of backend servers that are leaving."""
        return len(self._left_at_by_incarnation)

    def _record_leaving(self, backend: BackendServer, status: int) -> None:
        if backend.incarnation not in self._left_at_by_incarnation:
            log_event(
                Event.BACKEND_LEAVING,
                backend=backend.id,
                started=backend.started_ms,
                status=status,
            )
        self._left_at_by_incarnation[backend.incarnation] = time.monotonic()

"""Limits on requests per second that backend servers name in their answers."""

import time
from dataclasses import dataclass

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer


@dataclass
class _Limit:
    """What is known of one incarnation of a backend server.

    Attributes
    ----------
    requests_per_s : float or None
        The limit, None for no limit.
    observed_at : float
        Monotonic time of the answer that named it.
    """

    requests_per_s: float | None
    observed_at: float


class RateLimits:
    """The limits that backend servers have named, by incarnation."""

    def __init__(self) -> None:
        self._limit_by_incarnation: dict[tuple[str, int], _Limit] = {}

    def observe(
        self, backend: BackendServer, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit in an answer to a request sent at a monotonic time.

        An answer without a limit ends one only if its request was sent after an
        answer that named it, since answers may overtake each other.
        """
        known = self._limit_by_incarnation.get(backend.incarnation)
        before = known.requests_per_s if known else None
        if requests_per_s is None and (before is None or sent_at < known.observed_at):
            return
        self._limit_by_incarnation[backend.incarnation] = _Limit(
            requests_per_s, time.monotonic()
        )
        if requests_per_s != before:
            log_event(
                Event.RATE_LIMIT_CHANGED,
                backend=backend.id,
                limit=requests_per_s,
                before=before,
            )

    def count(self) -> int:
        """Return the number of backend servers with a limit."""
        return sum(
            limit.requests_per_s is not None
            for limit in self._limit_by_incarnation.values()
        )

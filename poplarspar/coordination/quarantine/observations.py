"""Admission of single requests by the quarantine, and their outcomes."""

import time
from dataclasses import dataclass
from typing import Protocol

from poplarspar.state.backends import BackendServer

# A backend server crashes on a request when it begins to write the answer. One that
# sends events for this long after the first one does not crash on it.
PROOF_S = 0.3


class OutcomeRecords(Protocol):
    """Records of the outcomes of requests; see `Quarantine`."""

    def is_suspected(self, parts: tuple[str, ...]) -> bool:
        """Return whether requests with one of the parts have failed repeatedly."""

    def record_disconnected(self, backend: str) -> bool:
        """Record that an incarnation disconnected; False if it had crashed before."""

    def record_answering(self, backend: str) -> None:
        """Record that an incarnation of a backend server runs."""

    def record_begun(self, parts: tuple[str, ...], pool: str, begun_at: float) -> None:
        """Clear the parts of a request whose answer began and did not break off."""

    def record_unanswered(
        self, parts: tuple[str, ...], pool: str, backends: list[str]
    ) -> None:
        """Add a request that was not answered to the evidence."""


@dataclass(frozen=True)
class Admitted:
    """The request may be sent; its sender reports to the observation and closes it."""

    observation: "Observation"


@dataclass(frozen=True)
class Quarantined:
    """The request would crash its backend server."""

    retry_after_s: float


Admission = Admitted | Quarantined


class Observation:
    """Outcome of one admitted request, for the evidence.

    Attributes
    ----------
    is_trial : bool
        Whether the request has quarantined parts and shows if they are sound.
    """

    def __init__(
        self,
        records: "OutcomeRecords",
        parts: tuple[str, ...],
        pool: str,
        is_trial: bool,
    ) -> None:
        self._records = records
        self._parts = parts
        self._pool = pool
        self._is_trial = is_trial
        self._lost_backends: list[str] = []
        self._first_event_at: float | None = None
        self._sound = False

    def may_retry(self) -> bool:
        """Return whether the request may be sent to another backend server."""
        if self._sound:
            return True
        return not self._is_trial and not self._records.is_suspected(self._parts)

    def record_disconnected(self, backend: BackendServer) -> None:
        """Record that a backend server disconnected before its answer was complete."""
        incarnation = _incarnation(backend)
        if self._records.record_disconnected(incarnation) and not self._sound:
            self._lost_backends.append(incarnation)

    def record_answering(self, backend: BackendServer) -> None:
        """Record the head of a backend server's answer."""
        self._first_event_at = None
        self._records.record_answering(_incarnation(backend))

    def record_event(self) -> None:
        """Record an event of the backend server that answers."""
        if self._sound:
            return
        now = time.monotonic()
        if self._first_event_at is None:
            self._first_event_at = now
        elif now >= self._first_event_at + PROOF_S:
            self._record_sound(self._first_event_at)

    def record_complete(self) -> None:
        """Record that a backend server has certainly ended its answer."""
        if not self._sound:
            first_event_at = self._first_event_at
            self._record_sound(
                time.monotonic() if first_event_at is None else first_event_at
            )

    def _record_sound(self, begun_at: float) -> None:
        self._sound = True
        self._records.record_begun(self._parts, self._pool, begun_at)

    def close(self) -> None:
        """Record the outcome; safe to call more than once."""
        lost_backends, self._lost_backends = self._lost_backends, []
        if lost_backends and self._parts and not self._sound:
            self._records.record_unanswered(self._parts, self._pool, lost_backends)


def _incarnation(backend: BackendServer) -> str:
    return f"{backend.id}/{backend.started_ms}"

"""Limits on requests per second that backend servers name."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RateLimit:
    """The limit in the newest known answer of one incarnation of a backend server.

    Attributes
    ----------
    requests_per_s : float or None
        Requests per second that it takes from all nodes together, None for no limit.
    observed_at : float
        Monotonic time in seconds at which the answer arrived.
    """

    backend: str
    started_ms: int
    requests_per_s: float | None
    observed_at: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start of the backend server."""
        return (self.backend, self.started_ms)

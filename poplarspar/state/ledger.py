"""Requests and tokens in flight at an owned backend server, and their limit."""

from dataclasses import dataclass

from poplarspar.state.objects import Bounds, Deployment


@dataclass
class Ledger:
    """Capacity of one backend server, as counted by the entry that owns it.

    The limit starts at the capacity of a cold backend server. It doubles each time
    the backend server completes enough answers at the current limit, and never
    because of elapsed time alone.

    Attributes
    ----------
    incarnations : tuple of str
        Incarnations of the members that the limit applies to, the leader's first;
        empty before the first observation.
    last_observed_at : float
        Monotonic time in seconds of the last observation of these incarnations.
    completed : int
        Answers completed since the last change of the limit.
    """

    backend: str
    cold: Bounds
    warm: Bounds
    warm_after: int
    limit: Bounds
    incarnations: tuple[str, ...] = ()
    last_observed_at: float = float("-inf")
    completed: int = 0
    requests: int = 0
    tokens: int = 0

    @classmethod
    def create(cls, backend: str, deployment: Deployment) -> "Ledger":
        """Return an empty ledger with the limit of a cold backend server."""
        return cls(
            backend,
            deployment.cold,
            deployment.warm,
            deployment.warm_after,
            deployment.cold,
        )

    def has_room(self, tokens: int) -> bool:
        """Return whether the limit admits one more request of `tokens`."""
        return (
            self.requests < self.limit.requests
            and self.tokens + tokens <= self.limit.tokens
        )

    def reserve(self, tokens: int) -> None:
        """Add a request of `tokens`."""
        self.requests += 1
        self.tokens += tokens

    def release(self, tokens: int) -> None:
        """Remove a request of `tokens`."""
        self.requests -= 1
        self.tokens -= tokens

    def record_incarnations(self, incarnations: tuple[str, ...], now: float) -> bool:
        """Record observed incarnations; reset the limit if any of them changed.

        Returns
        -------
        bool
            Whether the incarnations changed, so that the backend server is cold.
        """
        changed = incarnations != self.incarnations
        if changed:
            self.reset_limit()
            self.incarnations = incarnations
        self.last_observed_at = now
        return changed

    def reset_limit(self) -> None:
        """Reset to the limit of a cold backend server."""
        self.limit = self.cold
        self.completed = 0

    def is_current_incarnation(self, incarnation: str) -> bool:
        """Return whether an answer comes from the recorded incarnation of the leader.

        An answer without an incarnation passes the check.
        """
        return not incarnation or incarnation in self.incarnations[:1]

    def complete(self) -> None:
        """Count a completed answer, and double the limit once there are enough."""
        self.completed += 1
        if self.completed < max(self.warm_after, self.limit.requests):
            return
        self.completed = 0
        self.limit = Bounds(
            min(self.limit.requests * 2, self.warm.requests),
            min(self.limit.tokens * 2, self.warm.tokens),
        )

    @property
    def load(self) -> float:
        """Fraction of the limit in use; above 1 after a reset lowered the limit."""
        return max(
            self.requests / self.limit.requests,
            self.tokens / self.limit.tokens,
        )

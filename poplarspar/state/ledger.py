"""Requests and tokens in use at one owned backend server, and its limit."""

from dataclasses import dataclass

from poplarspar.state.objects import Bounds, Deployment


@dataclass
class Ledger:
    """Account of one backend server's capacity at its owner.

    The limit starts at what a cold backend server bears. It doubles each time
    enough answers were completed at the present limit, never by time alone.

    Attributes
    ----------
    incarnations : tuple of str
        Incarnations of the members that the limit was earned by, the leader's
        first; empty before any evidence.
    evidence_at : float
        Monotonic time in seconds of the last sign of that incarnation.
    completed : int
        Answers completed since the limit last changed.
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
        """Return the empty account of a backend server that counts as cold."""
        return cls(
            backend,
            deployment.cold,
            deployment.warm,
            deployment.warm_after,
            deployment.cold,
        )

    def has_room(self, tokens: int) -> bool:
        """Return whether one more request of `tokens` stays within the limit."""
        return (
            self.requests < self.limit.requests
            and self.tokens + tokens <= self.limit.tokens
        )

    def reserve(self, tokens: int) -> None:
        """Count one more request of `tokens`."""
        self.requests += 1
        self.tokens += tokens

    def release(self, tokens: int) -> None:
        """Count one request of `tokens` less."""
        self.requests -= 1
        self.tokens -= tokens

    def record_incarnations(self, incarnations: tuple[str, ...], now: float) -> bool:
        """Take in evidence of the members' incarnations.

        Returns
        -------
        bool
            Whether the backend server turned out to be a new, cold one.
        """
        changed = incarnations != self.incarnations
        if changed:
            self.reset_limit()
            self.incarnations = incarnations
        self.last_observed_at = now
        return changed

    def reset_limit(self) -> None:
        """Go back to the limit of a cold backend server."""
        self.limit = self.cold
        self.completed = 0

    def is_current_incarnation(self, incarnation: str) -> bool:
        """Return whether an answer comes from the known incarnation of the leader.

        A backend server that names no incarnation counts as known.
        """
        return not incarnation or incarnation in self.incarnations[:1]

    def complete(self) -> None:
        """Count a completed answer, which may raise the limit a step."""
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
        """Part of the limit in use, between 0 and 1 or above after a cut."""
        return max(
            self.requests / self.limit.requests,
            self.tokens / self.limit.tokens,
        )

"""One destination of requests, with its load and its recent failures."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from poplarspar.coordination.forwarding.held_prompts import HeldPrompts
from poplarspar.state.backends import BackendServer, Load
from poplarspar.state.serving import Engine

# With ten requests per second at each node, most requests in an older load report
# have ended.
LOAD_MAX_AGE_S = 1.0
# A failure counts as much as all earlier results. The rate decays within seconds,
# since a backend server that gets no requests can't show that it has recovered.
FAILURE_WEIGHT = 0.5
FAILURE_DECAY_S = 3.0
# The mean answer time reflects about the last five answers.
ANSWER_TIME_WEIGHT = 0.2
# A working replica group shows progress at least this often, unless it prefills
# several long prompts. The longer the pause beyond this, the likelier a failure.
PROGRESS_INTERVAL_S = 0.1


class MovableStream(Protocol):
    """A stream that another replica group can continue."""

    def silent_s(self, now: float) -> float:
        """Return the time since the stream's last new event, or since it was sent."""

    def move(self) -> bool:
        """Move to another replica group if possible, and return whether it moves."""


@dataclass(eq=False)
class Target:
    """A backend server, or the head of an open replica group.

    Attributes
    ----------
    in_flight, prefill_tokens : int
        Requests of this node at the target, and prompt tokens of those whose answer
        has not begun.
    others_in_flight, others_prefill_tokens : int
        The same for all other nodes, from the last plan.
    stalled_for_others : bool
        Whether another node observes a stall of the group.
    slowdown : float
        Factor on the engine's configured times.
    failure_rate : float
        Recent rate of failures, from 0 to 1, at `failure_rate_at`.
    mean_answer_s : float
        Mean answer time of a service without an engine, 0 before the first answer.
    progress_at : float
        Monotonic time of the last event or answer, or of the first request after an
        idle time.
    held : HeldPrompts or None
        Prompts that it is believed to hold, None if it keeps none.
    """

    backend: BackendServer
    slots: int
    model: str
    group: tuple[str, int] | None
    in_flight: int = 0
    prefill_tokens: int = 0
    others_in_flight: int = 0
    others_prefill_tokens: int = 0
    stalled_for_others: bool = False
    slowdown: float = 1.0
    reported_load: Load | None = None
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    cold_until: float = float("-inf")
    sent_at_times: deque[float] = field(default_factory=deque)
    exchanges: set = field(default_factory=set)
    streams: set[MovableStream] = field(default_factory=set)
    progress_at: float = float("-inf")
    mean_answer_s: float = 0.0
    held: HeldPrompts | None = None

    def expected_in_flight(self, now: float) -> int:
        """Return the expected number of requests of all nodes at the target."""
        others = self.others_in_flight
        if now - self.reported_at < LOAD_MAX_AGE_S and self.reported_load is not None:
            reported = self.reported_load.running + self.reported_load.waiting
            others = max(others, reported - self.in_flight_at_report)
        return self.in_flight + others

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens of all nodes that wait for prefill at the target."""
        return max(0, self.prefill_tokens) + self.others_prefill_tokens

    def prefill_s(self, engine: Engine, extra_tokens: int = 0) -> float:
        """Return the time to prefill the pending prompts and `extra_tokens` more."""
        time_factor = engine.models_by_name[self.model].time_factor * self.slowdown
        return (
            (self.pending_prefill_tokens + extra_tokens)
            / engine.tokens_read_per_s
            * time_factor
        )

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed by the time since its last update."""
        age_s = now - self.failure_rate_at
        return self.failure_rate * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def record_failure(self) -> None:
        """Count an attempt that failed."""
        now = time.monotonic()
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT
        self.failure_rate_at = now

    def record_success(self) -> None:
        """Count an attempt that succeeded."""
        now = time.monotonic()
        self.failure_rate = self.current_failure_rate(now) * (1.0 - FAILURE_WEIGHT)
        self.failure_rate_at = now

    def record_answer_time(self, sample_s: float) -> None:
        """Update the mean answer time with one answer."""
        if not self.mean_answer_s:
            self.mean_answer_s = sample_s
        self.mean_answer_s += (sample_s - self.mean_answer_s) * ANSWER_TIME_WEIGHT

    def record_load(self, load: Load | None) -> None:
        """Store a load that the backend server reported, if any."""
        if load is not None:
            self.reported_load = load
            self.reported_at = time.monotonic()
            self.in_flight_at_report = self.in_flight

    def record_progress(self) -> None:
        """Set the time of the last progress to now."""
        self.progress_at = time.monotonic()

    def stalled_s(self, now: float) -> float:
        """Return the time without progress on this node's requests to the group."""
        if self.group is None or not self.in_flight:
            return 0.0
        return max(0.0, now - self.progress_at)

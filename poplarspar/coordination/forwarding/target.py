"""One place that requests may be sent to, and what is known of its work."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from poplarspar.state.backends import BackendServer, Load
from poplarspar.state.serving import Engine

# A load that a backend server told is a guide for about this long: with ten
# requests a second at each node, most of what ran then has ended.
LOAD_AGE_S = 1.0
# A failure weighs half of all that is known, and is forgotten within seconds, since
# a backend server that nobody tries can't show that it is well again.
FAILURE_WEIGHT = 0.5
FAILURE_DECAY_S = 3.0
# About five answers decide what a backend server's usual time is.
TIME_WEIGHT = 0.2
# A replica group that works shows it at least this often, unless it reads several
# long prompts; beyond, each moment makes its loss more likely.
PROGRESS_INTERVAL_S = 0.1


class MovableStream(Protocol):
    """A stream that another replica group can go on with."""

    def move(self) -> bool:
        """Go on elsewhere, if that may be, and return whether it does."""


@dataclass(eq=False)
class Target:
    """A backend server, or the head of an open replica group.

    Attributes
    ----------
    in_flight, reading_tokens : int
        Own requests there, and prompt tokens of those without a first event.
    others, others_reading : int
        The same of all other nodes, as far as they have told.
    quota : int or None
        Own requests that may be there until more is told of the others', so that
        nodes don't all take the same free slot.
    stalled_elsewhere : bool
        Whether another node sees no sign of work there.
    pace : float
        How much slower it is than the engine's figures.
    trouble : float
        Recent share of failures, from 0 to 1, as of `trouble_at`.
    answer_s : float
        Usual time of an answer of a plain service, 0 while none has come.
    progress_at : float
        Time of the last sign of work, or of the first request since it was idle.
    """

    backend: BackendServer
    slots: int
    model: str
    group: tuple[str, int] | None
    in_flight: int = 0
    prefill_tokens: int = 0
    others_in_flight: int = 0
    others_prefill_tokens: int = 0
    in_flight_limit: int | None = None
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
    answer_s: float = 0.0

    def expected_in_flight(self, now: float) -> int:
        """Return how many requests are expected to be there."""
        others = self.others_in_flight
        if now - self.reported_at < LOAD_AGE_S and self.reported_load is not None:
            told = self.reported_load.running + self.reported_load.waiting
            others = max(others, told - self.in_flight_at_report)
        return self.in_flight + others

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens that are expected to be read there first."""
        return max(0, self.prefill_tokens) + self.others_prefill_tokens

    def prefill_s(self, engine: Engine, more: int = 0) -> float:
        """Return how long its replica group reads prompts, and more tokens after."""
        pace = engine.models_by_name[self.model].time_factor * self.slowdown
        return (self.pending_prefill_tokens + more) / engine.tokens_read_per_s * pace

    def current_failure_rate(self, now: float) -> float:
        """Return the share of failures, faded by the time since then."""
        age_s = now - self.failure_rate_at
        return self.failure_rate * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def record_failure(self) -> None:
        """Count an attempt that failed."""
        now = time.monotonic()
        trouble = self.current_failure_rate(now)
        self.failure_rate = trouble + (1.0 - trouble) * FAILURE_WEIGHT
        self.failure_rate_at = now

    def record_success(self) -> None:
        """Count an attempt that succeeded."""
        now = time.monotonic()
        self.failure_rate = self.current_failure_rate(now) * (1.0 - FAILURE_WEIGHT)
        self.failure_rate_at = now

    def record_answer_time(self, mean_answer_s: float) -> None:
        """Take the time of one answer into the usual one."""
        if not self.answer_s:
            self.answer_s = mean_answer_s
        self.answer_s += (mean_answer_s - self.answer_s) * TIME_WEIGHT

    def record_load(self, load: Load | None) -> None:
        """Keep the load that the backend server told."""
        if load is not None:
            self.reported_load = load
            self.reported_at = time.monotonic()
            self.in_flight_at_report = self.in_flight

    def record_progress(self) -> None:
        """Keep the time of the last sign of work."""
        self.progress_at = time.monotonic()

    def stalled_s(self, now: float) -> float:
        """Return for how long own requests have seen no sign of work."""
        if self.group is None or not self.in_flight:
            return 0.0
        return max(0.0, now - self.progress_at)

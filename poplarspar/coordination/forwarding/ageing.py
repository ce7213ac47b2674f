"""Recent requests by kind, and the kinds that get too little."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

TIME_CONSTANT_S = 4.0
# A kind that is started less often than this, relative to all requests, goes first.
# Callers must get a quarter; a node sees only its own part of a kind's requests.
STARVED_SHARE = 0.5
# With fewer requests lately, a share says little.
MIN_ASKED = 3.0


@dataclass(frozen=True)
class Kind:
    """Requests with one property in common, such as their priority."""

    property: str
    value: str | int


@dataclass
class RecentCount:
    """A count that decays with `TIME_CONSTANT_S`."""

    value: float = 0.0
    counted_at: float = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add to the count, which never falls below 0."""
        self.value = max(0.0, self.read(now) + amount)
        self.counted_at = now

    def read(self, now: float) -> float:
        """Return the decayed count."""
        return self.value * math.exp((self.counted_at - now) / TIME_CONSTANT_S)


class ServedShares:
    """Requests for one model that were asked for and started lately, by kind."""

    def __init__(self) -> None:
        self._asked = RecentCount()
        self._started = RecentCount()
        self._asked_by_kind: dict[Kind, RecentCount] = {}
        self._started_by_kind: dict[Kind, RecentCount] = {}

    def record_asked(self, kinds: Iterable[Kind], now: float) -> None:
        """Count a caller's request."""
        self._asked.add(now)
        for kind in kinds:
            self._asked_by_kind.setdefault(kind, RecentCount()).add(now)

    def record_started(self, kinds: Iterable[Kind], now: float) -> None:
        """Count a request that has got room."""
        self._started.add(now)
        for kind in kinds:
            self._started_by_kind.setdefault(kind, RecentCount()).add(now)

    def record_declined(self, kinds: Iterable[Kind], now: float) -> None:
        """Count a request as not started, since its target has not run it."""
        self._started.add(now, -1.0)
        for kind in kinds:
            if kind in self._started_by_kind:
                self._started_by_kind[kind].add(now, -1.0)

    def started(self, kind: Kind, now: float) -> float:
        """Return how many requests of a kind were started lately."""
        count = self._started_by_kind.get(kind)
        return count.read(now) if count else 0.0

    def is_starved(self, kinds: Iterable[Kind], now: float) -> bool:
        """Return whether any of a request's kinds gets too little."""
        asked = self._asked.read(now)
        if asked <= 0:
            return False
        least_share = STARVED_SHARE * self._started.read(now) / asked
        return any(self._is_below(kind, least_share, now) for kind in kinds)

    def _is_below(self, kind: Kind, least_share: float, now: float) -> bool:
        count = self._asked_by_kind.get(kind)
        asked = count.read(now) if count else 0.0
        return asked >= MIN_ASKED and self.started(kind, now) < least_share * asked

    def starved_kinds(self, now: float) -> list[Kind]:
        """Return all kinds that get too little."""
        return [kind for kind in self._asked_by_kind if self.is_starved((kind,), now)]

    def more_urgent_share(self, priority: int, now: float) -> float:
        """Return the share of recent requests that are more urgent than a priority."""
        asked = self._asked.read(now)
        more_urgent = sum(
            count.read(now)
            for kind, count in self._asked_by_kind.items()
            if kind.property == "priority" and kind.value < priority
        )
        return more_urgent / asked if asked else 0.0

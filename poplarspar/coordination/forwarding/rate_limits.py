"""Limits on requests per second that backend servers name in their answers.

All nodes divide a limit without messages: time is divided into slots, a slot has the
number of requests that the limit allows in it, and each request belongs to one node,
another one in each slot. A node that has just started and knows no limit yet gets it
from the plan.
"""

import math
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer
from poplarspar.state.rate_limits import RateLimit

SLOT_S = 1.0
# A limit of zero would never be named again, so nothing would end it.
MIN_REQUESTS_PER_S = 0.1
# Nodes repeat what they observed in several load reports, in case the planner changes.
REPORTED_S = 3.0
MAX_REPORTED = 64
# The store drops entries in an outage and lists them again afterwards.
UNLISTED_TTL_S = 30.0


@dataclass(frozen=True)
class NamedLimit:
    """An answer names the requests per second of all nodes together."""

    requests_per_s: float


@dataclass(frozen=True)
class NoLimit:
    """An answer names no limit."""


@dataclass(frozen=True)
class UnreadableLimit:
    """An answer names a limit that can't be decoded, which changes nothing."""


ObservedLimit = NamedLimit | NoLimit | UnreadableLimit


@dataclass
class _Usage:
    """A node's requests to one backend server in a slot.

    Attributes
    ----------
    share : int
        Requests of the slot that belong to the node.
    carried : int
        Requests that the node did not use in the slot before, for uneven traffic.
    """

    slot: int
    share: int
    carried: int
    sent: int = 0

    @property
    def unused(self) -> int:
        """Requests of the slot's share that the node has not sent."""
        return max(0, self.share - max(0, self.sent - self.carried))


class RateLimits:
    """The limits that backend servers have named, and this node's share of them.

    Parameters
    ----------
    share : callable
        Returns this node's share of a number that all nodes divide, given the number
        and the subject that it applies to.
    """

    def __init__(self, share: Callable[[int, str], int]) -> None:
        self._share = share
        self._by_incarnation: dict[tuple[str, int], RateLimit] = {}
        self._own_by_incarnation: dict[tuple[str, int], RateLimit] = {}
        self._usage_by_incarnation: dict[tuple[str, int], _Usage] = {}

    def observe(
        self, backend: BackendServer, observed: ObservedLimit, sent_at: float
    ) -> None:
        """Record the limit in an answer to a request sent at a monotonic time.

        An answer without a limit ends one only if its request was sent after an
        answer that named it, since answers may overtake each other.
        """
        known = self._by_incarnation.get(backend.incarnation)
        match observed:
            case NamedLimit(requests_per_s):
                pass
            case NoLimit() if known is not None and sent_at >= known.observed_at:
                requests_per_s = None
            case _:
                return
        limit = RateLimit(*backend.incarnation, requests_per_s, time.monotonic())
        self._own_by_incarnation[backend.incarnation] = limit
        self._set(limit)

    def merge(self, limits: Iterable[RateLimit]) -> None:
        """Apply what other nodes have observed, where it is newer."""
        for limit in limits:
            known = self._by_incarnation.get(limit.incarnation)
            if known is None and limit.requests_per_s is None:
                continue
            if known is None or limit.observed_at > known.observed_at:
                self._set(limit)

    def reports(self) -> tuple[RateLimit, ...]:
        """Return what this node has observed recently, for the other nodes."""
        since = time.monotonic() - REPORTED_S
        self._own_by_incarnation = {
            incarnation: limit
            for incarnation, limit in self._own_by_incarnation.items()
            if limit.observed_at > since
        }
        newest = sorted(
            self._own_by_incarnation.values(), key=lambda limit: -limit.observed_at
        )
        return tuple(newest[:MAX_REPORTED])

    def retain(self, incarnations: Collection[tuple[str, int]]) -> None:
        """Drop other backend servers unless they may be listed again soon."""
        since = time.monotonic() - UNLISTED_TTL_S
        for incarnation in self._by_incarnation.keys() - set(incarnations):
            if self._by_incarnation[incarnation].observed_at < since:
                del self._by_incarnation[incarnation]
                self._usage_by_incarnation.pop(incarnation, None)

    def may_send(self, backend: BackendServer) -> bool:
        """Return whether this node may send the backend server a request now."""
        limit = self._by_incarnation.get(backend.incarnation)
        if limit is None or limit.requests_per_s is None:
            return True
        usage = self._current_usage(limit)
        return usage.sent < usage.carried + usage.share

    def wait_s(self, backend: BackendServer) -> float:
        """Return the time in seconds until this node may send a request."""
        return 0.0 if self.may_send(backend) else self.next_slot_s()

    def record_sent(self, backend: BackendServer) -> None:
        """Count a request to a backend server, if it has a limit."""
        limit = self._by_incarnation.get(backend.incarnation)
        if limit is not None and limit.requests_per_s is not None:
            self._current_usage(limit).sent += 1

    def count(self) -> int:
        """Return the number of backend servers with a limit."""
        return sum(
            limit.requests_per_s is not None for limit in self._by_incarnation.values()
        )

    @staticmethod
    def next_slot_s() -> float:
        """Return the time in seconds until nodes may send further requests."""
        return SLOT_S - time.time() % SLOT_S

    def _set(self, limit: RateLimit) -> None:
        known = self._by_incarnation.get(limit.incarnation)
        self._by_incarnation[limit.incarnation] = limit
        before = known.requests_per_s if known else None
        if limit.requests_per_s != before:
            usage = self._usage_by_incarnation.get(limit.incarnation)
            if usage is not None and limit.requests_per_s is not None:
                usage.share = self._slot_share(limit, usage.slot)
            log_event(
                Event.RATE_LIMIT_CHANGED,
                backend=limit.backend,
                limit=limit.requests_per_s,
                before=before,
            )

    def _current_usage(self, limit: RateLimit) -> _Usage:
        # Nodes number slots by the time of day. Clock differences only make the shares
        # uneven for a moment.
        slot = int(time.time() / SLOT_S)
        usage = self._usage_by_incarnation.get(limit.incarnation)
        if usage is not None and usage.slot == slot:
            return usage
        if usage is not None and usage.slot == slot - 1:
            carried = usage.unused
        else:
            carried = self._slot_share(limit, slot - 1)
        usage = _Usage(slot, self._slot_share(limit, slot), carried)
        self._usage_by_incarnation[limit.incarnation] = usage
        return usage

    def _slot_share(self, limit: RateLimit, slot: int) -> int:
        """Return how many requests of a slot belong to this node."""
        per_slot = max(limit.requests_per_s, MIN_REQUESTS_PER_S) * SLOT_S
        total = math.floor((slot + 1) * per_slot) - math.floor(slot * per_slot)
        return self._share(total, f"{limit.backend} {slot}")

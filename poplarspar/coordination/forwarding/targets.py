"""Where requests may be sent, and which place suits one best."""

import math
import random
import time
from collections.abc import Callable, Iterator

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import (
    FAILURE_WEIGHT,
    PROGRESS_INTERVAL_S,
    Target,
)
from poplarspar.state.plan import FleetPlan, GroupLoad
from poplarspar.state.serving import Engine, Fleet, ServiceSpec

EJECTED_ABOVE = 0.7
# A window slightly over the second that limits of cold backend servers count in,
# since requests may take different times to arrive.
COLD_WINDOW_S = 1.15
# Choices whose expected delays differ by less are equal; one is drawn at random.
EQUAL_DELAY_S = 0.004
# Expected work beyond the slots, in requests, that still starts soon enough.
QUEUE_ALLOWANCE = 1
REMOTE_DELAY_S = 0.002
# Part of a request's aim that reading prompts before it, and its own, may take; the
# rest is for what the node does not know of, and for the first step.
READING_PART = 0.6
# So few nodes may each take the best of all places. The more there are, the older is
# what they know of each other's work, and the more would choose the same place.
FEW_NODES = 10
LEAST_COMPARED = 2
STALLED_DELAY_S = 0.3
# Each multiple of the usual pace adds this much to a stream's pauses.
SLOW_DELAY_S = 0.1


class Targets:
    """The places that a node may send requests to.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    cold_limit : callable
        Returns the requests in a second that this node may send to a cold backend
        server of a service.
    nodes : callable
        Returns how many nodes choose at the same time.
    share : callable
        Returns this node's part of a number that all nodes divide, given also what
        it is for.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: Callable[[ServiceSpec, str], int],
        node_count: Callable[[], int] = lambda: 1,
        share: Callable[[int, str], int] = lambda bound, subject: bound,
    ) -> None:
        self._zone = zone
        self._share = share
        self._nodes = node_count
        self._cold_limit = cold_limit
        self._fleet = Fleet()
        self._by_service: dict[str, list[Target]] = {}
        self.by_key: dict[object, Target] = {}
        self._changed = Signal()

    def update(self, fleet: Fleet, opened: dict[str, tuple]) -> None:
        """Act on a new picture of the fleet.

        Parameters
        ----------
        opened : dict
            Model and slots of each open replica group, by its head's id.
        """
        self._fleet = fleet
        kept: dict[object, Target] = {}
        services: dict[str, list[Target]] = {}
        for key, target in self._described(fleet, opened):
            known = self.by_key.get(key)
            if known is not None:
                known.backend = target.backend
                known.in_flight_limit = None
                known.cold_until = target.cold_until
                target = known
            kept[key] = target
            services.setdefault(target.backend.service, []).append(target)
        for key, target in self.by_key.items():
            if key not in kept:
                self._close(target)
        self.by_key = kept
        self._by_service = services
        self.notify_waiters()

    def _described(self, fleet: Fleet, opened: dict) -> Iterator[tuple]:
        configuration = fleet.configuration
        if configuration is None:
            return
        now = time.monotonic()
        for backend in fleet.backends_by_id.values():
            service = configuration.services_by_name.get(backend.service)
            if service is None or backend.draining:
                continue
            life = (backend.id, backend.started_ms)
            cold_until = fleet.cold_until_by_id.get(backend.id, float("-inf"))
            if service.engine is None:
                yield (
                    life,
                    Target(backend, backend.slots, "", None, cold_until=cold_until),
                )
            elif backend.id in opened:
                group, model = opened[backend.id]
                target = Target(backend, service.engine.slots, model, group)
                target.cold_until = cold_until
                target.progress_at = now
                yield (*life, group), target

    @staticmethod
    def _close(target: Target) -> None:
        """Break off what stands still in a replica group that is gone.

        A group that is closed for a member that leaves ends its requests itself.
        """
        stands_still = target.stalled_s(time.monotonic()) > PROGRESS_INTERVAL_S
        if target.group is not None and (stands_still or target.stalled_for_others):
            for exchange in list(target.exchanges):
                exchange.abort()

    def choose(self, routed: RoutedRequest, tried: set[Target]) -> Target | None:
        """Return a place with little expected delay, None if all are full."""
        now = time.monotonic()
        found = [
            target
            for target in self._usable(routed, tried, now)
            if not self._is_full(routed, target, now)
        ]
        compared = [
            (self._delay_s(routed.service, target, now), target)
            for target in self._sample(found)
        ]
        if not compared:
            return None
        least = min(delay for delay, _ in compared)
        equal = [t for delay, t in compared if delay <= least + EQUAL_DELAY_S]
        return random.choice(equal)

    def _sample(self, found: list[Target]) -> list[Target]:
        """Return the places to compare: all with few nodes, some at random else."""
        part = min(1.0, FEW_NODES / self._nodes())
        count = max(LEAST_COMPARED, math.ceil(len(found) * part))
        return found if count >= len(found) else random.sample(found, count)

    def has_usable(self, routed: RoutedRequest, tried: set[Target]) -> bool:
        """Return whether any place could take the request, now or later."""
        now = time.monotonic()
        return next(self._usable(routed, tried, now), None) is not None

    def occupancy(self, routed: RoutedRequest) -> tuple[int, int]:
        """Return expected requests and slots of the places for a request."""
        now = time.monotonic()
        found = list(self._usable(routed, set(), now))
        return sum(t.expected_in_flight(now) for t in found), sum(
            t.slots for t in found
        )

    def _usable(
        self, routed: RoutedRequest, tried: set[Target], now: float
    ) -> Iterator[Target]:
        found = [
            target
            for target in self._by_service.get(routed.service.name, ())
            if target not in tried
            and target.backend.zone not in self._fleet.evacuated_zones
            and (routed.service.engine is None or target.model == routed.request.model)
        ]
        sound = [t for t in found if t.current_failure_rate(now) < EJECTED_ABOVE]
        # With nothing sound left, one that failed may serve better than none.
        yield from sound or found

    def _is_full(self, routed: RoutedRequest, target: Target, now: float) -> bool:
        if target.expected_in_flight(now) >= target.slots + QUEUE_ALLOWANCE:
            return True
        if (
            target.in_flight_limit is not None
            and target.in_flight >= target.in_flight_limit
        ):
            return True
        if routed.service.engine is not None and target.pending_prefill_tokens:
            own = routed.request.prompt_tokens
            reading_s = target.prefill_s(routed.service.engine, own)
            if reading_s > routed.route.target_latency_s * READING_PART:
                return True
        return now < target.cold_until and not self._cold_left(target, now)

    def _cold_left(self, target: Target, now: float) -> bool:
        while target.sent_at_times and target.sent_at_times[0] < now - COLD_WINDOW_S:
            target.sent_at_times.popleft()
        service = self._fleet.configuration.services_by_name.get(target.backend.service)
        if service is None:
            return False
        return len(target.sent_at_times) < self._cold_limit(service, target.backend.id)

    def _delay_s(self, service: ServiceSpec, target: Target, now: float) -> float:
        """Return the expected time until an answer begins."""
        expected = target.expected_in_flight(now)
        remote_s = 0.0 if target.backend.zone == self._zone else REMOTE_DELAY_S
        penalty_s = target.current_failure_rate(now)
        engine = service.engine
        if engine is None:
            busy = (expected + 1) / max(1, target.slots)
            return target.answer_s * (1.0 + busy) + 0.01 * busy + penalty_s + remote_s
        pace = engine.models_by_name[target.model].time_factor * target.slowdown
        reading_s = target.prefill_s(engine)
        step_s = (engine.step_s + engine.step_per_request_s * expected) * pace
        slow_s = SLOW_DELAY_S * (target.slowdown - 1.0)
        crowd_s = 0.1 * expected / target.slots
        stalled_s = max(0.0, target.stalled_s(now) - PROGRESS_INTERVAL_S)
        if target.stalled_for_others:
            stalled_s = max(stalled_s, STALLED_DELAY_S)
        waiting_s = reading_s + step_s + crowd_s + slow_s
        return waiting_s + stalled_s + penalty_s + remote_s

    def engine_of(self, target: Target) -> Engine | None:
        """Return the engine of a place's service, None for a plain one."""
        configuration = self._fleet.configuration
        if configuration is None:
            return None
        service = configuration.services_by_name.get(target.backend.service)
        return service.engine if service else None

    def free_slots_elsewhere(self, target: Target, now: float) -> int:
        """Return how many requests other groups of the same model could take."""
        return sum(
            max(0, other.slots - other.expected_in_flight(now))
            for other in self._by_service.get(target.backend.service, ())
            if other is not target
            and other.model == target.model
            and other.backend.zone not in self._fleet.evacuated_zones
            and other.stalled_s(now) < PROGRESS_INTERVAL_S
            and not other.stalled_for_others
            and other.current_failure_rate(now) < FAILURE_WEIGHT
        )

    def record_sent(self, target: Target, tokens: int) -> None:
        """Count a request that is sent."""
        if not target.in_flight:
            target.record_progress()
        target.in_flight += 1
        target.prefill_tokens += tokens
        target.sent_at_times.append(time.monotonic())
        if len(target.sent_at_times) > 256:
            target.sent_at_times.popleft()

    def record_prefill_end(self, target: Target, tokens: int) -> None:
        """Count a request whose prompt has been read."""
        target.prefill_tokens -= tokens

    def record_end(self, target: Target) -> None:
        """Count a request that has ended."""
        target.in_flight -= 1
        self.notify_waiters()

    def apply_plan(self, plan: FleetPlan) -> None:
        """Keep what other nodes have at the replica groups."""
        planned = {(group.head, group.epoch): group for group in plan.groups}
        for target in self.by_key.values():
            if target.group is None:
                continue
            group = planned.get((target.backend.id, target.group[1]))
            if group is not None:
                target.others_in_flight = group.in_flight
                target.others_prefill_tokens = group.reading_tokens
                target.stalled_for_others = group.stalled
                target.slowdown = group.slowdown
                target.in_flight_limit = self._quota(target)
        self.notify_waiters()

    def _quota(self, target: Target) -> int | None:
        """Return how many own requests may be there until the next plan."""
        if self._nodes() <= FEW_NODES:
            # A slot that another node keeps free for nobody costs more than two
            # requests for one slot.
            return None
        taken = target.others_in_flight + target.in_flight
        free = max(0, target.slots + QUEUE_ALLOWANCE - taken)
        # Who gets what can't be divided changes from second to second; clocks that
        # differ make the parts uneven for a moment, nothing more.
        subject = f"{target.backend.id} {int(time.time())}"
        return target.in_flight + self._share(free, subject)

    def loads(self) -> tuple[GroupLoad, ...]:
        """Return this node's own work at replica groups."""
        now = time.monotonic()
        return tuple(
            GroupLoad(
                target.backend.id,
                target.group[1],
                target.in_flight,
                max(0, target.prefill_tokens),
                int(target.stalled_s(now) * 1000),
            )
            for target in self.by_key.values()
            if target.group is not None and target.in_flight
        )

    def notify_waiters(self) -> None:
        """Let waiting requests look for a place again."""
        changed, self._changed = self._changed, Signal()
        changed.send()

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a place may have become free."""
        with eventlet.Timeout(timeout_s, False):
            self._changed.wait()

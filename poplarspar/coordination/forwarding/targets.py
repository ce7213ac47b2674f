"""Where requests may be sent, and which place suits one best."""

import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.forwarding.lookup import RoutedRequest
from poplarspar.state.backends import BackendServer, Load
from poplarspar.state.plan import FleetPlan, GroupLoad
from poplarspar.state.serving import Fleet, ServiceSpec

# A load that a backend server told is a guide for about this long: with ten
# requests a second at each node, most of what ran then has ended.
LOAD_AGE_S = 1.0
# A failure weighs half of all that is known, and is forgotten within seconds, since
# a backend server that nobody tries can't show that it is well again.
FAILURE_WEIGHT = 0.5
FAILURE_DECAY_S = 3.0
# About five answers decide what a backend server's usual time is.
TIME_WEIGHT = 0.2
EJECTED_ABOVE = 0.7
# A window slightly over the second that limits of cold backend servers count in,
# since requests may take different times to arrive.
COLD_WINDOW_S = 1.15
# Choices whose expected delays differ by less are equal; one is drawn at random.
EQUAL_DELAY_S = 0.004
# Expected work beyond the slots, in requests, that still starts soon enough.
QUEUE_ALLOWANCE = 1
REMOTE_DELAY_S = 0.002
# A replica group that works shows it at least this often, unless it reads several
# long prompts; beyond, each moment makes its loss more likely.
WORKING_PAUSE_S = 0.1
STALLED_DELAY_S = 0.3
# Each multiple of the usual pace adds this much to a stream's pauses.
SLOW_DELAY_S = 0.1


@dataclass(eq=False)
class Target:
    """A backend server, or the head of an open replica group.

    Attributes
    ----------
    in_flight, reading_tokens : int
        Own requests there, and prompt tokens of those without a first event.
    others, others_reading : int
        The same of all other nodes, as far as they have told.
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
    reading_tokens: int = 0
    others: int = 0
    others_reading: int = 0
    stalled_elsewhere: bool = False
    pace: float = 1.0
    told: Load | None = None
    told_at: float = float("-inf")
    in_flight_when_told: int = 0
    trouble: float = 0.0
    trouble_at: float = 0.0
    cold_until: float = float("-inf")
    starts: deque[float] = field(default_factory=deque)
    exchanges: set = field(default_factory=set)
    progress_at: float = float("-inf")
    answer_s: float = 0.0

    def expected(self, now: float) -> int:
        """Return how many requests are expected to be there."""
        others = self.others
        if now - self.told_at < LOAD_AGE_S and self.told is not None:
            told = self.told.running + self.told.waiting
            others = max(others, told - self.in_flight_when_told)
        return self.in_flight + others

    def trouble_now(self, now: float) -> float:
        """Return the share of failures, faded by the time since then."""
        age_s = now - self.trouble_at
        return self.trouble * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def note_failure(self) -> None:
        """Count an attempt that failed."""
        now = time.monotonic()
        trouble = self.trouble_now(now)
        self.trouble = trouble + (1.0 - trouble) * FAILURE_WEIGHT
        self.trouble_at = now

    def note_success(self) -> None:
        """Count an attempt that succeeded."""
        now = time.monotonic()
        self.trouble = self.trouble_now(now) * (1.0 - FAILURE_WEIGHT)
        self.trouble_at = now

    def note_time(self, answer_s: float) -> None:
        """Take the time of one answer into the usual one."""
        if not self.answer_s:
            self.answer_s = answer_s
        self.answer_s += (answer_s - self.answer_s) * TIME_WEIGHT

    def note_load(self, load: Load | None) -> None:
        """Keep the load that the backend server told."""
        if load is not None:
            self.told = load
            self.told_at = time.monotonic()
            self.in_flight_when_told = self.in_flight

    def note_progress(self) -> None:
        """Keep the time of the last sign of work."""
        self.progress_at = time.monotonic()

    def stalled_s(self, now: float) -> float:
        """Return for how long own requests have seen no sign of work."""
        if self.group is None or not self.in_flight:
            return 0.0
        return max(0.0, now - self.progress_at)


class Targets:
    """The places that a node may send requests to.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    cold_limit : callable
        Returns the requests in a second that this node may send to a cold backend
        server of a service.
    """

    def __init__(self, zone: str, cold_limit: Callable[[ServiceSpec], float]) -> None:
        self._zone = zone
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
                known.cold_until = target.cold_until
                target = known
            kept[key] = target
            services.setdefault(target.backend.service, []).append(target)
        for key, target in self.by_key.items():
            if key not in kept:
                self._close(target)
        self.by_key = kept
        self._by_service = services
        self.wake()

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
        stands_still = target.stalled_s(time.monotonic()) > WORKING_PAUSE_S
        if target.group is not None and (stands_still or target.stalled_elsewhere):
            for exchange in list(target.exchanges):
                exchange.abort()

    def choose(self, routed: RoutedRequest, tried: set[Target]) -> Target | None:
        """Return the place with the least expected delay, None if all are full."""
        now = time.monotonic()
        best: list[tuple[float, Target]] = []
        for target in self._usable(routed, tried, now):
            if self._is_full(target, now):
                continue
            best.append((self._delay_s(routed.service, target, now), target))
        if not best:
            return None
        least = min(delay for delay, _ in best)
        equal = [target for delay, target in best if delay <= least + EQUAL_DELAY_S]
        return random.choice(equal)

    def has_any(self, routed: RoutedRequest, tried: set[Target]) -> bool:
        """Return whether any place could take the request, now or later."""
        now = time.monotonic()
        return next(self._usable(routed, tried, now), None) is not None

    def occupancy(self, routed: RoutedRequest) -> tuple[int, int]:
        """Return expected requests and slots of the places for a request."""
        now = time.monotonic()
        found = list(self._usable(routed, set(), now))
        return sum(t.expected(now) for t in found), sum(t.slots for t in found)

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
        sound = [t for t in found if t.trouble_now(now) < EJECTED_ABOVE]
        # With nothing sound left, one that failed may serve better than none.
        yield from sound or found

    def _is_full(self, target: Target, now: float) -> bool:
        if target.expected(now) >= target.slots + QUEUE_ALLOWANCE:
            return True
        return now < target.cold_until and not self._cold_left(target, now)

    def _cold_left(self, target: Target, now: float) -> bool:
        while target.starts and target.starts[0] < now - COLD_WINDOW_S:
            target.starts.popleft()
        service = self._fleet.configuration.services_by_name.get(target.backend.service)
        return service is not None and len(target.starts) < self._cold_limit(service)

    def _delay_s(self, service: ServiceSpec, target: Target, now: float) -> float:
        """Return the expected time until an answer begins."""
        expected = target.expected(now)
        remote_s = 0.0 if target.backend.zone == self._zone else REMOTE_DELAY_S
        penalty_s = target.trouble_now(now)
        engine = service.engine
        if engine is None:
            busy = (expected + 1) / max(1, target.slots)
            return target.answer_s * (1.0 + busy) + 0.01 * busy + penalty_s + remote_s
        pace = engine.models_by_name[target.model].pace * target.pace
        reading = target.reading_tokens + target.others_reading
        reading_s = reading / engine.tokens_read_per_s * pace
        step_s = (engine.step_s + engine.step_per_request_s * expected) * pace
        slow_s = SLOW_DELAY_S * (target.pace - 1.0)
        crowd_s = 0.1 * expected / target.slots
        stalled_s = max(0.0, target.stalled_s(now) - WORKING_PAUSE_S)
        if target.stalled_elsewhere:
            stalled_s = max(stalled_s, STALLED_DELAY_S)
        waiting_s = reading_s + step_s + crowd_s + slow_s
        return waiting_s + stalled_s + penalty_s + remote_s

    def start(self, target: Target, tokens: int) -> None:
        """Count a request that is sent."""
        if not target.in_flight:
            target.note_progress()
        target.in_flight += 1
        target.reading_tokens += tokens
        target.starts.append(time.monotonic())
        if len(target.starts) > 256:
            target.starts.popleft()

    def begin_answer(self, target: Target, tokens: int) -> None:
        """Count a request whose prompt has been read."""
        target.reading_tokens -= tokens

    def finish(self, target: Target) -> None:
        """Count a request that has ended."""
        target.in_flight -= 1
        self.wake()

    def note_plan(self, plan: FleetPlan) -> None:
        """Keep what other nodes have at the replica groups."""
        planned = {(group.head, group.epoch): group for group in plan.groups}
        for target in self.by_key.values():
            if target.group is None:
                continue
            group = planned.get((target.backend.id, target.group[1]))
            if group is not None:
                target.others = group.in_flight
                target.others_reading = group.reading_tokens
                target.stalled_elsewhere = group.stalled
                target.pace = group.pace
        self.wake()

    def loads(self) -> tuple[GroupLoad, ...]:
        """Return this node's own work at replica groups."""
        now = time.monotonic()
        return tuple(
            GroupLoad(
                target.backend.id,
                target.group[1],
                target.in_flight,
                max(0, target.reading_tokens),
                int(target.stalled_s(now) * 1000),
            )
            for target in self.by_key.values()
            if target.group is not None and target.in_flight
        )

    def wake(self) -> None:
        """Let waiting requests look for a place again."""
        changed, self._changed = self._changed, Signal()
        changed.send()

    def wait(self, timeout_s: float) -> None:
        """Wait until a place may have become free."""
        with eventlet.Timeout(timeout_s, False):
            self._changed.wait()

"""The targets of requests, with the load that all nodes put on them."""

import time
from collections.abc import Callable, Iterator

from poplarspar.coordination.forwarding.choice import AnyRoom, Room, TargetChoice
from poplarspar.coordination.forwarding.first_events import FirstEvents
from poplarspar.coordination.forwarding.held_prompts import (
    Beginning,
    HeldPrompts,
    PromptUse,
    beginnings_of,
)
from poplarspar.coordination.forwarding.notices import ServerNotices
from poplarspar.coordination.forwarding.queues import WaitingQueues
from poplarspar.coordination.forwarding.rate_limits import RateLimits
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.shared_admission import SharedAdmission
from poplarspar.coordination.forwarding.target import (
    FAILURE_WEIGHT,
    PROGRESS_INTERVAL_S,
    Target,
)
from poplarspar.state.callers import CallerRequest
from poplarspar.state.plan import FleetPlan, GroupLoad
from poplarspar.state.serving import Engine, Fleet, PromptMemory, ServiceSpec

MAX_FAILURE_RATE = 0.7
ANY_ROOM = AnyRoom()


def _memory_of(target: Target) -> PromptMemory | None:
    return target.held.memory if target.held is not None else None


class Targets:
    """The targets that a node may send requests to.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    cold_limit : callable
        Returns how many requests per second this node may send to a cold backend
        server, given its service and its id.
    node_count : callable
        Returns how many nodes choose targets at the same time.
    share : callable
        Returns this node's share of a number that all nodes divide, given the number
        and the subject that it applies to.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: Callable[[ServiceSpec, str], int],
        node_count: Callable[[], int] = lambda: 1,
        share: Callable[[int, str], int] = lambda bound, subject: bound,
    ) -> None:
        self._fleet = Fleet()
        self.rate_limits = RateLimits(share)
        self.notices = ServerNotices()
        self.first_events = FirstEvents()
        self._choice = TargetChoice(
            zone,
            cold_limit,
            node_count,
            self.notices,
            self.rate_limits,
            self.first_events,
        )
        self.admission = SharedAdmission()
        self._by_service: dict[str, list[Target]] = {}
        self.by_key: dict[object, Target] = {}
        # Removed targets whose replica groups still end their streams.
        self._closing: list[Target] = []
        self.prompt_use = PromptUse()
        self.waiting = WaitingQueues(self.choose, self.first_events)

    def update(self, fleet: Fleet, open_groups: dict[str, tuple]) -> None:
        """Replace the targets by those of a changed fleet.

        Parameters
        ----------
        open_groups : dict
            Key and model of each open replica group, by its head's id.
        """
        self._fleet = fleet
        targets_by_key: dict[object, Target] = {}
        targets_by_service: dict[str, list[Target]] = {}
        for key, target in self._build_targets(fleet, open_groups):
            existing = self.by_key.get(key)
            if existing is not None:
                existing.backend = target.backend
                existing.cold_until = target.cold_until
                if _memory_of(existing) != _memory_of(target):
                    existing.held = target.held
                target = existing
            targets_by_key[key] = target
            targets_by_service.setdefault(target.backend.service, []).append(target)
        for key, target in self.by_key.items():
            if key not in targets_by_key:
                self._abort_if_stalled(target)
                self._closing.append(target)
        incarnations = {
            backend.incarnation for backend in fleet.backends_by_id.values()
        }
        self.rate_limits.retain(incarnations)
        self.notices.retain(incarnations)
        self.by_key = targets_by_key
        self._by_service = targets_by_service
        self.notify_waiters()

    def _build_targets(self, fleet: Fleet, open_groups: dict) -> Iterator[tuple]:
        configuration = fleet.configuration
        if configuration is None:
            return
        now = time.monotonic()
        for backend in fleet.backends_by_id.values():
            service = configuration.services_by_name.get(backend.service)
            if service is None or backend.draining:
                continue
            instance = (backend.id, backend.started_ms)
            cold_until = fleet.cold_until_by_id.get(backend.id, float("-inf"))
            if service.engine is None:
                yield (
                    instance,
                    Target(backend, backend.slots, "", None, cold_until=cold_until),
                )
            elif backend.id in open_groups:
                group, model = open_groups[backend.id]
                target = Target(backend, service.engine.slots, model, group)
                target.cold_until = cold_until
                target.progress_at = now
                if service.engine.prompt_memory is not None:
                    target.held = HeldPrompts(service.engine.prompt_memory)
                yield (*instance, group), target

    @staticmethod
    def _abort_if_stalled(target: Target) -> None:
        """Abort the exchanges of a removed target if its replica group has stalled.

        A group that closes because a member leaves ends its requests itself.
        """
        stalled = target.stalled_s(time.monotonic()) > PROGRESS_INTERVAL_S
        if target.group is not None and (stalled or target.stalled_for_others):
            for exchange in list(target.exchanges):
                exchange.abort()

    def with_streams(self) -> list[Target]:
        """Return the targets that send streams, those of closing groups included."""
        self._closing = [target for target in self._closing if target.streams]
        return [t for t in self.by_key.values() if t.streams] + self._closing

    def choose(
        self, routed: RoutedRequest, tried: set[Target], room: Room = ANY_ROOM
    ) -> Target | None:
        """Return a target with a low expected delay, None if all are full."""
        now = time.monotonic()
        usable = self._usable(routed, tried, now)
        return self._choice.choose(routed, usable, now, room)

    def has_usable(self, routed: RoutedRequest, tried: set[Target]) -> bool:
        """Return whether any target, full or not, could run the request."""
        now = time.monotonic()
        return next(self._usable(routed, tried, now), None) is not None

    def blocked_s(self, routed: RoutedRequest, tried: set[Target]) -> float:
        """Return the time until any usable target may get the request.

        It is 0 if one has neither asked for a pause nor reached its limit.
        """
        now = time.monotonic()
        return min(
            (
                max(
                    self.notices.paused_s(target.backend, now),
                    self.rate_limits.wait_s(target.backend),
                )
                for target in self._usable(routed, tried, now)
            ),
            default=0.0,
        )

    def are_all_leaving(self, routed: RoutedRequest) -> bool:
        """Return whether all targets have said that they leave, so none gets free."""
        matching = [
            target
            for target in self._by_service.get(routed.service.name, ())
            if routed.service.engine is None or target.model == routed.request.model
        ]
        return bool(matching) and all(
            self.notices.is_leaving(target.backend) for target in matching
        )

    def occupancy(self, routed: RoutedRequest) -> tuple[int, int]:
        """Return expected requests and slots of all targets usable for a request."""
        now = time.monotonic()
        usable = list(self._usable(routed, set(), now))
        return sum(t.expected_in_flight(now) for t in usable), sum(
            t.slots for t in usable
        )

    def _usable(
        self, routed: RoutedRequest, tried: set[Target], now: float
    ) -> Iterator[Target]:
        leaving = self.notices.left_at_by_incarnation
        candidates = [
            target
            for target in self._by_service.get(routed.service.name, ())
            if target not in tried
            and target.backend.zone not in self._fleet.evacuated_zones
            and not (leaving and target.backend.incarnation in leaving)
            and (routed.service.engine is None or target.model == routed.request.model)
        ]
        healthy = [
            t for t in candidates if t.current_failure_rate(now) < MAX_FAILURE_RATE
        ]
        # Without a healthy target, a failing one is better than none.
        yield from healthy or candidates

    def admits(self, routed: RoutedRequest) -> bool:
        """Return whether a new request may look for a target at all."""
        return self.admission.admits(routed)

    def _ranked_services(self) -> frozenset[str]:
        configuration = self._fleet.configuration
        return configuration.ranked_services if configuration else frozenset()

    def engine_of(self, target: Target) -> Engine | None:
        """Return the engine of a target's service, None for a service without one."""
        configuration = self._fleet.configuration
        if configuration is None:
            return None
        service = configuration.services_by_name.get(target.backend.service)
        return service.engine if service else None

    def free_slots_elsewhere(self, target: Target, now: float) -> int:
        """Return the free slots of other working groups of the same model."""
        return sum(
            max(0, other.slots - other.expected_in_flight(now))
            for other in self._by_service.get(target.backend.service, ())
            if other is not target
            and other.model == target.model
            and other.backend.zone not in self._fleet.evacuated_zones
            and not self.notices.is_leaving(other.backend)
            and other.stalled_s(now) < PROGRESS_INTERVAL_S
            and not other.stalled_for_others
            and other.current_failure_rate(now) < FAILURE_WEIGHT
        )

    def record_sent(self, target: Target, tokens: int) -> None:
        """Count a request that this node sends, with its prompt tokens."""
        if not target.in_flight:
            target.record_progress()
        target.in_flight += 1
        target.prefill_tokens += tokens
        self.rate_limits.record_sent(target.backend)
        target.sent_at_times.append(time.monotonic())
        if len(target.sent_at_times) > 256:
            target.sent_at_times.popleft()

    def record_prefill_end(self, target: Target, tokens: int) -> None:
        """Subtract the prompt tokens of a request whose answer began or failed."""
        target.prefill_tokens -= tokens

    def record_read(
        self, target: Target, request: CallerRequest, weights_version: int | None
    ) -> tuple[Beginning, ...]:
        """Record the prompt that a target has read; return its beginnings."""
        if target.held is None:
            return ()
        now = time.monotonic()
        beginnings = beginnings_of(request)
        held_tokens = target.held.tokens_held(
            beginnings, now, target.expected_in_flight(now)
        )
        self.prompt_use.record(request.prompt_tokens, held_tokens)
        target.held.record(beginnings, now, weights_version)
        return beginnings

    def record_end(self, target: Target) -> None:
        """Count a request as ended and wake waiting requests."""
        target.in_flight -= 1
        self.notify_waiters()

    def apply_plan(self, plan: FleetPlan) -> None:
        """Store the load of the other nodes at the replica groups."""
        groups_by_key = {(group.head, group.epoch): group for group in plan.groups}
        for target in self.by_key.values():
            if target.group is None:
                continue
            group = groups_by_key.get((target.backend.id, target.group[1]))
            if group is not None:
                target.others_in_flight = group.in_flight
                target.others_prefill_tokens = group.reading_tokens
                target.stalled_for_others = group.stalled
                target.slowdown = group.slowdown
        if self._choice.knows_all_load():
            self.admission.clear()
        else:
            groups = [t for t in self.by_key.values() if t.group is not None]
            self.admission.apply(plan, groups, self._ranked_services())
        self.rate_limits.merge(plan.rate_limits)
        self.notify_waiters()

    def loads(self) -> tuple[GroupLoad, ...]:
        """Return this node's load at each replica group."""
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
        """Offer room that targets may have to the first waiting requests."""
        self.waiting.offer_room()

"""Choice of a target for each request, by the delay that is expected there."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from poplarspar.coordination.forwarding.beginnings import PromptSavings
from poplarspar.coordination.forwarding.first_events import FirstEvents
from poplarspar.coordination.forwarding.notices import ServerNotices
from poplarspar.coordination.forwarding.rate_limits import RateLimits
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import PROGRESS_INTERVAL_S, Target
from poplarspar.state.serving import ServiceSpec

# The limits of cold backend servers apply per second. The window is slightly longer,
# since network delays can push requests closer together.
COLD_WINDOW_S = 1.15
# Targets whose expected delays differ by less count as equal; the node picks one at
# random.
EQUAL_DELAY_S = 0.004
# Requests beyond a target's slots that still start soon enough.
QUEUE_ALLOWANCE = 1
# With many nodes, known load is older. A group that was full when the plan was made has
# free slots again, since this share of its requests ends until the next plan.
ENDED_SHARE = 0.25
CROSS_ZONE_DELAY_S = 0.002
# Share of the route's target latency that the prefill of pending prompts and of the
# request's own may take. The rest covers requests that this node doesn't know of,
# and the first step of generation.
PREFILL_FRACTION = 0.6
# With up to this many nodes, each node compares all targets. With more, their knowledge
# of each other's requests is older and more of them would choose the same target, so
# each compares a random sample.
FULL_COMPARISON_NODES = 10
MIN_COMPARED = 2
STALL_DELAY_S = 0.3
# Each multiple of the engine's configured times adds this much to the gaps between a
# stream's events.
SLOWDOWN_DELAY_S = 0.1


@dataclass(frozen=True)
class AnyRoom:
    """Room at any target that counts as free."""


@dataclass(frozen=True)
class TimelyRoom:
    """Room from which a stream's first event can be in time.

    Attributes
    ----------
    kept_share : float
        Share of a replica group's slots that are left to more urgent requests.
    """

    kept_share: float


Room = AnyRoom | TimelyRoom


class TargetChoice:
    """Chooses among targets that could run a request.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    cold_limit, node_count : callable
        As in `Targets`.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: Callable[[ServiceSpec, str], int],
        node_count: Callable[[], int],
        notices: ServerNotices,
        rate_limits: RateLimits,
        first_events: FirstEvents,
    ) -> None:
        self._zone = zone
        self._cold_limit = cold_limit
        self._node_count = node_count
        self._notices = notices
        self._rate_limits = rate_limits
        self._first_events = first_events

    def choose(
        self,
        routed: RoutedRequest,
        usable: Iterable[Target],
        now: float,
        room: Room,
    ) -> Target | None:
        """Return a target with a low expected delay, None if all are full.

        Parameters
        ----------
        now : float
            Monotonic time.
        room : Room
            What else a target must have, besides not being full.
        """
        candidates = [
            target
            for target in usable
            if not self._is_full(routed, target, now)
            and self._has_room(routed, target, now, room)
        ]
        compared = [
            (self._delay_s(routed.service, target, now), target)
            for target in self._sample(candidates)
        ]
        if not compared:
            return None
        engine = routed.service.engine
        if engine is not None and engine.prompt_memory is not None:
            savings = PromptSavings(engine, routed.request, candidates, now)
            compared = self._with_savings(routed.service, compared, savings, now)
        min_delay_s = min(delay for delay, _ in compared)
        equal = [t for delay, t in compared if delay <= min_delay_s + EQUAL_DELAY_S]
        return random.choice(equal)

    def _with_savings(
        self,
        service: ServiceSpec,
        compared: list[tuple[float, Target]],
        savings: PromptSavings,
        now: float,
    ) -> list[tuple[float, Target]]:
        """Subtract from each delay what the target's memory saves.

        The target that all nodes prefer is compared too, so that they meet there.
        """
        preferred = savings.preferred
        if preferred is not None and all(t is not preferred for _, t in compared):
            delay_s = self._delay_s(service, preferred, now)
            compared = [*compared, (delay_s, preferred)]
        return [(delay - savings.saved_s(t), t) for delay, t in compared]

    def knows_all_load(self) -> bool:
        """Return whether this node compares all targets, not a sample of them."""
        return self._node_count() <= FULL_COMPARISON_NODES

    def _sample(self, candidates: list[Target]) -> list[Target]:
        """Return the targets to compare: all with few nodes, else a random sample."""
        fraction = min(1.0, FULL_COMPARISON_NODES / self._node_count())
        count = max(MIN_COMPARED, math.ceil(len(candidates) * fraction))
        return (
            candidates if count >= len(candidates) else random.sample(candidates, count)
        )

    def _is_full(self, routed: RoutedRequest, target: Target, now: float) -> bool:
        if target.expected_in_flight(now) >= self._admitted_in_flight(target):
            return True
        if self._notices.pause_ends_at_by_incarnation and self._is_paused(target, now):
            return True
        if not self._rate_limits.may_send(target.backend):
            return True
        if routed.service.engine is not None and target.pending_prefill_tokens:
            own_tokens = routed.request.prompt_tokens
            prefill_s = target.prefill_s(routed.service.engine, own_tokens)
            if prefill_s > routed.route.target_latency_s * PREFILL_FRACTION:
                return True
        if now >= target.cold_until:
            return False
        return not self._is_below_cold_limit(routed.service, target, now)

    def _has_room(
        self, routed: RoutedRequest, target: Target, now: float, room: Room
    ) -> bool:
        """Return whether a target that isn't full has the room that is asked for."""
        engine = routed.service.engine
        match room:
            case TimelyRoom(kept_share) if engine is not None:
                expected = target.expected_in_flight(now)
                if kept_share and expected >= int(target.slots * (1.0 - kept_share)):
                    return False
                if expected < target.slots and not target.pending_prefill_tokens:
                    # Nothing would begin sooner there after a wait.
                    return True
                due_at = routed.request.arrived_at + routed.route.target_latency_s
                if now >= due_at:
                    return expected < target.slots
                begins_s = self._first_events.expected_s(routed, target, now)
                return now + begins_s <= due_at
            case _:
                return True

    def _is_paused(self, target: Target, now: float) -> bool:
        admitted = self._notices.admitted_in_flight(target.backend, target.slots, now)
        return admitted is not None and target.in_flight >= admitted

    def _admitted_in_flight(self, target: Target) -> int:
        """Return the expected requests from which on a target counts as full."""
        if target.group is None or self.knows_all_load():
            return target.slots + QUEUE_ALLOWANCE
        return target.slots + max(QUEUE_ALLOWANCE, int(target.slots * ENDED_SHARE))

    def _is_below_cold_limit(
        self, service: ServiceSpec, target: Target, now: float
    ) -> bool:
        while target.sent_at_times and target.sent_at_times[0] < now - COLD_WINDOW_S:
            target.sent_at_times.popleft()
        return len(target.sent_at_times) < self._cold_limit(service, target.backend.id)

    def _delay_s(self, service: ServiceSpec, target: Target, now: float) -> float:
        """Return the expected time until the answer begins, with penalties."""
        expected = target.expected_in_flight(now)
        remote_s = 0.0 if target.backend.zone == self._zone else CROSS_ZONE_DELAY_S
        penalty_s = target.current_failure_rate(now)
        engine = service.engine
        if engine is None:
            load = (expected + 1) / max(1, target.slots)
            return (
                target.mean_answer_s * (1.0 + load) + 0.01 * load + penalty_s + remote_s
            )
        time_factor = engine.models_by_name[target.model].time_factor * target.slowdown
        prefill_s = target.prefill_s(engine)
        step_s = (engine.step_s + engine.step_per_request_s * expected) * time_factor
        slowdown_s = SLOWDOWN_DELAY_S * (target.slowdown - 1.0)
        load_s = 0.1 * expected / target.slots
        stalled_s = max(0.0, target.stalled_s(now) - PROGRESS_INTERVAL_S)
        if target.stalled_for_others:
            stalled_s = max(stalled_s, STALL_DELAY_S)
        waiting_s = prefill_s + step_s + load_s + slowdown_s
        return waiting_s + stalled_s + penalty_s + remote_s

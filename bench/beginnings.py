"""Time to the first event with and without regard to prompts that engines keep.

Three nodes choose among twelve engines, which read one prompt after the other and keep
what they have read. Nodes learn of each other's requests with a delay. Run as
`python -m bench.beginnings`; both ways are measured in one run, with the same requests.
"""

import standins.common  # noqa: F401  # isort: skip

import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

import eventlet
from eventlet.semaphore import Semaphore

from poplarspar.coordination.forwarding import Targets
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.state.backends import BackendServer, EngineState
from poplarspar.state.callers import CallerRequest, PromptSection
from poplarspar.state.plan import FleetPlan, PlannedGroup
from poplarspar.state.serving import (
    CallerLimits,
    Fleet,
    PromptMemory,
    RouteKind,
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)
from standins.pool import small_engine

NODES, ENGINES = 3, 12
REQUESTS, REQUESTS_PER_S = 1500, 100.0
ANSWER_S = 0.3
PLAN_INTERVAL_S = 0.15
SHARED_TOKENS, OWN_TOKENS = 3000, 300
BEGINNINGS, SKEW = 40, 1.0
MEMORY = PromptMemory(60.0, 40_000, 3_500)
ROUTE = ServiceRoute(
    name="draft",
    host="a.example",
    path_prefix="/",
    kind=RouteKind.STREAM,
    services=(WeightedService("llm", 1),),
    timeout_s=5.0,
    target_latency_s=2.0,
    target_gap_s=0.2,
    priority=0,
    max_attempts=1,
    public=True,
    resumable=False,
)


@dataclass
class HoldingEngine:
    """Reads one prompt after the other and keeps the beginnings that fit."""

    reading: Semaphore = field(default_factory=lambda: Semaphore(1))
    kept: dict[str, int] = field(default_factory=dict)
    running: int = 0

    def read(self, sections: tuple[PromptSection, ...], tokens_per_s: float) -> None:
        """Wait until the prompt has been read."""
        with self.reading:
            shared = sections[0]
            unread = sum(section.tokens for section in sections)
            unread -= self.kept.pop(shared.id, 0)
            eventlet.sleep(unread / tokens_per_s)
            self.kept[shared.id] = shared.tokens
            while sum(self.kept.values()) > MEMORY.capacity_tokens:
                del self.kept[next(iter(self.kept))]


class Run:
    """The same requests at the same times, with or without the memory known."""

    def __init__(self, memory: PromptMemory | None) -> None:
        self._engine = replace(small_engine(slots=13), prompt_memory=memory)
        self._engines = {f"h{number}": HoldingEngine() for number in range(ENGINES)}
        self._nodes = [self._node() for _ in range(NODES)]
        self.first_event_s: list[float] = []
        self.sent_by_head: Counter[str] = Counter()
        self.refused = 0

    def _node(self) -> Targets:
        targets = Targets("a", lambda service, id: 100, lambda: NODES)
        self._service = ServiceSpec("llm", 100, 0.0, self._engine)
        fleet = Fleet(
            ServingConfiguration(
                1, {}, {"llm": self._service}, {}, True, CallerLimits(1, 1, 1.0, 1.0)
            )
        )
        state = EngineState("m0", (), "d0", None, 0)
        fleet.backends_by_id = {
            head: BackendServer(head, 1, "llm", head, "a", False, 13, 0.0, state)
            for head in self._engines
        }
        groups = {head: ((f"g-{head}", 1), "m0") for head in self._engines}
        targets.update(fleet, groups)
        return targets

    def play(self) -> None:
        """Send all requests and wait for their answers."""
        draw = random.Random(1)
        weights = [1.0 / (number + 1) ** SKEW for number in range(BEGINNINGS)]
        planner = eventlet.spawn(self._share_loads)
        tasks = []
        for number in range(REQUESTS):
            shared = draw.choices(range(BEGINNINGS), weights)[0]
            node = draw.choice(self._nodes)
            tasks.append(eventlet.spawn(self._send, node, shared, number))
            eventlet.sleep(draw.expovariate(REQUESTS_PER_S))
        for task in tasks:
            task.wait()
        planner.kill()

    def _send(self, targets: Targets, shared: int, number: int) -> None:
        sections = (
            PromptSection(f"s{shared}", SHARED_TOKENS),
            PromptSection(f"o{number}", OWN_TOKENS),
        )
        tokens = SHARED_TOKENS + OWN_TOKENS
        caller_request = CallerRequest(
            id=str(number),
            method="POST",
            target="/",
            host=ROUTE.host,
            path="/",
            headers=(),
            body=b"",
            api_key="",
            timeout_s=None,
            last_event=None,
            model="m0",
            prompt_tokens=tokens,
            max_answer_tokens=100,
            expected_tokens=None,
            arrived_at=time.monotonic(),
            prompt_sections=sections,
        )
        began_at = time.monotonic()
        routed = RoutedRequest(
            caller_request, ROUTE, self._service, "w", 1, began_at + 5.0
        )
        target = targets.choose(routed, set())
        if target is None:
            self.refused += 1
            return
        head = target.backend.id
        self.sent_by_head[head] += 1
        targets.record_sent(target, tokens)
        self._engines[head].read(sections, self._engine.tokens_read_per_s)
        self.first_event_s.append(time.monotonic() - began_at)
        targets.record_prefill_end(target, tokens)
        targets.record_read(target, caller_request, None)
        eventlet.sleep(ANSWER_S)
        targets.record_end(target)

    def _share_loads(self) -> None:
        while True:
            loads = [node.loads() for node in self._nodes]
            for index, node in enumerate(self._nodes):
                others = [
                    load
                    for other, node_loads in enumerate(loads)
                    for load in node_loads
                    if other != index
                ]
                node.apply_plan(FleetPlan(1, NODES, self._planned(others)))
            eventlet.sleep(PLAN_INTERVAL_S)

    def _planned(self, others) -> tuple[PlannedGroup, ...]:
        in_flight, tokens = Counter(), Counter()
        for load in others:
            in_flight[load.head] += load.in_flight
            tokens[load.head] += load.reading_tokens
        return tuple(
            PlannedGroup(head, f"g-{head}", 1, "m0", in_flight[head], tokens[head])
            for head in self._engines
        )

    def describe(self) -> str:
        """Return the times in milliseconds and the spread of the load."""
        ordered = sorted(self.first_event_s)
        median_s, late_s = (ordered[int(len(ordered) * q)] for q in (0.5, 0.95))
        counts = [self.sent_by_head[head] for head in self._engines]
        spread = max(counts) / (sum(counts) / len(counts))
        return (
            f"first event {median_s * 1000:.1f} ms at the median, "
            f"{late_s * 1000:.1f} ms at the 95th percentile; busiest engine has "
            f"{spread:.2f} times the mean; {self.refused} refused"
        )


def main() -> None:
    """Measure both ways with the same requests."""
    for name, memory in (("off", None), ("on", MEMORY)):
        run = Run(memory)
        run.play()
        print(f"{name:4}{run.describe()}", flush=True)


if __name__ == "__main__":
    main()

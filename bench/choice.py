"""Cost of choosing a target for a request, at one node.

Prints processor microseconds for several numbers of replica groups.
"""

import standins.common  # noqa: F401  # isort: skip

import time

from poplarspar.coordination.forwarding import Targets
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.state.backends import BackendServer
from poplarspar.state.callers import CallerRequest
from poplarspar.state.serving import (
    CallerLimits,
    Engine,
    EngineModel,
    Fleet,
    RouteKind,
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)

# Nodes, and replica groups of 16 backend servers.
SIZES = ((9, 14), (59, 40), (195, 70), (360, 750))
MEMBERS = 16
CHOICES = 2000


def build(nodes: int, groups: int) -> tuple[Targets, RoutedRequest]:
    """Return targets with some load, and a request for their model."""
    engine = Engine(
        slots=15,
        models_by_name={"m0": EngineModel("m0", MEMBERS, 1.0, 1.0, 16.0, 1.6)},
        step_s=0.006,
        step_per_request_s=0.0001,
        tokens_read_per_s=50_000.0,
        tokens_per_event=7,
        loads_per_s=1.0,
        concurrent_loads=6,
        open_s=0.1,
    )
    service = ServiceSpec("llm", 600, 0.0, engine)
    limits = CallerLimits(16_384, 10_000, 3.0, 15.0)
    fleet = Fleet(ServingConfiguration(1, {}, {"llm": service}, {}, False, limits))
    open_groups = {}
    for number in range(groups * MEMBERS):
        id = f"i-{number}"
        fleet.backends_by_id[id] = BackendServer(
            id, 1, "llm", "10.0.0.1:80", f"z-{number % 3}", False, 15, 0.0, None
        )
        if number % MEMBERS == 0:
            open_groups[id] = ((f"g-{number}", 1), "m0")
    targets = Targets("z-0", lambda service, id: 100, lambda: nodes)
    targets.update(fleet, open_groups)
    for number, target in enumerate(targets.by_key.values()):
        target.others_in_flight = number % 12
    route = ServiceRoute(
        "draft",
        "a.example",
        "/",
        RouteKind.STREAM,
        (WeightedService("llm", 1.0),),
        8.0,
        0.3,
        0.3,
        0,
        2,
        True,
        True,
    )
    now = time.monotonic()
    request = CallerRequest(
        "r", "POST", "/", "a.example", "/", (), b"", "", 8.0, None, "m0", 700, 200, 200,
        now,
    )  # fmt: skip
    return targets, RoutedRequest(request, route, service, "", 0, now + 8.0)


def main() -> None:
    """Print the cost for each size."""
    for nodes, groups in SIZES:
        targets, routed = build(nodes, groups)
        costs = []
        for _ in range(5):
            began = time.process_time()
            for _ in range(CHOICES):
                targets.choose(routed, set())
            costs.append((time.process_time() - began) / CHOICES)
        print(f"{nodes} nodes, {groups} groups: {1e6 * min(costs):.0f} us")


if __name__ == "__main__":
    main()

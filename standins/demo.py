"""Runs both example deployments on this machine and prints what happens."""

import sys
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from standins.callers import Load
from standins.cluster import LocalCluster, VmSpec, wait_for

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TOKENS = 30
CALLERS_PER_ROUTE = 4
ENGINE = {"cold": 2, "warm": 8, "boot_s": 0.5, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16, "boot_s": 0.5}


@dataclass(frozen=True)
class Example:
    """A deployment to run; the last of its routes must not be repeated."""

    title: str
    objects: str
    workspace: str
    routes: tuple[str, str, str]
    domains: str


TIDEWATER = Example(
    "Tidewater",
    "tidewater.ini",
    "port-authorities",
    ("draft", "balance", "payment"),
    "gulf",
)
TRUST = Example(
    "Pension Trust",
    "pension-trust.ini",
    "taluka-offices",
    ("summary", "case-status", "claim"),
    "guj",
)


def print_progress(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def vms(example: Example) -> list[VmSpec]:
    """Return three engines in each zone and two plain services."""
    engines = [
        VmSpec(f"vm-{zone}{i}", zone, f"{example.domains}-{zone}1", "engine", ENGINE)
        for zone in "abc"
        for i in range(3)
    ]
    services = [
        VmSpec(f"svc-{zone}", zone, f"{example.domains}-{zone}2", "service", SERVICE)
        for zone in "ab"
    ]
    return engines + services


def run_example(example: Example) -> Counter:
    """Run one example and count what was served and what failed."""
    print_progress(f"{example.title}: starting stand-ins, 3 stewards and 3 entries")
    with LocalCluster(vms(example)) as cluster:
        _, answer = cluster.publish((EXAMPLES / example.objects).read_text())
        print_progress(f"published {example.objects}: {answer['outcome']}")
        cluster.wait_serving(5)
        print_progress(
            "5 backend servers serve: 3 replica groups of 2 VMs, 2 plain services"
        )
        loads = [
            Load(cluster, route, CALLERS_PER_ROUTE, TOKENS, None, example.workspace)
            for route in example.routes
        ]
        with ExitStack() as stack:
            for load in loads:
                stack.enter_context(load)
            run_scenario(cluster, loads)
        return summarize(cluster, loads)


def summarize(cluster: LocalCluster, loads: list[Load]) -> Counter:
    """Print what became of the requests and count them."""
    repeated = repeated_keys(cluster, loads[-1].route)
    print_progress(
        f"served: { {load.route: load.outcomes['served'] for load in loads} }"
    )
    print_progress(f"requests that ran twice although they must not: {len(repeated)}")
    problems = [problem for load in loads for problem in load.problems]
    for problem in problems[:10]:
        print_progress(f"failed: {problem}")
    served = sum(load.outcomes["served"] for load in loads)
    return Counter(served=served, failed=len(problems) + len(repeated))


def repeated_keys(cluster: LocalCluster, route: str) -> list[str]:
    """Return the keys of a route that ran more than once."""
    runs: Counter[str] = Counter()
    for vm in cluster.vm_by_name.values():
        if vm.kind == "service":
            runs.update(cluster.http.get(cluster.address(vm.name), "/runs"))
    return [key for key, n in runs.items() if n > 1 and key.startswith(f"{route}-")]


def run_scenario(cluster: LocalCluster, loads: list[Load]) -> None:
    """Take a zone out and back, and kill a backend server meanwhile."""
    wait_served(loads, 20)
    revision = cluster.set_serving("zone", "c", False)
    print_progress(f"zone c taken out: {wait_in_force(cluster, revision)}")
    wait_served(loads, 20)
    groups = cluster.status()["groups_by_name"]
    name = next(n for n, g in groups.items() if g["zone"] == "a" and g["members"][1:])
    killed_vm = groups[name]["members"][1]
    cluster.by_name[killed_vm].stop()
    print_progress(f"backend server {killed_vm} killed while zone c is out")
    wait_served(loads, 20)
    revision = cluster.set_serving("zone", "c", True)
    print_progress(f"zone c taken back: {wait_in_force(cluster, revision)}")
    wait_for(
        lambda: killed_vm not in cluster.status()["groups_by_name"][name]["members"],
        "repair from a spare VM",
    )
    cluster.wait_serving(5)
    print_progress(f"replica group repaired from a spare VM in place of {killed_vm}")
    wait_served(loads, 40)


def wait_served(loads: list[Load], more: int) -> None:
    """Wait until every route served so many more requests."""
    goals = [load.outcomes["served"] + more for load in loads]
    wait_for(
        lambda: all(
            load.outcomes["served"] >= goal
            for load, goal in zip(loads, goals, strict=True)
        ),
        f"{more} more requests of each kind",
    )


def wait_in_force(cluster: LocalCluster, revision: int) -> str:
    started = time.monotonic()
    wait_for(lambda: cluster.in_force(revision), "change in force")
    seconds = time.monotonic() - started
    stewards = len(cluster.steward_names)
    return f"in force on {stewards} of {stewards} stewards after {seconds:.1f} s"


def main() -> int:
    total = run_example(TIDEWATER) + run_example(TRUST)
    print(f"demo: {total['served']} served, {total['failed']} failed")
    return 1 if total["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())

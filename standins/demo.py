"""Runs both example deployments on this machine and prints what happens."""

import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from standins.cluster import LocalCluster, VmSpec, wait_for
from standins.tokens import token_text

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TOKENS = 30
CALLERS_PER_ROUTE = 4
ENGINE = {"cold": 2, "warm": 8, "boot_s": 0.5, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16, "boot_s": 0.5}
GOAL_PER_ROUTE = 100


class Demo:
    """Callers of every route, while a zone leaves and a backend server dies."""

    def __init__(self, cluster: LocalCluster, workspace: str, routes: dict) -> None:
        self.cluster = cluster
        self.workspace = workspace
        self.routes = routes
        self.served: Counter[str] = Counter()
        self.failures: list[str] = []
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(route, caller))
            for route in routes
            for caller in range(CALLERS_PER_ROUTE)
        ]

    def run(self, route: str, caller: int) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            name = f"{route}-{caller}-{number}"
            names = self.cluster.entry_names
            problem = self.send(route, names[(caller + number) % len(names)], name)
            if problem:
                self.failures.append(f"{name}: {problem}")
            else:
                self.served[route] += 1

    def send(self, route: str, entry: str, name: str) -> str:
        """Send one request and return what was wrong with the answer."""
        document: dict = {"order": name}
        headers = {"Idempotency-Key": name}
        if self.routes[route] == "stream":
            document = {"prompt": name, "max_tokens": TOKENS}
        try:
            answer = self.cluster.http.send(
                "POST",
                self.cluster.address(entry),
                f"/v1/{self.workspace}/{route}",
                document,
                headers,
                60.0,
            )
        except Exception as error:  # A caller sees any failure as a failure.
            return repr(error)
        if answer.status != 200:
            return f"{answer.status} {answer.data[:200]!r}"
        if self.routes[route] == "stream" and not is_whole(name, answer.data):
            return f"the answer is not whole: {answer.data[-100:]!r}"
        return ""

    def wait_served(self, more: int) -> None:
        """Wait until every route served so many more requests."""
        goals = {route: self.served[route] + more for route in self.routes}
        wait_for(
            lambda: all(self.served[route] >= goal for route, goal in goals.items()),
            f"{more} more requests of each kind",
        )

    def doubled(self) -> list[str]:
        """Return the keys that ran more than once although that is forbidden."""
        runs: Counter[str] = Counter()
        for vm in self.cluster.vm_by_name.values():
            if vm.kind == "service":
                address = self.cluster.address(vm.name)
                runs.update(self.cluster.http.get(address, "/runs"))
        once = [route for route, kind in self.routes.items() if kind == "once"]
        return [k for k, n in runs.items() if n > 1 and k.split("-")[0] in once]


def is_whole(prompt: str, body: bytes) -> bool:
    events = [
        f"data: {json.dumps({'text': token_text(prompt, offset)})}\n\n"
        for offset in range(TOKENS)
    ]
    return body.decode() == "".join(events) + "data: [DONE]\n\n"


def say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def wait_in_force(cluster: LocalCluster, revision: int) -> str:
    started = time.monotonic()
    wait_for(lambda: cluster.in_force(revision), "change in force")
    seconds = time.monotonic() - started
    stewards = len(cluster.steward_names)
    return f"in force on {stewards} of {stewards} stewards after {seconds:.1f} s"


def run_deployment(title: str, objects: str, workspace: str, routes: dict, prefix: str):
    """Run one example and return what was served and what failed."""
    vms = [
        VmSpec(f"vm-{zone}{i}", zone, f"{prefix}-{zone}1", "engine", ENGINE)
        for zone in "abc"
        for i in range(3)
    ]
    vms += [
        VmSpec(f"svc-{zone}", zone, f"{prefix}-{zone}2", "service", SERVICE)
        for zone in "ab"
    ]
    say(f"{title}: starting stand-ins, 3 stewards and 3 entries")
    with LocalCluster(vms) as cluster:
        status, answer = cluster.publish((EXAMPLES / objects).read_text())
        say(f"published {objects}: {answer['outcome']}, revision {answer['revision']}")
        cluster.wait_serving(5)
        say("5 backend servers serve: 3 replica groups of 2 VMs, 2 plain services")
        demo = Demo(cluster, workspace, routes)
        for thread in demo.threads:
            thread.start()
        try:
            follow_events(cluster, demo)
        finally:
            demo.stop.set()
            for thread in demo.threads:
                thread.join()
        doubled = demo.doubled()
        say(f"served: {dict(sorted(demo.served.items()))}")
        say(f"requests that ran twice although they must not: {len(doubled)}")
        for failure in demo.failures[:10]:
            say(f"failed: {failure}")
        return sum(demo.served.values()), len(demo.failures) + len(doubled)


def follow_events(cluster: LocalCluster, demo: Demo) -> None:
    demo.wait_served(20)
    revision = cluster.set_serving("zone", "c", False)
    say(f"zone c taken out: {wait_in_force(cluster, revision)}")
    demo.wait_served(20)
    groups = cluster.status()["groups_by_name"].values()
    victim = next(g for g in groups if g["zone"] == "a" and len(g["members"]) > 1)
    vm = victim["members"][1]
    cluster.by_name[vm].stop()
    say(f"backend server {vm} killed while zone c is out")
    demo.wait_served(20)
    revision = cluster.set_serving("zone", "c", True)
    say(f"zone c taken back: {wait_in_force(cluster, revision)}")
    wait_for(
        lambda: (
            vm
            not in cluster.status()["groups_by_name"][name_of(victim, cluster)][
                "members"
            ]
        ),
        "repair from a spare VM",
    )
    cluster.wait_serving(5)
    say(f"replica group repaired from a spare VM in place of {vm}")
    demo.wait_served(GOAL_PER_ROUTE - 60)


def name_of(group: dict, cluster: LocalCluster) -> str:
    """Return the name of a group, which it keeps when members are replaced."""
    groups = cluster.status()["groups_by_name"]
    return next(
        name
        for name, other in groups.items()
        if other["zone"] == group["zone"] and other["deployment"] == group["deployment"]
    )


def main() -> int:
    tidewater = {"draft": "stream", "balance": "repeatable", "payment": "once"}
    trust = {"summary": "stream", "case-status": "repeatable", "claim": "once"}
    runs = [
        ("Tidewater", "tidewater.ini", "port-authorities", tidewater, "gulf"),
        ("Pension Trust", "pension-trust.ini", "taluka-offices", trust, "guj"),
    ]
    served = failed = 0
    for run in runs:
        more_served, more_failed = run_deployment(*run)
        served += more_served
        failed += more_failed
    print(f"demo: {served} served, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

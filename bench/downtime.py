"""Group downtime and stranded accelerators for each kind of failure.

The floor is the time to notice the silence of a member plus one weight load.
"""

import signal
import sys
import time

from bench.common import print_report, vms
from poplarspar.coordination.planner import MEMBER_TIMEOUT_S
from standins.callers import Load
from standins.cluster import LocalCluster, wait_for
from tests.base import TIDEWATER

WEIGHT_LOAD_S = 2.0
BOOT_S = 1.0
ENGINE = {"cold": 2, "warm": 8, "boot_s": BOOT_S, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16}
POLL_S = 0.05
OBSERVATION_S = 14.0
MEMBERS = 2


def started_requests(cluster: LocalCluster, zone: str) -> int:
    """Return the requests that engines of a zone started so far."""
    names = [vm.name for vm in cluster.vm_by_name.values() if vm.zone == zone]
    alive = [n for n in names if cluster.by_name[n].popen.poll() is None]
    total = 0
    for name in alive:
        try:
            address = cluster.address(name)
            answer = cluster.http.send("GET", address, "/counts", timeout=0.2)
            total += answer.json().get("started", 0)
        except Exception:  # A paused member answers nothing.
            continue
    return total


def measure(kind: str, inject_failure) -> dict:
    """Let one group fail under load and time how long it serves nothing."""
    with LocalCluster(
        vms(ENGINE, SERVICE), weights={"load_s": WEIGHT_LOAD_S}
    ) as cluster:
        cluster.publish(TIDEWATER)
        cluster.wait_serving(5)
        with Load(cluster, "draft", 9, 10) as load:
            wait_for(lambda: started_requests(cluster, "a") > 20, "zone a serves")
            groups = cluster.status()["groups_by_name"]
            inject_failure(cluster, groups["drafters-gulf-a1-1"]["members"])
            downtime = longest_gap_s(cluster)
        return {
            "failure": kind,
            "downtime_s": round(downtime, 2),
            "floor_s": min_downtime_s(kind),
            "stranded_vm_s": round(downtime * (MEMBERS - 1), 2),
            "requests_failed": len(load.problems),
        }


def longest_gap_s(cluster: LocalCluster) -> float:
    """Return the longest time in which zone a started no request."""
    longest = 0.0
    count, changed_at = started_requests(cluster, "a"), time.monotonic()
    ends_at = changed_at + OBSERVATION_S
    while time.monotonic() < ends_at:
        time.sleep(POLL_S)
        now_started = started_requests(cluster, "a")
        longest = max(longest, time.monotonic() - changed_at)
        if now_started != count:
            count, changed_at = now_started, time.monotonic()
    return longest


def min_downtime_s(kind: str) -> float:
    """Return the shortest time that a failure of this kind can last."""
    if "restart" in kind:
        return BOOT_S + WEIGHT_LOAD_S
    if "killed" in kind:
        # The connection ends with the process, so silence need not be awaited.
        return WEIGHT_LOAD_S
    return MEMBER_TIMEOUT_S + WEIGHT_LOAD_S


def kill_member(cluster, members):
    """Kill the last member."""
    cluster.by_name[members[-1]].stop()


def kill_leader(cluster, members):
    """Kill the first member."""
    cluster.by_name[members[0]].stop()


def pause_member(cluster, members):
    """Pause the last member for good."""
    cluster.by_name[members[-1]].signal(signal.SIGSTOP)


def freeze_member(cluster, members):
    """Freeze the path to the last member."""
    cluster.set_fault("any", members[-1], "freeze")


def restart_member(cluster, members):
    """Let the last member restart without a word."""
    cluster.http.post(cluster.address(members[-1]), "/restart")


def main() -> int:
    """Measure each kind of failure."""
    kinds = {
        "member killed": kill_member,
        "leader killed": kill_leader,
        "member paused": pause_member,
        "path to member frozen": freeze_member,
        "silent restart": restart_member,
    }
    print_report("downtime", [measure(kind, fail) for kind, fail in kinds.items()])
    return 0


if __name__ == "__main__":
    sys.exit(main())

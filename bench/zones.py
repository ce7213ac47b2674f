"""Requests served, refused and late while an availability zone leaves and returns."""

import sys
import time

from bench.common import percentiles_ms, print_report, vms
from poplarspar.state.metrics import new_histogram
from standins.callers import Load
from standins.cluster import LocalCluster, wait_for
from tests.base import TIDEWATER

TOKENS = 30
CALLERS = 9
PHASE_S = 8.0
# An answer of 30 tokens, 10 ms each, is late a second after that.
LATE_S = TOKENS * 0.01 + 1.0
ENGINE = {"cold": 2, "warm": 8, "boot_s": 1.0, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16, "boot_s": 1.0}


def phase_row(phase: str, load: Load) -> dict:
    """Return the figures of one phase."""
    histogram = new_histogram()
    seconds = load.seconds_by_phase[phase]
    for value in seconds:
        histogram.record_value(int(value * 1e6))
    late = sum(value > LATE_S for value in seconds)
    outcomes = load.outcomes_by_phase[phase]
    refused = sum(n for name, n in outcomes.items() if name.startswith("refused"))
    return {
        "phase": phase,
        "served_per_s": round(outcomes["served"] / PHASE_S, 1),
        "refused_per_s": round(refused / PHASE_S, 1),
        "late_per_s": round(late / PHASE_S, 1),
        "broken_per_s": round(outcomes["broken"] / PHASE_S, 1),
        **percentiles_ms(histogram),
    }


def change_zone(cluster: LocalCluster, serving: bool) -> float:
    """Take zone a out or back; return the seconds until that is in force."""
    started = time.monotonic()
    revision = cluster.set_serving("zone", "a", serving)
    wait_for(lambda: cluster.in_force(revision), "change in force")
    return time.monotonic() - started


def main() -> int:
    """Run one zone out and back."""
    with LocalCluster(vms(ENGINE, SERVICE)) as cluster:
        cluster.publish(TIDEWATER)
        cluster.wait_serving(5)
        load = Load(cluster, "draft", CALLERS, TOKENS)
        load.phase = "warm-up"
        with load:
            time.sleep(PHASE_S)
            load.phase = "before"
            time.sleep(PHASE_S)
            load.phase = "leaving"
            out_s = change_zone(cluster, False)
            time.sleep(PHASE_S - out_s)
            load.phase = "out"
            time.sleep(PHASE_S)
            load.phase = "returning"
            back_s = change_zone(cluster, True)
            time.sleep(PHASE_S - back_s)
            load.phase = "after"
            time.sleep(PHASE_S)
        overloads = sum(
            cluster.counts(vm).get("overloads", 0) for vm in cluster.vm_by_name
        )
        phases = ("warm-up", "before", "leaving", "out", "returning", "after")
        print_report("zones", [phase_row(phase, load) for phase in phases])
        times = {
            "out_in_force_s": round(out_s, 2),
            "back_in_force_s": round(back_s, 2),
        }
        print_report("zones_in_force", [{**times, "overloads": overloads}])
    return 0


if __name__ == "__main__":
    sys.exit(main())

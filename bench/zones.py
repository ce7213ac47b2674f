"""Requests served, refused and late while an availability zone leaves and returns."""

import sys
import threading
import time
from collections import Counter

from bench.common import percentiles_ms, post, report, vms
from poplarspar.state.metrics import new_histogram
from standins.cluster import LocalCluster, wait_for
from tests.base import TIDEWATER, expected_text, streamed_text

TOKENS = 30
CALLERS = 9
PHASE_S = 8.0
# An answer of 30 tokens, 10 ms each, is late a second after that.
LATE_S = TOKENS * 0.01 + 1.0
ENGINE = {"cold": 2, "warm": 8, "boot_s": 1.0, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16, "boot_s": 1.0}


class Phases:
    """Counts outcomes by the phase in which a request was sent."""

    def __init__(self, cluster: LocalCluster) -> None:
        self.cluster = cluster
        self.phase = "before"
        self.counts_by_phase: dict[str, Counter] = {}
        self.histogram_by_phase = {}
        self.stop = threading.Event()

    def run(self, caller: int) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            names = self.cluster.entry_names
            entry = names[(caller + number) % len(names)]
            phase = self.phase
            started = time.monotonic()
            outcome = self.send(entry, f"{caller}-{number}")
            elapsed = time.monotonic() - started
            if outcome == "served" and elapsed > LATE_S:
                outcome = "late"
            self.counts_by_phase.setdefault(phase, Counter())[outcome] += 1
            histogram = self.histogram_by_phase.setdefault(phase, new_histogram())
            histogram.record_value(int(elapsed * 1e6))

    def send(self, entry: str, prompt: str) -> str:
        document = {"prompt": prompt, "max_tokens": TOKENS}
        address = self.cluster.address(entry)
        answer = post(self.cluster, address, "/v1/pilots/draft", document)
        if answer.status != 200:
            return "refused"
        whole = streamed_text(answer.data) == expected_text(prompt, TOKENS)
        return "served" if whole else "broken"

    def last(self, phase: str, seconds: float) -> None:
        self.phase = phase
        time.sleep(seconds)


def main() -> int:
    """Run one zone out and back."""
    with LocalCluster(vms(ENGINE, SERVICE)) as cluster:
        cluster.publish(TIDEWATER)
        cluster.wait_serving(5)
        phases = Phases(cluster)
        threads = [
            threading.Thread(target=phases.run, args=(caller,))
            for caller in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        phases.last("warm-up", PHASE_S)
        phases.last("before", PHASE_S)
        phases.phase = "leaving"
        started = time.monotonic()
        revision = cluster.set_serving("zone", "a", False)
        wait_for(lambda: cluster.in_force(revision), "zone out")
        out_s = time.monotonic() - started
        time.sleep(PHASE_S - out_s)
        phases.last("out", PHASE_S)
        phases.phase = "returning"
        started = time.monotonic()
        revision = cluster.set_serving("zone", "a", True)
        wait_for(lambda: cluster.in_force(revision), "zone back")
        back_s = time.monotonic() - started
        time.sleep(PHASE_S - back_s)
        phases.last("after", PHASE_S)
        phases.stop.set()
        for thread in threads:
            thread.join()
        overloads = sum(
            cluster.counts(vm).get("overloads", 0) for vm in cluster.vm_by_name
        )
        rows = [
            {
                "phase": phase,
                **{
                    f"{outcome}_per_s": round(counts[outcome] / PHASE_S, 1)
                    for outcome in ("served", "refused", "late", "broken")
                },
                **percentiles_ms(phases.histogram_by_phase[phase]),
            }
            for phase, counts in phases.counts_by_phase.items()
        ]
        report("zones", rows)
        forces = {
            "out_in_force_s": round(out_s, 2),
            "back_in_force_s": round(back_s, 2),
        }
        report("zones_in_force", [{**forces, "overloads": overloads}])
    return 0


if __name__ == "__main__":
    sys.exit(main())

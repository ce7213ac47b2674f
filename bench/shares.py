"""Compares ways to split a backend server's limit among entries, in one process.

Three ways serve the same arrivals: an even split of each limit, one owner for
each backend server, and one owner that lends. The arrivals are random from a
fixed seed; requests hold a slot for a fixed time and give up after waiting.
"""

import heapq
import random
import sys
from dataclasses import dataclass, field

from bench.common import print_report

SEED = 20_261_204
ENTRIES = 9
BACKENDS = 12
REQUEST_S = 0.3
MAX_WAIT_S = 0.2
LOAN_OVERHEAD_S = 0.001
ARRIVALS = 40_000
LIMITS = (2, 8, 16)
UTILISATIONS = (0.5, 0.8, 0.95)


@dataclass
class SlotPool:
    """Slots that may be used together."""

    size: int
    busy_until: list[float] = field(default_factory=list)

    def wait_s(self, now: float) -> float:
        """Return how long a request would wait for a slot."""
        while self.busy_until and self.busy_until[0] <= now:
            heapq.heappop(self.busy_until)
        if len(self.busy_until) < self.size:
            return 0.0
        return self.busy_until[0] - now if self.size else float("inf")

    def occupy(self, now: float, wait_s: float) -> None:
        """Occupy the slot that is free after `wait_s`."""
        if wait_s > 0:
            heapq.heappop(self.busy_until)
        heapq.heappush(self.busy_until, now + wait_s + REQUEST_S)


def even_split(limit: int) -> list[SlotPool]:
    """Give every entry its part of every limit; remainders go round."""
    sizes = [0] * ENTRIES
    for backend in range(BACKENDS):
        for slot in range(limit):
            sizes[(backend * limit + slot) % ENTRIES] += 1
    return [SlotPool(size) for size in sizes]


def one_owner(limit: int) -> list[SlotPool]:
    """Give every backend server to one entry."""
    sizes = [0] * ENTRIES
    for backend in range(BACKENDS):
        sizes[backend % ENTRIES] += limit
    return [SlotPool(size) for size in sizes]


def run(pools: list[SlotPool], lend: bool, rate: float) -> dict:
    """Serve the arrivals and return what came of them."""
    source = random.Random(SEED)
    now = 0.0
    waits, refused, loans = [], 0, 0
    for _ in range(ARRIVALS):
        now += source.expovariate(rate)
        # Callers come unevenly: a third of them reach one entry.
        entry = 0 if source.random() < 0.33 else source.randrange(ENTRIES)
        choices = [entry]
        if lend:
            others = [n for n in range(ENTRIES) if n != entry]
            choices += source.sample(others, 3)
        best = min(choices, key=lambda n: (pools[n].wait_s(now), n != entry))
        wait_s = pools[best].wait_s(now)
        if wait_s > MAX_WAIT_S:
            refused += 1
            continue
        loans += best != entry
        pools[best].occupy(now, wait_s)
        waits.append(wait_s + (LOAN_OVERHEAD_S if best != entry else 0.0))
    waits.sort()
    return {
        "refused_percent": round(100 * refused / ARRIVALS, 2),
        "p95_wait_ms": round(waits[int(len(waits) * 0.95)] * 1000, 1),
        "loans_percent": round(100 * loans / ARRIVALS, 1),
    }


def main() -> int:
    """Compare the three ways at several limits and loads."""
    rows = []
    for limit in LIMITS:
        for utilisation in UTILISATIONS:
            rate = utilisation * limit * BACKENDS / REQUEST_S
            pools_by_strategy = {
                "even split": (even_split(limit), False),
                "one owner": (one_owner(limit), False),
                "owner lends": (one_owner(limit), True),
                "even split lends": (even_split(limit), True),
            }
            for name, (pools, lend) in pools_by_strategy.items():
                row = {"limit": limit, "load": utilisation, "way": name}
                rows.append({**row, **run(pools, lend, rate)})
    print_report("shares", rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())

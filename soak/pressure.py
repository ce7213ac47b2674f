"""Load under which callers compete for too little room, and the check of who is served.

Two kinds of requests of different urgency use one model, most requests come from one
workspace, and bursts of either kind ask for more than the model's groups complete.
"""

import random
from collections import Counter
from collections.abc import Iterable, Iterator

from soak.callers import SentRequest
from soak.faults import Fault

URGENT, RELAXED = "draft", "digest"
PRIORITY_BY_ROUTE = {URGENT: 0, "explain": 1, RELAXED: 2}
BURST_CALLERS = 24
LARGE_WORKSPACE_SHARE = 0.8
# The most urgent kind may be served this much less often than the least urgent one.
ORDER_TOLERANCE = 0.05
# Nobody is served less than this multiple of the share that all are.
MIN_RELATIVE_SHARE = 0.25
MIN_REQUESTS = 40


def draw_bursts(seed: int, length_s: float) -> list[Fault]:
    """Return bursts of both kinds in turn, which may overlap."""
    rng = random.Random(seed + 4)
    return [
        Fault(
            "burst",
            rng.uniform(0.0, 0.7) * length_s,
            rng.uniform(2.0, 5.0),
            number,
            planned=True,
        )
        for number in range(4)
    ]


def pressure_problems(requests: Iterable[SentRequest]) -> Iterator[str]:
    """Check who was served of the requests that no unplanned fault has touched."""
    by_kind: dict[str, Counter] = {}
    by_workspace: dict[str, Counter] = {}
    for request in requests:
        served = request.complete and request.status == 200
        if request.kind in PRIORITY_BY_ROUTE:
            by_kind.setdefault(request.kind, Counter())[served] += 1
            by_workspace.setdefault(request.workspace, Counter())[served] += 1
    shares = {kind: _share(counts) for kind, counts in by_kind.items()}
    urgent, relaxed = shares.get(URGENT), shares.get(RELAXED)
    if urgent is not None and relaxed is not None:
        if urgent < relaxed - ORDER_TOLERANCE:
            yield (
                f"{URGENT} is the most urgent and was served {urgent:.2f}, {RELAXED} "
                f"{relaxed:.2f}"
            )
    yield from _starved(by_kind)
    yield from _starved(by_workspace)


def _share(counts: Counter) -> float | None:
    """Return the served share, None of too few requests."""
    total = counts.total()
    return counts[True] / total if total >= MIN_REQUESTS else None


def _starved(counts_by_name: dict[str, Counter]) -> Iterator[str]:
    all_counts = sum(counts_by_name.values(), Counter())
    all_share = _share(all_counts)
    for name, counts in counts_by_name.items():
        share = _share(counts)
        if share is not None and share < MIN_RELATIVE_SHARE * all_share:
            yield f"{name} was served {share:.2f}, all {all_share:.2f}"

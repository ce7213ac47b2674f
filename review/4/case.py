"""A worker in need names its limit with sixteen digits after the point."""

import standins.common  # noqa: F401  # isort: skip

import os
import time
from functools import partial
from pathlib import Path

import eventlet

from review.common.nodes import STABLE_WINDOW_S, end_with
from review.common.plain import Clients, run_case
from soak.environment import Environment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKER = "p-0"
# One request in three seconds, as a program prints the fraction 1 / 3.
LIMIT = os.environ.get("LIMIT", str(1 / 3))
REQUESTS_PER_S = 12.0
NAMED_S = 40.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# A machine counts this long after it has passed on an answer with the limit.
TOLD_S = 0.5


def play(record, environment: Environment, clients: Clients):
    """Let one worker name its limit for some time."""
    worker = environment.worker_by_id[WORKER].server
    if TROUBLE:
        worker.rate_limit = LIMIT
    began_at = time.monotonic()
    eventlet.sleep(NAMED_S)
    return partial(judge, record, worker, clients, began_at)


def judge(record, worker, clients: Clients, began_at: float) -> int:
    """Write the record and return 1 if the rule was broken."""
    request_by_id = clients.request_by_id
    since = [(id, at) for id, at, _ in worker.arrivals if at > began_at]
    first_named_at = since[0][1] if since else float("inf")
    told_at: dict[str, float] = {}
    for id, _ in since:
        request = request_by_id[id]
        known = told_at.get(request.node, float("inf"))
        told_at[request.node] = min(known, request.ended_at)
    counted = []
    for id, at in since:
        node = request_by_id[id].node
        counts = at > first_named_at + STABLE_WINDOW_S and at >= told_at[node] + TOLD_S
        if counts:
            counted.append(at)
        print(
            f"{at - began_at:7.3f} {worker.id} gets {id} from {node}"
            f"{' (counted)' if counts else ''}",
            file=record,
        )
    if not TROUBLE:
        print("no limit is named", file=record)
        return 0
    allowed = FACTOR * WINDOW_S * float(LIMIT) + SLACK
    most = max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )
    print(
        f"limit named: {LIMIT} a second; most requests in {WINDOW_S} s: {most}, "
        f"{allowed:.2f} are allowed",
        file=record,
    )
    return 1 if most > allowed else 0


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    end_with(lambda: run_case(folder, Environment, REQUESTS_PER_S, play))

"""Workers carry out orders late and are cut off for a moment; checks TWO."""

import standins.common  # noqa: F401  # isort: skip

import random
import time
from pathlib import Path

import eventlet

import soak.environment
from poplarspar.exceptions import BackendFailed
from poplarspar.state.orders import Unanswered
from review.common.nodes import end_with
from review.common.prompts import TROUBLE, Clients, Sent, run_case
from soak.environment import Environment
from standins.pool import Pool

SEED = 1
# The largest doses of sahay-poplar: orders that are lost and carried out late, and
# workers that are cut off from all machines.
LATE_SHARE = 0.35
LATE_S = (2.0, 12.0)
CUT_SHARE = 0.17
CUT_S = 1.5
INTERVAL_S = 2.4
LENGTH_S = 80.0


class LatePool(Pool):
    """Workers that leave some orders unanswered and carry them out seconds later."""

    late = False

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        """Execute an order at once, or late and without an answer."""
        if not self.late or self._random.random() >= LATE_SHARE:
            return super().send(
                backend,
                order,
                fence=fence,
                accepted_before=accepted_before,
                timeout_s=timeout_s,
            )
        try:
            worker = self._find_responsive(backend, timeout_s)
        except BackendFailed:
            return Unanswered()
        delay_s = self._random.uniform(*LATE_S)
        eventlet.spawn_after(
            delay_s, self._execute, worker, order, fence, accepted_before
        )
        eventlet.sleep(timeout_s)
        return Unanswered()


def disturb(clients: Clients) -> None:
    """Cut workers off for a moment, again and again, while orders are carried out late.

    Nothing is disturbed with TROUBLE=0.
    """
    environment = clients.environment
    environment.pool.late = TROUBLE
    draw = random.Random(SEED)
    ends_at = time.monotonic() + LENGTH_S
    while time.monotonic() < ends_at:
        cut = _paths_to_cut(environment, draw) if TROUBLE else []
        for path in cut:
            environment.set_path(path, "freeze")
        eventlet.sleep(CUT_S)
        for path in cut:
            environment.set_path(path, "pass")
        eventlet.sleep(INTERVAL_S - CUT_S)


def _paths_to_cut(environment: Environment, draw: random.Random) -> list[str]:
    """Return the paths to members of open groups, one of each, but not to the heads."""
    pool = environment.pool
    members = []
    for key in pool.serving():
        ids = next(w.members for w in pool.by_id.values() if _key(w) == key)
        members.append(draw.choice(ids[1:]))
    most = int(CUT_SHARE * len(pool.by_id))
    chosen = draw.sample(members, min(most, len(members)))
    return [environment.worker_by_id[id].path for id in chosen]


def _key(worker) -> tuple[str, int] | None:
    membership = worker.engine_state.membership
    return membership and membership.key


def judge(record, environment: Environment, sent: list[Sent], began_at: float) -> int:
    """Write the record and return 1 if the rule was broken."""
    sound = [request for request in sent if request.at > began_at]
    complete = sum(request.status == 200 for request in sound)
    print(f"requests answered with 200: {complete} of {len(sound)}", file=record)
    print(f"orders at workers: {environment.pool.orders}", file=record)
    breaches = environment.pool.breaches
    for line in breaches:
        print(line, file=record)
    broken = [line for line in breaches if " joined " in line]
    print(f"joins of members of an open group: {len(broken)}", file=record)
    return 1 if broken else 0


if __name__ == "__main__":
    soak.environment.Pool = LatePool
    folder = Path(__file__).resolve().parent
    end_with(lambda: run_case(folder, disturb, judge=judge))

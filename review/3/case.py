"""Workers crash on a part of a prompt just after they have begun to write."""

import time
from pathlib import Path

import eventlet

from poplarspar.transport.server import Request
from review.common.nodes import end_with
from review.common.prompts import MODELS, PART, Clients, run_case
from soak.environment import Environment

REQUESTS = 16
INTERVAL_S = 2.0
# The next event of a stream follows the first one after 30 ms.
CRASH_DELAY_S = 0.015


class LaterCrashes(Environment):
    """Workers that crash after their first event, and before the next one."""

    def _begin(self, id: str, request: Request) -> None:
        harm = self.current_harm
        if harm is not None and harm.part in request.headers.get("Prompt-Prefix", ""):
            eventlet.spawn_after(CRASH_DELAY_S, self._crash_on, harm, id)

    def _crash_on(self, harm, id: str) -> None:
        if self.worker_by_id[id].silent_since is None:
            harm.crashes.append((id, time.monotonic()))
            self.crash(id)


def send_singly(clients: Clients) -> None:
    """Send requests with the part one after the other."""
    for index in range(REQUESTS):
        clients.send(MODELS[index % 2], PART)
        eventlet.sleep(INTERVAL_S)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    end_with(lambda: run_case(folder, send_singly, LaterCrashes))

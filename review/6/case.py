"""Trailers without end after one worker's report hold up the whole node."""

import subprocess
import sys
import time
from pathlib import Path

import eventlet
from eventlet.green import socket

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402

from standins.engines import engine_document  # noqa: E402
from standins.platform import PlainWorker, Store  # noqa: E402
from standins.pool import small_engine  # noqa: E402

TROUBLE_AT_S = 8.0
TROUBLE_S = 12.0
REQUESTS_PER_S = 9.3
TIMEOUT_S = 1.0
LATE_S = 0.5
ROUTE = {
    "name": "look",
    "host": "a.example",
    "path_prefix": "/look/",
    "kind": "idempotent",
    "timeout_ms": int(TIMEOUT_S * 1000),
    "target_latency_ms": 125,
    "priority": 1,
    "service": "ledger",
    "max_attempts": 2,
}
PLAIN = {"health_check": "/healthz", "max_connections": 110, "cold_start_s": 0.0}
SERVICES = [
    {"name": "ledger", **PLAIN, "cold_per_s": 0.0},
    {
        "name": "llm",
        **PLAIN,
        "cold_per_s": 0.0,
        "engine": engine_document(small_engine(13)),
    },
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}


class Client:
    """Sends one request and waits until half a second after the route's time-out."""

    def __init__(self, record, node, number: int) -> None:
        self._record = record
        self._node = node
        self.id = f"c{number}"
        self.sent_at = time.monotonic()
        self.answer = harness.Answer()
        self.task = eventlet.spawn(self._run)

    def _run(self) -> None:
        head = harness.request_head(
            "POST", "/look/1", self.id, 0, {"Deadline-Ms": "1000"}
        )
        with eventlet.Timeout(TIMEOUT_S + LATE_S, False):
            try:
                sock = socket.create_connection(self._node.address)
                sock.sendall(head)
                self.answer = harness.read_answer(sock)
                sock.close()
            except OSError as error:
                self.answer.cause = str(error)
        self._record.write(
            f"client {self.id}: status {self.answer.status} {self.answer.cause}"
        )


def run(record, stack) -> bool:
    """Return whether most requests had no answer in time."""
    store = Store()
    workers = [(PlainWorker(f"w{number}"), {"slots": 6}) for number in range(3)]
    trouble_s = TROUBLE_S if harness.has_trouble() else 0.0
    arguments = [str(TROUBLE_AT_S), str(trouble_s)]
    process = subprocess.Popen(
        [sys.executable, str(FOLDER / "endless.py"), *arguments], stdout=subprocess.PIPE
    )
    stack.callback(process.wait)
    stack.callback(process.kill)
    started_at = time.monotonic()
    port = int(process.stdout.readline())
    harness.publish(store, workers, routes=[ROUTE], services=SERVICES, limits=LIMITS)
    entry = workers[0][0].entry(
        "llm", address=f"127.0.0.1:{port}", slots=13, models=[], domain="d0"
    )
    store.put("servers/m0", entry)
    node = harness.Node(record, stack, store.address)
    node.wait_ready()
    clients = []
    while time.monotonic() < started_at + TROUBLE_AT_S + TROUBLE_S:
        clients.append(Client(record, node, len(clients)))
        eventlet.sleep(1.0 / REQUESTS_PER_S)
    for client in clients:
        client.task.wait()
    begin = started_at + TROUBLE_AT_S
    before = [c for c in clients if c.sent_at < begin - TIMEOUT_S]
    during = [c for c in clients if c.sent_at >= begin]
    unanswered = [c for c in during if not c.answer.status]
    record.say(
        f"before it {sum(c.answer.status == 200 for c in before)} of {len(before)} "
        f"requests were served; of {len(during)} during it {len(unanswered)} had no "
        f"answer {LATE_S} s after the route's time-out; in rotation={node.in_rotation}"
    )
    return len(unanswered) > len(during) / 2


if __name__ == "__main__":
    harness.run_case(FOLDER, run)

"""Evidence against a common prompt part counts again after all nodes restart."""

import signal
import sys
import time
from pathlib import Path

import eventlet
from eventlet.green import socket

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from stream_worker import StreamWorker  # noqa: E402

from standins.platform import Store  # noqa: E402

NODES = 2
WORKERS = 2
SLOTS = 26
# Short answers, as of some requests on the sheet.
EVENTS = 2
EVENT_PERIOD_S = 0.02
BEGIN_S = 0.28
REQUESTS_PER_S = 80.0
DEADLINE_S = 8.0
FIRST_START_MS = 1_700_000_000_000
# The part that all prompts begin with.
COMMON_PART = "5c1e07a2"
CRASHES_AT_S = (4.0, 14.0, 24.0)
CRASH_S = 4.5
KILLED_AFTER_S = 0.5
DOWN_S = 1.0
RECOVER_S = 12.0
JUDGED_S = 10.0
ROUTE = {
    "name": "tell",
    "host": "a.example",
    "path_prefix": "/tell/",
    "kind": "stream",
    "timeout_ms": 8000,
    "target_latency_ms": 300,
    "gap_aim_ms": 300,
    "priority": 1,
    "service": "ledger",
    "max_attempts": 2,
    "resumable": True,
}


class Client:
    """Sends one request; no two are alike but for the part that they begin with."""

    def __init__(self, record, nodes: list, number: int) -> None:
        self._record = record
        self.id = f"c{number}"
        self.sent_at = time.monotonic()
        self.answer = harness.Answer()
        up = [node for node in nodes if node.in_rotation] or nodes
        self._address = up[number % len(up)].address
        self.task = eventlet.spawn(self._run)

    def _run(self) -> None:
        head = harness.request_head(
            "POST",
            "/tell/1",
            self.id,
            len(self.id),
            {
                "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                "Token-Count": "740,175",
                "Prompt-Prefix": f"{COMMON_PART}:40,{self.id}f:700",
            },
        )
        with eventlet.Timeout(DEADLINE_S + 1.0, False):
            try:
                sock = socket.create_connection(self._address, 1.0)
                sock.settimeout(None)
                sock.sendall(head + self.id.encode())
                self.answer = harness.read_answer(sock)
                sock.close()
            except OSError as error:
                self.answer.cause = str(error)
        self._record.write(
            f"client {self.id}: status {self.answer.status} "
            f"complete={self.answer.complete} {self.answer.cause}"
        )

    @property
    def served(self) -> bool:
        """Whether the whole answer arrived."""
        return self.answer.status == 200 and self.answer.complete


def share_served(clients: list[Client], begin: float, end: float) -> tuple[int, int]:
    """Return how many requests sent in a time were served, and how many were sent."""
    sent = [client for client in clients if begin <= client.sent_at < end]
    return sum(client.served for client in sent), len(sent)


def run(record, stack) -> bool:
    """Return whether under a quarter is served after the recovery."""
    trouble = harness.has_trouble()
    store = Store()
    workers = [
        StreamWorker(f"w{number}", EVENTS, EVENT_PERIOD_S, BEGIN_S)
        for number in range(WORKERS)
    ]
    entries = [(worker, {"slots": SLOTS}) for worker in workers]
    harness.publish(store, entries, routes=[ROUTE])

    def start_nodes() -> list:
        return [
            harness.Node(record, stack, store.address, f"front-{number}")
            for number in range(NODES)
        ]

    nodes = start_nodes()
    for node in nodes:
        node.wait_ready()
    begin = time.monotonic()
    clients: list[Client] = []
    generations = [nodes]

    def send() -> None:
        while True:
            clients.append(Client(record, generations[-1], len(clients)))
            eventlet.sleep(1.0 / REQUESTS_PER_S)

    sender = eventlet.spawn(send)
    for number, at_s in enumerate(CRASHES_AT_S, 1):
        eventlet.sleep(max(0.0, begin + at_s - time.monotonic()))
        if not trouble:
            continue
        record.write("all backend servers crash")
        for worker in workers:
            worker.crash()
        crashed_at = time.monotonic()
        if at_s == CRASHES_AT_S[-1]:
            eventlet.sleep(KILLED_AFTER_S)
            record.write("all nodes are killed")
            for key in store.items:
                if key.startswith("poplarspar-quarantine/"):
                    record.write(f"store: {key} = {store.text(key)}")
            for node in generations[-1]:
                node.signal(signal.SIGKILL)
            eventlet.sleep(DOWN_S)
            generations.append(start_nodes())
            record.write("all nodes are started")
        eventlet.sleep(crashed_at + CRASH_S - time.monotonic())
        for worker in workers:
            worker.come_back()
            fields = {"slots": SLOTS, "born": FIRST_START_MS + number}
            store.put(f"servers/{worker.id}", worker.entry("ledger", **fields))
        record.write("all backend servers run again")
    back_at = time.monotonic()
    eventlet.sleep(RECOVER_S + JUDGED_S)
    sender.kill()
    judged_end = time.monotonic()
    for client in clients:
        client.task.wait()
    steady = share_served(clients, begin + 10.0, begin + 13.0)
    after = share_served(clients, back_at + RECOVER_S, judged_end)
    record.say(
        f"served between the first two crashes {steady[0]} of {steady[1]}; "
        f"of those sent later than {RECOVER_S:.0f} s after all was back {after[0]} of "
        f"{after[1]}"
    )
    for node in generations[-1]:
        for line in node.log_lines('"event": 260')[:1]:
            record.say(f"log of a node: {line.strip()[:300]}")
    return steady[0] > steady[1] / 4 and after[0] < after[1] / 4


if __name__ == "__main__":
    harness.run_case(FOLDER, run)

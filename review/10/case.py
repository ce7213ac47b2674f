"""A machine is stopped while the store is silent, and cuts streams taken late."""

import signal
import sys
import time
from pathlib import Path

import eventlet
from eventlet.green import socket

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from silent_gate import SilentGate  # noqa: E402

from poplarspar.transport.server import Request, Response  # noqa: E402
from standins.platform import PlainWorker, Run, Store  # noqa: E402

GRACE_S = 8.0
# Requests that are sent later than this after the SIGTERM must be ended or not taken.
SENT_AFTER_S = 3.0
STORE_DOWN_S = 4.5
CLIENTS = 10
# They send their requests from this time after the SIGTERM on, this far apart.
FIRST_S = 3.1
APART_S = 0.05
DEADLINE_S = 8.0
EVENT_PERIOD_S = 0.3
LONG_EVENTS = 17
SHORT_EVENTS = 2
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


class StreamWorker(PlainWorker):
    """A backend server that answers with events, one each `EVENT_PERIOD_S`."""

    def __init__(self, id: str) -> None:
        self.ended: list[str] = []
        super().__init__(id)

    def handle(self, request: Request) -> Response:
        """Answer with events."""
        id = request.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": id}
        if request.headers.get("Expect-Instance") != self.id:
            return Response(421, b"", None, headers)
        self.runs.append(Run.from_request(self.id, request))
        headers["Response-Signature"] = f"s.{self.id}"
        headers["Content-Type"] = "text/event-stream"
        return Response(200, self._events(request, id), None, headers)

    def _events(self, request: Request, id: str):
        count = LONG_EVENTS if request.target.endswith("long") else SHORT_EVENTS
        for number in range(1, count + 1):
            yield f"id: {number}\ndata: {id}.{number}\n\n".encode()
            if number < count:
                eventlet.sleep(EVENT_PERIOD_S)
        self.ended.append(id)


class Client:
    """Has a stream, keeps the connection, and asks for another one on it."""

    def __init__(self, record, node, number: int) -> None:
        self._record = record
        self.id = f"c{number}"
        self.sent_after_s = 0.0
        self.answer = harness.Answer()
        self._sock = socket.create_connection(node.address)
        self._send("short", f"{self.id}.0")
        first = harness.read_answer(self._sock)
        if not first.complete:
            raise RuntimeError(f"first stream: {first.status} {first.cause}")

    def _send(self, name: str, id: str) -> None:
        deadline = {"Deadline-Ms": str(int(DEADLINE_S * 1000))}
        head = harness.request_head("POST", f"/tell/{name}", id, 0, deadline)
        self._sock.sendall(head)

    def run(self, at: float, stopped_at: float) -> None:
        """Send the request at a time if the connection is still open."""
        eventlet.sleep(max(0.0, at - time.monotonic()))
        self._sock.settimeout(0.0)
        try:
            is_closed = not self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            is_closed = False
        if is_closed:
            self._record.write(f"client {self.id}: the connection is closed, not sent")
            return
        self._sock.settimeout(DEADLINE_S)
        self.sent_after_s = time.monotonic() - stopped_at
        try:
            self._send("long", self.id)
        except OSError as error:
            self.answer.cause = str(error)
            return
        self.answer = harness.read_answer(self._sock)
        took_s = time.monotonic() - stopped_at - self.sent_after_s
        self._record.write(
            f"client {self.id}: sent {self.sent_after_s:.3f} s after the SIGTERM, "
            f"status {self.answer.status}, {self.answer.body.count(b'data:')} of "
            f"{LONG_EVENTS} events, complete={self.answer.complete}, after "
            f"{took_s:.2f} s {self.answer.cause}"
        )


def run(record, stack) -> bool:
    """Return whether a stream was cut that was sent late and passed on."""
    store = Store()
    gate = SilentGate(store.address)
    workers = [StreamWorker(f"w{number}") for number in range(3)]
    entries = [(worker, {"slots": 6}) for worker in workers]
    harness.publish(store, entries, routes=[ROUTE])
    node = harness.Node(record, stack, gate.address)
    node.wait_ready()
    eventlet.sleep(3.0)
    clients = [Client(record, node, number) for number in range(CLIENTS)]
    if harness.has_trouble():
        gate.close()
        eventlet.spawn_after(STORE_DOWN_S, gate.open)
        record.write("the store is silent")
    eventlet.sleep(0.2)
    stopped_at = time.monotonic()
    node.signal(signal.SIGTERM)
    record.write("SIGTERM")
    tasks = [
        eventlet.spawn(client.run, stopped_at + FIRST_S + APART_S * number, stopped_at)
        for number, client in enumerate(clients)
    ]
    for task in tasks:
        task.wait()
    while node.runs and time.monotonic() < stopped_at + GRACE_S:
        eventlet.sleep(0.05)
    record.say(f"{time.monotonic() - stopped_at:.2f} s: the node runs={node.runs}")
    ran = {run.attempt_id for worker in workers for run in worker.runs}
    sound = {client.id for client in clients} & ran
    cut = [
        client
        for client in clients
        if client.id in sound
        and client.sent_after_s > SENT_AFTER_S
        and not client.answer.complete
    ]
    record.say(
        f"{len(clients)} clients: {len(sound)} requests passed on to a backend server, "
        f"{len(cut)} of those that were sent over {SENT_AFTER_S} s after the SIGTERM "
        f"ended without a complete answer"
    )
    return bool(cut)


if __name__ == "__main__":
    harness.run_case(FOLDER, run)

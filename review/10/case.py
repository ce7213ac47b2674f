"""Requests whose paths begin with two slashes reach backend servers with one."""

import sys
from pathlib import Path

from eventlet.green import socket

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402

from standins.platform import PlainWorker, Store  # noqa: E402

REQUESTS = 10
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}


def route(name: str, path_prefix: str, service: str) -> dict:
    """Return a route for requests that run once at most."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": path_prefix,
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


ROUTES = [route("other", "/", "other"), route("file", "/file/", "ledger")]


def service(name: str) -> dict:
    """Return a plain service."""
    return {
        "name": name,
        "health_check": "/healthz",
        "max_connections": 110,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


def run(record, stack) -> bool:
    """Return whether a backend server ran a request with another path."""
    store = Store()
    ledger, other = PlainWorker("w0"), PlainWorker("w1")
    harness.publish(
        store,
        [(ledger, {"slots": 6})],
        routes=ROUTES,
        services=[service("ledger"), service("other")],
        limits=LIMITS,
    )
    store.put("servers/w1", other.entry("other", slots=6))
    node = harness.Node(record, stack, store.address)
    node.wait_ready()
    target_by_id = {}
    for number in range(REQUESTS):
        slashes = "//" if harness.has_trouble() else "/"
        id, target = f"c{number}", f"{slashes}file/{number}?case={number}"
        target_by_id[id] = target
        head = harness.request_head("POST", target, id, 0, {"Deadline-Ms": "1000"})
        with socket.create_connection(node.address) as sock:
            sock.sendall(head)
            answer = harness.read_answer(sock)
        record.write(f"client {id}: POST {target}: status {answer.status}")
    changed = 0
    for name, worker in (("ledger", ledger), ("other", other)):
        for ran in worker.runs:
            is_changed = ran.target != target_by_id[ran.attempt_id]
            changed += is_changed
            record.write(
                f"worker of {name}: ran {ran.attempt_id}: {ran.method} {ran.target}, "
                f"changed={is_changed}"
            )
    record.say(f"{REQUESTS} requests: {changed} ran with another path than was sent")
    return changed > 0


if __name__ == "__main__":
    harness.run_case(FOLDER, run)

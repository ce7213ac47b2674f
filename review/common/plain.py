"""Idempotent requests to plain workers: nodes, clients and the run of a case."""

import standins.common  # noqa: F401  # isort: skip

import itertools
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import eventlet

import soak.environment
from review.common.nodes import (
    STABLE_WINDOW_S,
    NodeProcess,
    loopback_prefix,
    wait_until,
)
from soak.environment import Environment

NODE_COUNT = 6
ZONES = ("z-a", "z-b", "z-c")
HEARTBEAT_S = 1.2
TIMEOUT_S = 1.0
READY_S = 20.0
GROUPS_AT_START = 4


@dataclass
class Sent:
    """One request of a client and its outcome."""

    id: str
    node: str
    at: float
    status: int = 0
    ended_at: float = float("inf")


class Clients:
    """Clients that send idempotent requests, each on a connection of its own.

    Parameters
    ----------
    requests_per_s : float
        Mean rate; the intervals are uneven, and the same in each run.
    """

    def __init__(self, nodes: list[NodeProcess], requests_per_s: float) -> None:
        self._nodes = itertools.cycle(nodes)
        self._requests_per_s = requests_per_s
        self.sent: list[Sent] = []

    @property
    def request_by_id(self) -> dict[str, Sent]:
        """All requests by their `Attempt-Id`."""
        return {request.id: request for request in self.sent}

    def run(self) -> None:
        """Send requests without end."""
        draw = random.Random(1)
        for number in itertools.count(1):
            node = next(self._nodes)
            request = Sent(f"r{number}", node.name, time.monotonic())
            self.sent.append(request)
            eventlet.spawn(self._exchange, request, node.address)
            eventlet.sleep(draw.expovariate(self._requests_per_s))

    @staticmethod
    def _exchange(request: Sent, address: str) -> None:
        host, port = address.split(":")
        connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        headers = {
            "Host": soak.environment.HOST,
            "Attempt-Id": request.id,
            "Authorization": "Token key-1",
            "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
        }
        try:
            connection.request("GET", f"/look/{request.id}", headers=headers)
            response = connection.getresponse()
            response.read()
            request.status = response.status
            request.ended_at = time.monotonic()
        except (OSError, HTTPException):
            # The request stays incomplete.
            pass
        finally:
            connection.close()


def run_case(
    folder: Path,
    environment_type: type[Environment],
    requests_per_s: float,
    play: Callable[[object, Environment, Clients], Callable[[], int]],
) -> int:
    """Run a case with its record, and return the exit status.

    The deployment has 3 plain workers, and 18 model workers in domains of nine.

    Parameters
    ----------
    folder : Path
        Folder of the case, for the record.
    environment_type : type
        Store and workers.
    play : callable
        Brings the disruption about, given the record, the environment and the clients,
        and returns the check, which writes the record and returns the exit status.
    """
    module = soak.environment
    module.DOMAINS = {"d0": 9, "d1": 9}
    module.ZONES = ZONES
    module.HEARTBEAT_S = HEARTBEAT_S
    module.ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
    files = Path(tempfile.mkdtemp())
    with (folder / "record.txt").open("w") as record, ExitStack() as stack:
        stack.callback(shutil.rmtree, files, ignore_errors=True)
        environment = environment_type()
        stack.callback(environment.close)
        status = _run(record, stack, files, environment, requests_per_s, play)
        print(f"exit status {status}", file=record)
    return status


def _run(
    record,
    stack: ExitStack,
    files: Path,
    environment: Environment,
    requests_per_s: float,
    play: Callable,
) -> int:
    prefix = loopback_prefix()
    nodes = []
    for index in range(NODE_COUNT):
        name, host = f"front-{index + 1}", f"{prefix}.{index + 1}"
        zone, store = ZONES[index % len(ZONES)], environment.store.address
        node = NodeProcess(name, host, zone, files, store)
        stack.callback(node.stop)
        node.start()
        nodes.append(node)
    if not wait_until(lambda: all(n.is_ready() for n in nodes), READY_S):
        print("the nodes did not become ready", file=record)
        return 2
    if not wait_until(
        lambda: len(environment.pool.serving()) >= GROUPS_AT_START, READY_S
    ):
        print("the replica groups did not form", file=record)
        return 2
    clients = Clients(nodes, requests_per_s)
    stack.callback(eventlet.spawn(clients.run).kill)
    # The machines are in touch before the disruption.
    eventlet.sleep(2 * STABLE_WINDOW_S)
    judge = play(record, environment, clients)
    ended = [node.name for node in nodes if node.process.poll() is not None]
    if ended:
        print(f"processes ended: {ended}", file=record)
        return 2
    status = judge()
    served = sum(request.status == 200 for request in clients.sent)
    print(f"requests served: {served} of {len(clients.sent)}", file=record)
    return status

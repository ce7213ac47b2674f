"""The store cuts a waiting watch of each node; workers leave without a report."""

import standins.common  # noqa: F401  # isort: skip

import os
import socket
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import eventlet

import soak.environment
from poplarspar.transport.server import Request, Response
from review.common.nodes import end_with
from review.common.plain import ZONES, Clients, run_case
from soak.environment import LEAVING, PLAIN_WORK_S, Environment
from standins.platform import PlainWorker, Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
REQUESTS_PER_S = 6.0
ROUNDS = 8
ROUND_S = 9.0
# A worker that leaves serves for the draining time and a little longer.
SERVES_S = DRAIN_S + 4.0
# The store cuts watches of the list of nodes, which no worker's entry is in, this long
# before the entry of the worker that leaves is removed.
CUT_PREFIX = "poplarspar/"
CUT_BEFORE_S = 0.5


@dataclass
class Departure:
    """A worker that leaves without reporting that it drains."""

    worker: PlainWorker
    removed_at: float


class CuttingStore(Store):
    """A store that can cut the watches of `CUT_PREFIX` that wait at one moment."""

    def __init__(self) -> None:
        self.cuts = 0
        self.cut_watches = 0
        super().__init__()

    def handle(self, request: Request) -> Response:
        """Answer a call, or close its connection if it is a watch that is cut."""
        response = super().handle(request)
        if response.status == 0:
            self.cut_watches += 1
            request.connection.shutdown(socket.SHUT_RDWR)
        return response

    def _watch(self, query: dict) -> Response:
        if query["path_prefix"] != CUT_PREFIX:
            return super()._watch(query)
        cuts = self.cuts
        task = eventlet.spawn(super()._watch, query)
        while not task.dead and self.cuts == cuts:
            eventlet.sleep(0.005)
        if task.dead:
            return task.wait()
        task.kill()
        return Response(0, b"")


class _EntryReader:
    """Takes the entry that a worker would write."""

    down = False
    document: dict

    def put(self, key: str, document: dict) -> None:
        self.document = document


class QuietEnvironment(Environment):
    """Workers that write their entry again only if more than `seq` changes."""

    def __post_init__(self) -> None:
        self._written: dict[str, dict] = {}
        super().__post_init__()

    def _write_entry(self, id: str, worker) -> None:
        seq = worker.seq
        store, self.store = self.store, _EntryReader()
        try:
            super()._write_entry(id, worker)
            entry = self.store.document
        finally:
            self.store = store
        worker.seq = seq
        if entry != self._written.get(id):
            self._written[id] = dict(entry)
            self.store.put(f"servers/{id}", entry)

    def leave(self, id: str) -> Departure:
        """Remove a worker's entry; the worker goes on serving for some time."""
        worker = self.worker_by_id.pop(id)
        worker.server.extra_headers = LEAVING
        self.store.remove(f"servers/{id}")
        eventlet.spawn_after(SERVES_S, self.set_path, worker.path, "cut")
        return Departure(worker.server, time.monotonic())

    def add_plain(self, id: str, zone: str) -> None:
        """Start a new worker of the plain service."""
        server = PlainWorker(id, self.runs)
        server.work_s = PLAIN_WORK_S
        self._add(id, server, "ledger", zone)
        self._write_entry(id, self.worker_by_id[id])


def play(record, environment: QuietEnvironment, clients: Clients):
    """Let workers leave one after the other, each just after a cut of watches."""
    departures = []
    for index in range(ROUNDS):
        next_at = time.monotonic() + ROUND_S
        if TROUBLE:
            environment.store.cuts += 1
        eventlet.sleep(CUT_BEFORE_S)
        departures.append(environment.leave(f"p-{index}"))
        # Another worker takes the place of the one that leaves.
        environment.add_plain(f"p-{index + 3}", ZONES[index % len(ZONES)])
        eventlet.sleep(next_at - time.monotonic())
    return partial(judge, record, environment, clients, departures)


def judge(
    record,
    environment: QuietEnvironment,
    clients: Clients,
    departures: list[Departure],
) -> int:
    """Write the record and return 1 if the rule was broken."""
    request_by_id = clients.request_by_id
    late_count = 0
    for departure in departures:
        worker, removed_at = departure.worker, departure.removed_at
        print(f"{worker.id}: entry removed", file=record)
        for id, at, _ in worker.arrivals:
            if at < removed_at:
                continue
            request = request_by_id[id]
            late = at > removed_at + DRAIN_S
            late_count += late
            print(
                f"  {at - removed_at:6.3f} s after it, gets {id} from {request.node}, "
                f"sent {request.at - removed_at:6.3f} s after it"
                f"{': LATE' if late else ''}",
                file=record,
            )
    print(f"watches cut: {environment.store.cut_watches}", file=record)
    print(
        f"{late_count} requests reached a worker later than {DRAIN_S} s after the "
        "store had acknowledged that it is gone, none is allowed",
        file=record,
    )
    return 1 if late_count else 0


if __name__ == "__main__":
    soak.environment.Store = CuttingStore
    folder = Path(__file__).resolve().parent
    end_with(lambda: run_case(folder, QuietEnvironment, REQUESTS_PER_S, play))

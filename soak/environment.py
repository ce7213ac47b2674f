"""What a soak's nodes meet: the store, workers, and the paths to them."""

import time
from contextlib import ExitStack
from dataclasses import dataclass, field

import eventlet

from standins.engines import ModelWorker, engine_document
from standins.faultproxy import FaultProxy
from standins.platform import PlainWorker, Run, Store, configuration
from standins.pool import Pool, small_engine

ENGINE = small_engine(slots=6)
DOMAINS = {"d0": 6, "d1": 6}
PLAIN_WORKERS = 3
PLAIN_WORK_S = 0.02
ZONES = ("z-a", "z-b")
HOST = "a.example"
KEYS = {"pilots": "key-1", "agents": "key-2"}
# Workers write their entries about this often; three missed ones end an entry.
HEARTBEAT_S = 0.5
ENTRY_EXPIRY_S = 1.5
STREAM_TIMEOUT_MS = 5000
CALL_TIMEOUT_MS = 1500


@dataclass
class Change:
    """Something that the store acknowledged to the operator or a worker.

    Attributes
    ----------
    zone, leaving : str
        Zone that is out, worker that leaves; a hyphen before it takes that back.
    """

    at: float
    version: int = 0
    zone: str = ""
    leaving: str = ""


@dataclass
class ProxiedWorker:
    """A worker with its path; `gone_at` is set while it has no entry."""

    server: ModelWorker | PlainWorker
    service: str
    zone: str
    path: str
    started_ms: int = 1
    draining: bool = False
    silent_since: float | None = None
    seq: int = 0


@dataclass
class Environment:
    """The store and all workers in this process, each behind paths of a proxy."""

    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    version: int = 0

    def __post_init__(self):
        self._exit_stack = ExitStack()
        self.proxy = FaultProxy()
        self.store = Store()
        self._exit_stack.callback(self.store.close)
        self.pool = Pool(ENGINE)
        self.worker_by_id: dict[str, ProxiedWorker] = {}
        self._add_workers()
        self.publish()
        beat = eventlet.spawn(self._send_heartbeats)
        self._exit_stack.callback(beat.kill)

    def close(self) -> None:
        """End the store and the workers."""
        self._exit_stack.close()

    def open_store_path(self) -> str:
        """Return the address of a new path to the store."""
        return self.proxy.open(self.store.address)

    def set_path(self, address: str, mode: str, delay_s: float = 0.0) -> None:
        """Set what a path does to its connections."""
        path = self.proxy.path_by_address[address]
        path.delay_s = delay_s
        self.proxy.set_mode(path, mode)

    def publish(self) -> None:
        """Write the next configuration, whose version has a route of its own."""
        self.version += 1
        document = configuration(self.version)
        model = {"service": "llm", "timeout_ms": STREAM_TIMEOUT_MS, "kind": "stream"}
        model |= {"resumable": True, "gap_aim_ms": 300}
        call = {"timeout_ms": CALL_TIMEOUT_MS}
        route = document["routes"][0]
        document["routes"] = [
            _route(route, "pay", kind="non_idempotent", **call),
            _route(route, "look", kind="idempotent", **call),
            _route(route, "draft", **model),
            _route(route, "explain", **model),
            _route(route, f"v{self.version}", kind="idempotent", **call),
        ]
        document["services"].append(
            {
                "name": "llm",
                "max_connections": 400,
                "cold_per_s": 0.0,
                "engine": engine_document(ENGINE),
            }
        )
        document["tenants"] = [
            {"name": name, "api_keys": [key]} for name, key in KEYS.items()
        ]
        self.store.put("op/config", document)
        self.changes.append(Change(time.monotonic(), version=self.version))

    def evacuate(self, zone: str) -> None:
        """Ask that nothing more be sent to a zone's workers."""
        self.store.put(f"op/evacuate/{zone}", {})
        self.changes.append(Change(time.monotonic(), zone=zone))

    def restore_zone(self, zone: str) -> None:
        """Let a zone's workers be used again."""
        self.store.remove(f"op/evacuate/{zone}")
        self.changes.append(Change(time.monotonic(), zone=f"-{zone}"))

    def silence(self, id: str) -> None:
        """Make a worker fall silent, without a word to anybody."""
        worker = self.worker_by_id[id]
        worker.silent_since = time.monotonic()
        self.set_path(worker.path, "freeze")
        if isinstance(worker.server, ModelWorker):
            self.pool.by_id[id].silent = True

    def restart(self, id: str) -> None:
        """Start a worker anew, with nothing of its former life but its host."""
        worker = self.worker_by_id[id]
        if worker.draining:
            self.changes.append(Change(time.monotonic(), leaving=f"-{id}"))
        worker.started_ms += 1
        worker.silent_since = None
        worker.draining = False
        if isinstance(worker.server, ModelWorker):
            self.pool.restart(id)
            self.pool.by_id[id].started_ms = worker.started_ms
        self.set_path(worker.path, "cut")
        self.set_path(worker.path, "pass")

    def drain(self, id: str) -> None:
        """Let a worker say that it is about to leave."""
        worker = self.worker_by_id[id]
        worker.draining = True
        if isinstance(worker.server, ModelWorker):
            self.pool.by_id[id].draining = True
        self._write_entry(id, worker)
        self.changes.append(Change(time.monotonic(), leaving=id))

    def _add_workers(self) -> None:
        for domain, count in DOMAINS.items():
            for index in range(count):
                id = f"{domain}-{index}"
                self.pool.add(id, domain)
                server = ModelWorker(id, self.pool, ENGINE, self.runs)
                self._add(id, server, "llm", ZONES[int(domain[1:])])
        for index in range(PLAIN_WORKERS):
            server = PlainWorker(f"p-{index}", self.runs)
            server.work_s = PLAIN_WORK_S
            self._add(server.id, server, "ledger", ZONES[index % len(ZONES)])

    def _add(self, id: str, server, service: str, zone: str) -> None:
        self._exit_stack.callback(server.close)
        path = self.proxy.open(server.address)
        self.worker_by_id[id] = ProxiedWorker(server, service, zone, path)

    def _send_heartbeats(self) -> None:
        while True:
            for id, worker in self.worker_by_id.items():
                self._write_or_expire(id, worker)
            eventlet.sleep(HEARTBEAT_S)

    def _write_or_expire(self, id: str, worker: ProxiedWorker) -> None:
        if worker.silent_since is None:
            self._write_entry(id, worker)
        elif time.monotonic() > worker.silent_since + ENTRY_EXPIRY_S:
            self.store.remove(f"servers/{id}")

    def _write_entry(self, id: str, worker: ProxiedWorker) -> None:
        if self.store.down:
            return
        worker.seq += 1
        match worker.server:
            case ModelWorker() as server:
                entry = server.entry(worker.service, worker.path, worker.zone)
            case server:
                entry = server.entry(
                    worker.service,
                    address=worker.path,
                    zone=worker.zone,
                    state="draining" if worker.draining else "ready",
                    born=worker.started_ms,
                    seq=worker.seq,
                )
        self.store.put(f"servers/{id}", entry)


def _route(route: dict, name: str, **fields) -> dict:
    named = {"name": name, "host": HOST, "path_prefix": f"/{name}/"}
    return {**route, **named, **fields}

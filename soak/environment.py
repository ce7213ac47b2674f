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
ENTRY_LAPSE_S = 1.5
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
class Member:
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
class Surroundings:
    """The store and all workers in this process, each behind paths of a proxy."""

    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    version: int = 0

    def __post_init__(self):
        self._stack = ExitStack()
        self.proxy = FaultProxy()
        self.store = Store()
        self._stack.callback(self.store.close)
        self.pool = Pool(ENGINE)
        self.member_by_id: dict[str, Member] = {}
        self._add_workers()
        self.publish()
        beat = eventlet.spawn(self._beat)
        self._stack.callback(beat.kill)

    def close(self) -> None:
        """End the store and the workers."""
        self._stack.close()

    def store_path(self) -> str:
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

    def take_back(self, zone: str) -> None:
        """Let a zone's workers be used again."""
        self.store.remove(f"op/evacuate/{zone}")
        self.changes.append(Change(time.monotonic(), zone=f"-{zone}"))

    def darken(self, id: str) -> None:
        """Make a worker fall silent, without a word to anybody."""
        member = self.member_by_id[id]
        member.silent_since = time.monotonic()
        self.set_path(member.path, "freeze")
        if isinstance(member.server, ModelWorker):
            self.pool.by_id[id].silent = True

    def restart(self, id: str) -> None:
        """Start a worker anew, with nothing of its former life but its host."""
        member = self.member_by_id[id]
        if member.draining:
            self.changes.append(Change(time.monotonic(), leaving=f"-{id}"))
        member.started_ms += 1
        member.silent_since = None
        member.draining = False
        if isinstance(member.server, ModelWorker):
            self.pool.restart(id)
            self.pool.by_id[id].started_ms = member.started_ms
        self.set_path(member.path, "cut")
        self.set_path(member.path, "pass")

    def drain(self, id: str) -> None:
        """Let a worker say that it is about to leave."""
        member = self.member_by_id[id]
        member.draining = True
        if isinstance(member.server, ModelWorker):
            self.pool.by_id[id].draining = True
        self._write(id, member)
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
        self._stack.callback(server.close)
        path = self.proxy.open(server.address)
        self.member_by_id[id] = Member(server, service, zone, path)

    def _beat(self) -> None:
        while True:
            for id, member in self.member_by_id.items():
                self._write_or_lapse(id, member)
            eventlet.sleep(HEARTBEAT_S)

    def _write_or_lapse(self, id: str, member: Member) -> None:
        if member.silent_since is None:
            self._write(id, member)
        elif time.monotonic() > member.silent_since + ENTRY_LAPSE_S:
            self.store.remove(f"servers/{id}")

    def _write(self, id: str, member: Member) -> None:
        if self.store.down:
            return
        member.seq += 1
        match member.server:
            case ModelWorker() as server:
                entry = server.entry(member.service, member.path, member.zone)
            case server:
                entry = server.entry(
                    member.service,
                    address=member.path,
                    zone=member.zone,
                    state="draining" if member.draining else "ready",
                    born=member.started_ms,
                    seq=member.seq,
                )
        self.store.put(f"servers/{id}", entry)


def _route(route: dict, name: str, **fields) -> dict:
    named = {"name": name, "host": HOST, "path_prefix": f"/{name}/"}
    return {**route, **named, **fields}

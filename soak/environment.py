"""Environment of a soak's nodes: store, backend servers and network paths to them."""

import time
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.platform.headers import PROMPT_PARTS
from poplarspar.transport.server import Request
from soak.versions import LEDGER, MOVED_ROUTE, SPLIT_ROUTE, VAULT, version
from standins.engines import STREAM_TYPE, ModelWorker, engine_document
from standins.faultproxy import FaultProxy
from standins.platform import PlainWorker, Run, Store, configuration
from standins.pool import Pool, small_engine

ENGINE = small_engine(slots=6)
DOMAINS = {"d0": 6, "d1": 6}
PLAIN_WORKERS = 3
VAULT_WORKERS = 2
PLAIN_WORK_S = 0.02
ZONES = ("z-a", "z-b")
HOST = "a.example"
KEYS = {"pilots": "key-1", "agents": "key-2"}
# Backend servers write their store entries at this interval; the platform removes
# an entry after three missed writes.
HEARTBEAT_S = 0.5
ENTRY_EXPIRY_S = 1.5
CRASH_S = 2.0
# What a backend server has written reaches the node before its connection ends.
WRITE_S = 0.015
LEAVING = {"Server-Leaving": "1"}
# The platform can restore its store from copies of this age.
MAX_COPY_AGE_S = 10.0
STREAM_TIMEOUT_MS = 5000
CALL_TIMEOUT_MS = 1500


@dataclass
class Change:
    """A change by an operator or backend server that the store acknowledged.

    Attributes
    ----------
    zone : str
        Evacuated zone; with a leading hyphen, the zone is back in use.
    leaving : str
        Draining backend server; with a leading hyphen, it has restarted.
    """

    at: float
    version: int = 0
    zone: str = ""
    leaving: str = ""


@dataclass
class ProxiedWorker:
    """A backend server and the address of its path through the fault proxy.

    Attributes
    ----------
    silent_since : float, optional
        Monotonic time since when the backend server has sent nothing.
    """

    server: ModelWorker | PlainWorker
    service: str
    zone: str
    path: str
    started_ms: int = 1
    draining: bool = False
    silent_since: float | None = None
    seq: int = 0

    @property
    def arrivals(self) -> list[tuple[str, float, float]]:
        """Requests that have arrived at a plain backend server."""
        return [] if isinstance(self.server, ModelWorker) else self.server.arrivals


@dataclass
class Harm:
    """A prompt part, or one request, that crashes backend servers for some time.

    Attributes
    ----------
    part : str
        Part of a prompt, empty for a request.
    crashes : list of (str, float)
        Backend servers that crashed, and the monotonic times.
    kind, target : str
        Kind and target of the request, empty for a part.
    writes_before_crash : str
        What backend servers write of a stream without length or chunks before they
        crash, with the next event's number and the request's id in place of `{number}`
        and `{attempt}`; empty for nothing.
    """

    part: str = ""
    crashes: list[tuple[str, float]] = field(default_factory=list)
    kind: str = ""
    target: str = ""
    writes_before_crash: str = ""


@dataclass
class NamedLimit:
    """A limit that a backend server names in its answers for some time."""

    backend: str
    requests_per_s: float
    begin: float
    end: float = float("inf")


@dataclass
class Environment:
    """Store and backend servers in this process, each behind the fault proxy."""

    priority_by_route: dict[str, int] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    harms: list[Harm] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    current_harm: Harm | None = None
    current_harmful_request: Harm | None = None
    evacuated: set[str] = field(default_factory=set)
    version: int = 0

    def __post_init__(self):
        self._exit_stack = ExitStack()
        self.proxy = FaultProxy()
        self.store = Store()
        self._exit_stack.callback(self.store.close)
        self.pool = Pool(ENGINE)
        self.worker_by_id: dict[str, ProxiedWorker] = {}
        self._copies: deque[tuple[float, tuple]] = deque()
        self._add_workers()
        self.publish()
        heartbeats = eventlet.spawn(self._send_heartbeats)
        self._exit_stack.callback(heartbeats.kill)

    def close(self) -> None:
        """Stop the store, the backend servers and their heartbeats."""
        self._exit_stack.close()

    def open_store_path(self) -> str:
        """Open a new path to the store and return its address."""
        return self.proxy.open(self.store.address)

    def set_path(self, address: str, mode: str, delay_s: float = 0.0) -> None:
        """Set the fault mode and delay of a path."""
        path = self.proxy.path_by_address[address]
        path.delay_s = delay_s
        self.proxy.set_mode(path, mode)

    def publish(self) -> None:
        """Write the next configuration, which differs as `Version` says."""
        content = version(self.version + 1)
        document = configuration(content.number)
        model = {"service": "llm", "timeout_ms": STREAM_TIMEOUT_MS, "kind": "stream"}
        model |= {"resumable": True, "gap_aim_ms": 300}
        call = {"timeout_ms": CALL_TIMEOUT_MS}
        route = document["routes"][0]
        document["routes"] = [
            _route(route, "pay", kind="non_idempotent", **call),
            _route(route, "look", kind="idempotent", **call),
            _route(route, "draft", **model),
            _route(route, "explain", **model),
            _route(route, content.own_route, kind="idempotent", **call),
            _route(
                route,
                MOVED_ROUTE,
                kind="idempotent",
                **{**call, "service": content.moved_to},
            ),
            _split_route(route, content.split, kind="idempotent", **call),
        ]
        if self.priority_by_route:
            document["routes"].append(_route(route, "digest", **model))
        for each in document["routes"]:
            each["priority"] = self.priority_by_route.get(each["name"], 1)
        document["services"].append({**document["services"][0], "name": VAULT})
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
        probing = {"name": "probes", "api_keys": list(content.keys)}
        document["tenants"].append(probing)
        self._document = document
        # Probes may see the version before this task goes on.
        self.version = content.number
        self.store.put("op/config", document)
        self.changes.append(Change(time.monotonic(), version=self.version))

    def evacuate(self, zone: str) -> None:
        """Write the operator's order to send no new requests to a zone."""
        self.evacuated.add(zone)
        self.store.put(f"op/evacuate/{zone}", {})
        self.changes.append(Change(time.monotonic(), zone=zone))

    def restore_zone(self, zone: str) -> None:
        """Remove the operator's order to evacuate a zone."""
        self.evacuated.discard(zone)
        self.store.remove(f"op/evacuate/{zone}")
        self.changes.append(Change(time.monotonic(), zone=f"-{zone}"))

    def restore_store(self, age_s: float, down_s: float) -> None:
        """Take the store down, and bring it back from a copy of about this age.

        The operator writes again what it has written; backend servers do with their
        next heartbeat.
        """
        self.store.down = True
        eventlet.sleep(down_s)
        before = time.monotonic() - age_s
        copy = next((c for at, c in reversed(self._copies) if at <= before), None)
        self.store.restore(copy or self._copies[0][1])
        self._copies.clear()
        self.store.down = False
        self.store.put("op/config", self._document)
        for zone in ZONES:
            if zone in self.evacuated:
                self.store.put(f"op/evacuate/{zone}", {})
            else:
                self.store.remove(f"op/evacuate/{zone}")

    def begin_harmful_request(self, kind: str, number: int) -> None:
        """Let backend servers crash on one request, until `end_harmful_request`."""
        harm = Harm(kind=kind, target=f"/{kind}/bad{number}?n={number}")
        self.current_harmful_request = harm
        self.harms.append(harm)

    def end_harmful_request(self) -> None:
        """Let backend servers answer all requests again."""
        self.current_harmful_request = None

    def begin_harm(self, part: str, writes_before_crash: str = "") -> None:
        """Let backend servers crash on prompts with a part, until `end_harm`."""
        self.current_harm = Harm(part, writes_before_crash=writes_before_crash)
        self.harms.append(self.current_harm)

    def end_harm(self) -> None:
        """Let backend servers answer all prompts again."""
        self.current_harm = None

    def begin_limit(self, id: str, requests_per_s: float) -> NamedLimit:
        """Let a plain backend server name a limit, until `end_limit` or its restart."""
        self.worker_by_id[id].server.rate_limit = requests_per_s
        limit = NamedLimit(id, requests_per_s, time.monotonic())
        self.limits.append(limit)
        return limit

    def end_limit(self, limit: NamedLimit) -> None:
        """End a limit if it has not ended yet."""
        if limit.end == float("inf"):
            limit.end = time.monotonic()
            self.worker_by_id[limit.backend].server.rate_limit = None

    def crash(self, id: str) -> None:
        """Let a backend server crash and restart it after some seconds."""
        worker = self.worker_by_id[id]
        worker.silent_since = time.monotonic()
        if isinstance(worker.server, ModelWorker):
            self.pool.by_id[id].silent = True
        self.set_path(worker.path, "cut")
        eventlet.spawn_after(CRASH_S, self.restart, id)

    def silence(self, id: str) -> None:
        """Freeze a backend server's path and heartbeats without a drain notice."""
        for limit in self.limits:
            if limit.backend == id:
                self.end_limit(limit)
        worker = self.worker_by_id[id]
        worker.silent_since = time.monotonic()
        self.set_path(worker.path, "freeze")
        if isinstance(worker.server, ModelWorker):
            self.pool.by_id[id].silent = True

    def restart(self, id: str) -> None:
        """Restart a backend server on its old address, without its former state."""
        worker = self.worker_by_id[id]
        if worker.draining:
            self.changes.append(Change(time.monotonic(), leaving=f"-{id}"))
        worker.started_ms += 1
        worker.silent_since = None
        worker.draining = False
        worker.server.extra_headers = {}
        if isinstance(worker.server, ModelWorker):
            self.pool.restart(id)
            self.pool.by_id[id].started_ms = worker.started_ms
        else:
            worker.server.end_pauses()
        self.set_path(worker.path, "cut")
        self.set_path(worker.path, "pass")

    def drain(self, id: str) -> None:
        """Mark a backend server as draining in its store entry."""
        worker = self.worker_by_id[id]
        worker.draining = True
        worker.server.extra_headers = LEAVING
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
                server.on_begin = partial(self._begin, id)
                self._add(id, server, "llm", ZONES[int(domain[1:])])
        for index in range(PLAIN_WORKERS):
            server = PlainWorker(f"p-{index}", self.runs)
            server.work_s = PLAIN_WORK_S
            server.on_begin = partial(self._begin, server.id)
            self._add(server.id, server, LEDGER, ZONES[index % len(ZONES)])
        for index in range(VAULT_WORKERS):
            server = PlainWorker(f"q-{index}", self.runs)
            server.work_s = PLAIN_WORK_S
            self._add(server.id, server, VAULT, ZONES[index % len(ZONES)])

    def _begin(self, id: str, request: Request) -> None:
        harm = self.current_harm
        if harm is not None and harm.part not in request.headers.get(PROMPT_PARTS, ""):
            harm = None
        harmful_request = self.current_harmful_request
        if harmful_request is not None and request.target == harmful_request.target:
            harm = harmful_request
        if harm is not None:
            if harm.writes_before_crash and "Token-Count" in request.headers:
                _begin_answer(id, request, harm.writes_before_crash)
            harm.crashes.append((id, time.monotonic()))
            self.crash(id)
            raise BackendFailed("crashed", sent=True)

    def _add(self, id: str, server, service: str, zone: str) -> None:
        self._exit_stack.callback(server.close)
        path = self.proxy.open(server.address)
        self.worker_by_id[id] = ProxiedWorker(server, service, zone, path)

    def _send_heartbeats(self) -> None:
        while True:
            for id, worker in self.worker_by_id.items():
                self._write_or_expire(id, worker)
            now = time.monotonic()
            self._copies.append((now, self.store.copy()))
            while self._copies[0][0] < now - MAX_COPY_AGE_S:
                self._copies.popleft()
            eventlet.sleep(HEARTBEAT_S)

    def _write_or_expire(self, id: str, worker: ProxiedWorker) -> None:
        if worker.silent_since is None:
            self._write_entry(id, worker)
        elif (
            not self.store.down
            and time.monotonic() > worker.silent_since + ENTRY_EXPIRY_S
        ):
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


def _begin_answer(id: str, request: Request, written: str) -> None:
    """Write the head of a stream and the beginning of an event."""
    number = int(request.headers.get("Last-Event-Id", 0)) + 1
    attempt = request.headers["Attempt-Id"]
    head = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
        f"Response-Signature: s.{id}\r\nContent-Type: {STREAM_TYPE}\r\n"
        "Connection: close\r\n\r\n"
    )
    text = head + written.format(number=number, attempt=attempt)
    request.connection.sendall(text.encode())
    eventlet.sleep(WRITE_S)


def _split_route(route: dict, services: tuple[str, ...], **fields) -> dict:
    split = [{"service": service, "weight": 1} for service in services]
    return _route(route, SPLIT_ROUTE, split=split, **fields)


def _route(route: dict, name: str, **fields) -> dict:
    named = {"name": name, "host": HOST, "path_prefix": f"/{name}/"}
    return {**route, **named, **fields}

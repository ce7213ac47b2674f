"""Stand-in for the users' platform: store, plain service and settings."""

import base64
import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import parse_qs

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.server import (
    HttpServer,
    Request,
    Response,
    ServerLimits,
    json_response,
)

LIMITS = ServerLimits(4_000_000, header_timeout_s=30.0, idle_timeout_s=60.0)
PREFIX = "/poplarspar/"
POLL_S = 0.01
# Stands for a watch whose connection is closed.
INTERRUPTED = Response(0, b"")


@dataclass(frozen=True)
class Run:
    """A request that a backend server started to run."""

    worker: str
    attempt_id: str
    method: str
    target: str
    body: bytes
    workspace: str
    has_api_key: bool
    started_at: float

    @classmethod
    def from_request(cls, worker: str, request: Request) -> "Run":
        """Return the record of a request that starts to run now."""
        return cls(
            worker,
            request.headers.get("Attempt-Id", ""),
            request.method,
            request.target,
            request.body,
            request.headers.get("Tenant", ""),
            "Authorization" in request.headers,
            time.monotonic(),
        )


class PlatformServer:
    """Serves a handler on a free port."""

    def __init__(self) -> None:
        self._listener = listen("127.0.0.1:0")
        self.address = bound_address(self._listener)
        self._server = HttpServer(
            self._listener, self.handle, connection_limit=256, limits=lambda: LIMITS
        )

    def close(self) -> None:
        self._server.close()


class Store(PlatformServer):
    """The key-value store, with faults.

    Attributes
    ----------
    down : bool
        Whether the store refuses all calls.
    refuse_writes : bool
        Whether the store refuses conditional writes.
    lose_answers : bool
        Whether the store carries out conditional writes and then reports a failure.
    oldest_revision : int
        Revision before which the store has no history for watches.
    era : int
        Number of restores, which all answers name.
    omits_changes : bool
        Whether watches report nothing.
    omitted_revisions : set of int
        Changes that watches never report, although they report later ones.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.refuse_writes = False
        self.refused_writes = 0
        self.lose_answers = False
        self.oldest_revision = 0
        self.era = 0
        self.omits_changes = False
        self.omitted_revisions: set[int] = set()
        self._interruptions = 0
        super().__init__()

    def copy(self) -> tuple:
        """Return a copy of the state, for `restore`."""
        return self.revision, dict(self.items), list(self.log), dict(self.leases)

    def restore(self, copy: tuple) -> None:
        """Go back to a copy of the state; revisions and leases are given out again."""
        self.revision, items, log, leases = copy
        self.items, self.log, self.leases = dict(items), list(log), dict(leases)
        self.era += 1

    def put(self, key: str, document, lease: int = 0) -> None:
        """Write a JSON document, or raw bytes."""
        data = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self.log.append(item)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, 0 if it does not exist."""
        return self.items.get(key, {"revision": 0})["revision"]

    def text(self, key: str) -> str:
        """Return a key's value as text, empty if it does not exist."""
        item = self.items.get(key, {"value": ""})
        return base64.b64decode(item["value"]).decode()

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            deletion = {"key": key, "revision": self.revision, "deleted": True}
            self.log.append(deletion)

    def omit_changes(self, duration_s: float) -> None:
        """Report no changes to watches for a time, then drop the history and cut them.

        Returns at once.
        """
        self.omits_changes = True
        eventlet.spawn_after(duration_s, self._end_omission)

    def _end_omission(self) -> None:
        self.omits_changes = False
        self.forget_history()
        self.interrupt_watches()

    def interrupt_watches(self) -> None:
        """Close the connections of all waiting watches."""
        self._interruptions += 1

    def forget_history(self) -> None:
        """Drop the history before the present revision."""
        self.oldest_revision = self.revision

    def handle(self, request: Request) -> Response:
        response = self._handle(request)
        if response is INTERRUPTED:
            request.connection.shutdown(socket.SHUT_RDWR)
            return response
        headers = {**(response.headers or {}), "Store-Era": str(self.era)}
        return replace(response, headers=headers)

    def _handle(self, request: Request) -> Response:
        self._end_leases()
        if self.down:
            return json_response(503, {"error": "down"})
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        parts = request.path.removeprefix(PREFIX).split("/")
        match request.method, parts:
            case "GET", ["kv-key"]:
                item = self.items.get(query["key"])
                return json_response(200 if item else 404, item or {})
            case "GET", ["kv-range"]:
                return self._range(query)
            case "GET", ["kv-watch"]:
                return self._watch(query)
            case "POST", ["kv-txn"]:
                return self._commit(json.loads(request.body))
            case "POST", ["kv-lease"]:
                ttl_s = json.loads(request.body)["ttl_ms"] / 1000
                id = max(self.leases, default=0) + 1
                self.leases[id] = (ttl_s, time.monotonic() + ttl_s)
                return json_response(200, {"lease": id, "ttl_ms": int(ttl_s * 1000)})
            case "POST", ["kv-keep", id]:
                return self._renew_lease(int(id))
            case "DELETE", ["kv-lease-end", id]:
                self._end_lease(int(id))
                return json_response(200, {})
        return json_response(404, {})

    def _range(self, query: dict) -> Response:
        after = query.get("since_rev", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["path_prefix"]) and key > after
        )
        page = [self.items[key] for key in keys[:50]]
        more = len(keys) > len(page)
        return json_response(
            200, {"items": page, "more_pages": more, "as_of": self.revision}
        )

    def _watch(self, query: dict) -> Response:
        after = int(query["since_rev"])
        if after > self.revision:
            return json_response(410, {})
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        interruptions = self._interruptions
        while True:
            if self._interruptions != interruptions:
                return INTERRUPTED
            if after < self.oldest_revision:
                return json_response(410, {})
            events = [
                item
                for item in self.log
                if item["revision"] > after
                and item["key"].startswith(query["path_prefix"])
                and not self.omits_changes
                and item["revision"] not in self.omitted_revisions
            ]
            if events or time.monotonic() >= ends_at:
                return json_response(200, {"events": events, "as_of": self.revision})
            eventlet.sleep(POLL_S)
            self._end_leases()

    def _commit(self, body: dict) -> Response:
        if self.refuse_writes:
            self.refused_writes += 1
            return json_response(503, {"error": "busy"})
        for row in body["expected"]:
            current = self.items.get(row["key"], {"revision": 0})
            if current["revision"] != row["revision"]:
                return json_response(412, {"items": [current]})
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return json_response(404, {})
            self.put(put["key"], base64.b64decode(put["value"]), lease)
        for key in body["remove"]:
            self.remove(key)
        if self.lose_answers:
            return json_response(503, {"error": "lost"})
        return json_response(200, {"revision": self.revision})

    def _renew_lease(self, id: int) -> Response:
        if id not in self.leases:
            return json_response(404, {})
        ttl_s, _ = self.leases[id]
        self.leases[id] = (ttl_s, time.monotonic() + ttl_s)
        return json_response(200, {"ttl_ms": int(ttl_s * 1000)})

    def _end_leases(self) -> None:
        for id, (_, ends_at) in list(self.leases.items()):
            if time.monotonic() > ends_at:
                self._end_lease(id)

    def _end_lease(self, id: int) -> None:
        self.leases.pop(id, None)
        for key in [k for k, item in self.items.items() if item["lease"] == id]:
            self.remove(key)


class PlainWorker(PlatformServer):
    """A backend server of a plain service that records the requests it ran.

    Attributes
    ----------
    answers : list
        Modes in which to answer the next requests: ``ok``, ``shed``, ``unsigned``,
        ``misdirected``, ``slow``, ``broken``, ``lost`` or ``earlier_refusal``.
    work_s : float
        Duration of a request in seconds.
    rate_limit : float or None
        Limit in requests per second that answers name, None for none.
    extra_headers : dict of str to str
        Headers of all its answers.
    pause_s : float or None
        Time that it names as it refuses all requests, None to take them.
    arrivals : list of (str, float, float)
        Id and monotonic time of each request that arrived, and the pause that it was
        refused with, 0 for none.
    on_begin : callable
        Called with each request that begins to run; may raise `BackendFailed`.
    """

    def __init__(self, id: str, runs: list[Run] | None = None) -> None:
        self.id = id
        self.requests: list[Request] = []
        self.runs: list[Run] = [] if runs is None else runs
        self.answer_modes: list[str] = []
        self.work_s = 0.0
        self.rate_limit: float | None = None
        self.pause_s: float | None = None
        self.arrivals: list[tuple[str, float, float]] = []
        self.extra_headers: dict[str, str] = {}
        self.on_begin: Callable[[Request], None] = lambda request: None
        super().__init__()

    def end_pauses(self) -> None:
        """End the pauses that it has named, since it starts again."""
        self.arrivals = [(id, at, 0.0) for id, at, _ in self.arrivals]

    def entry(self, service: str, **changes) -> dict:
        """Return the backend server's entry in the store."""
        fields = {
            "service": service,
            "address": self.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_ms": 0,
            "seq": 0,
            "born": 1_700_000_000_000,
        }
        return {**fields, **changes}

    def handle(self, request: Request) -> Response:
        mode = self.answer_modes.pop(0) if self.answer_modes else "ok"
        headers = {"Attempt-Id": request.headers.get("Attempt-Id", "")}
        headers |= self.extra_headers
        pause_s = self.pause_s
        arrival = (headers["Attempt-Id"], time.monotonic(), pause_s or 0.0)
        self.arrivals.append(arrival)
        if pause_s is not None:
            refusal = {"Not-Executed": "1", "Retry-After": str(pause_s)}
            return Response(503, b"", None, headers | refusal)
        if self.rate_limit is not None:
            headers["Server-Limit"] = str(self.rate_limit)
        if mode == "shed":
            return Response(503, b"", None, {**headers, "Not-Executed": "1"})
        if mode == "misdirected" or request.headers["Expect-Instance"] != self.id:
            return Response(421, b"", None, headers)
        self.requests.append(request)
        self.runs.append(Run.from_request(self.id, request))
        try:
            self.on_begin(request)
        except BackendFailed:
            mode = "lost"
        eventlet.sleep(5.0 if mode == "slow" else self.work_s)
        if mode == "earlier_refusal":
            # The refusal of another request, once more.
            headers = {"Attempt-Id": "earlier", "Not-Executed": "1"}
            return Response(503, b"", None, headers)
        if mode == "lost":
            request.connection.shutdown(socket.SHUT_RDWR)
            return Response(200, b"", None, headers)
        if mode == "unsigned":
            return Response(200, b"forged", None, headers)
        headers["Response-Signature"] = f"s.{self.id}"
        if mode == "broken":
            # Content-Length is larger than the body that the server sends.
            headers["Content-Length"] = "100"
            return Response(200, iter([b"ran at"]), None, headers)
        return Response(200, b"ran at " + self.id.encode(), None, headers)


def configuration(version: int, **changes) -> dict:
    """Return a configuration with one plain service and four routes."""

    def route(name: str, kind: str, **fields) -> dict:
        return {
            "name": name,
            "host": "a.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 200,
            "priority": 1,
            "service": "ledger",
            "max_attempts": 2,
            **fields,
        }

    document = {
        "version": version,
        "routes": [
            route("pay", "non_idempotent"),
            route("look", "idempotent"),
            route("long", "idempotent", timeout_ms=9000, max_attempts=1),
            route("quick", "idempotent", timeout_ms=300, max_attempts=1),
        ],
        "services": [
            {
                "name": "ledger",
                "health_check": "/healthz",
                "max_connections": 100,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "pilots", "api_keys": ["key-1"], "priority": 1}],
        "new_field": {"is": "ignored"},
    }
    return {**document, **changes}


def settings_text(
    store: str, ports: list[int], name: str = "front-1", host: str = "127.0.0.1"
) -> str:
    """Return the text of a node's settings file."""
    caller, ready, peer, _ = ports
    return f"""
node_name = "{name}"
ip = "{host}"
zone = "z-a"
port_range = [{peer}, {peer}]
unknown = "ignored"
[listen]
frontend = "{host}:{caller}"
ready = "{host}:{ready}"
[platform]
address = "{store}"
ttl_min_ms = 1000
[bounds]
grace_s = 8
retry_budget = 0.2
budget_slack = 100
budget_window_s = 10
require_fencing = true
"""

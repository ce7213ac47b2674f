"""The project's stand-ins for the platform, with servers that crash as processes do.

A crash closes the connections and the listener, so that new connections are refused
until the server is back at its address, in a new life.
"""

import lab  # isort: skip  # noqa: F401  patches sockets

import time

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.state.serving import Engine, EngineModel
from poplarspar.transport.addresses import listen
from poplarspar.transport.server import HttpServer, Response, json_response
from soak import environment
from soak.environment import CRASH_S, Environment, ProxiedWorker
from standins.engines import ModelWorker
from standins.platform import LIMITS, POLL_S, Store

TAKEN = 200
# As the settings of the small deployments say.
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
environment.HEARTBEAT_S = HEARTBEAT_S
environment.ENTRY_EXPIRY_S = 3 * HEARTBEAT_S


class QuickStore(Store):
    """The stand-in of the store, whose waiting watches look only at new changes."""

    def put(self, key: str, document, lease: int = 0) -> None:
        """Write a value, and forget the changes that are older than the history."""
        super().put(key, document, lease)
        now = time.monotonic()
        ages = self.__dict__.setdefault("_put_at", [])
        ages.append((now, self.revision))
        while ages[0][0] < now - HISTORY_S:
            self.oldest_revision = ages.pop(0)[1]
        if self.log[0]["revision"] + 200 < self.oldest_revision:
            self.log = [i for i in self.log if i["revision"] > self.oldest_revision]

    def _watch(self, query: dict) -> Response:
        after = int(query["since_rev"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        seen = None
        while True:
            if not self.oldest_revision <= after <= self.revision:
                return json_response(410, {})
            is_over = time.monotonic() >= ends_at
            if seen != self.revision or is_over:
                events = []
                for item in reversed(self.log):
                    if item["revision"] <= max(after, seen or 0):
                        break
                    if item["key"].startswith(query["path_prefix"]):
                        events.insert(0, item)
                seen = self.revision
                if events or is_over:
                    return json_response(200, {"events": events, "as_of": seen})
            eventlet.sleep(POLL_S)
            self._end_leases()


environment.Store = QuickStore


class Deployment(Environment):
    """Store and servers, without a proxy in between.

    Attributes
    ----------
    arrivals : list of (str, str, float)
        Server, `Attempt-Id` and monotonic time of each request that a server took.
    writes_for_s : float
        How long a server writes events of a harmful request's answer before it crashes.
    """

    writes_for_s = 0.0

    def __post_init__(self):
        self.arrivals: list[tuple[str, str, float]] = []
        super().__post_init__()

    def crash(self, id: str) -> None:
        """Crash a server; it is back some seconds later."""
        worker = self.worker_by_id[id]
        if worker.silent_since is not None:
            return
        worker.silent_since = time.monotonic()
        if isinstance(worker.server, ModelWorker):
            self.pool.by_id[id].silent = True
        # A task of its own, since the crash ends the one that serves the request.
        eventlet.spawn(worker.server.close)
        eventlet.spawn_after(CRASH_S, self.restart, id)

    def _begin(self, id: str, request) -> None:
        harm = self.current_harm
        if self.writes_for_s and harm is not None:
            if harm.part in request.headers.get("Prompt-Prefix", ""):
                life = self.worker_by_id[id].started_ms
                delay_s = self.writes_for_s
                eventlet.spawn_after(delay_s, self._crash_under, harm, id, life)
            return
        try:
            super()._begin(id, request)
        except BackendFailed:
            # Nothing more is sent: the crash ends this task and its connection.
            eventlet.sleep(CRASH_S)

    def _crash_under(self, harm, id: str, life: int) -> None:
        worker = self.worker_by_id[id]
        if worker.started_ms == life and worker.silent_since is None:
            harm.crashes.append((id, time.monotonic()))
            self.crash(id)

    def restart(self, id: str) -> None:
        """Start a server again at its address, without its former state."""
        worker = self.worker_by_id[id]
        worker.started_ms += 1
        worker.silent_since = None
        if isinstance(worker.server, ModelWorker):
            self.pool.restart(id)
            self.pool.by_id[id].started_ms = worker.started_ms
        server = worker.server
        server._listener = listen(server.address)
        server._server = HttpServer(
            server._listener, server.handle, connection_limit=256, limits=lambda: LIMITS
        )

    def _add(self, id: str, server, service: str, zone: str) -> None:
        self._exit_stack.callback(server.close)
        self.worker_by_id[id] = ProxiedWorker(server, service, zone, server.address)
        serve = getattr(server, "_serve", None)
        if serve is not None:
            server._serve = lambda request, headers: self._take(
                id, serve, request, headers
            )

    def _take(self, id: str, serve, request, headers):
        response = serve(request, headers)
        if response.status == TAKEN:
            attempt = request.headers["Attempt-Id"]
            self.arrivals.append((id, attempt, time.monotonic()))
        return response


def set_model_servers(domains: dict[str, int], zones: tuple[str, ...]) -> None:
    """Choose the model servers of the next deployment, by fabric domain."""
    environment.DOMAINS = domains
    environment.ZONES = zones


def use_site_engine() -> None:
    """Take the model servers of the small deployments: models, domains and times."""
    models = {
        "m0": EngineModel("m0", 4, 1.0, 0.57, 16.0, 1.6),
        "m1": EngineModel("m1", 3, 0.6, 0.43, 12.0, 1.1),
    }
    environment.ENGINE = Engine(
        slots=13,
        models_by_name=models,
        step_s=0.00595,
        step_per_request_s=0.000089,
        tokens_read_per_s=50_700.0,
        tokens_per_event=7,
        loads_per_s=4.5,
        concurrent_loads=6,
        open_s=0.3,
    )
    # Half of the domains, since all servers run in one process here.
    set_model_servers({f"d{index}": 9 for index in range(3)}, ("z-a", "z-b", "z-c"))

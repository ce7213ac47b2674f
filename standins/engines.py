"""Backend servers of a model service that speak the platform's HTTP protocol."""

import json
import random
import time
from collections.abc import Callable, Iterator

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.state.backends import EngineState, MemberPhase
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Order,
    Refused,
    Stage,
)
from poplarspar.state.serving import Engine
from poplarspar.transport.server import Request, Response, json_response
from standins.platform import PlatformServer, Run
from standins.pool import STALL_S, Pool

PROMPT_READ_S = 0.03
EVENT_PERIOD_S = 0.03
ORDER_TIMEOUT_S = 5.0
STREAM_TYPE = "text/event-stream"
REPEATED_SHARE = 0.3
# Longer than the silence after which a stream may move to another group.
SLOW_EVENT_S = 0.9
COMMENT = b": still here\n\n"
COMMENT_PERIOD_S = 0.2


def engine_document(engine: Engine) -> dict:
    """Return the configuration's document of an engine."""
    return {
        "slots": engine.slots,
        "step_ms": engine.step_s * 1000,
        "per_seq_ms": engine.step_per_request_s * 1000,
        "read_per_s": engine.tokens_read_per_s,
        "stride": engine.tokens_per_event,
        "loads_per_s": engine.loads_per_s,
        "loads_at_once": engine.concurrent_loads,
        "form_ms": engine.open_s * 1000,
        "models": [
            {
                "name": model.name,
                "size": model.members,
                "pace": model.time_factor,
                "share": model.share,
                "load_s": model.load_s,
                "warm_s": model.staged_load_s,
            }
            for model in engine.models_by_name.values()
        ],
    }


def event_text(attempt_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {attempt_id}.{number}\n\n".encode()


class ModelWorker(PlatformServer):
    """HTTP server of one virtual backend server of a `Pool`.

    Parameters
    ----------
    runs : list of Run
        Record to which the server appends each request that it starts to run.

    Attributes
    ----------
    repeats_reports : bool
        Whether it writes its report of some time ago in place of some newer ones.
    slows_streams : bool
        Whether its streams pause between events, and send comments meanwhile.
    extra_headers : dict of str to str
        Headers of all its answers to requests.
    on_begin : callable
        Called with each request before the first event; may raise `BackendFailed`.
    """

    def __init__(self, id: str, pool: Pool, engine: Engine, runs: list[Run]) -> None:
        self.id = id
        self._pool = pool
        self._engine = engine
        self._runs = runs
        self.running = 0
        self.repeats_reports = False
        self.slows_streams = False
        self.extra_headers: dict[str, str] = {}
        self._earlier_report: Response | None = None
        self.on_begin: Callable[[Request], None] = lambda request: None
        super().__init__()

    def entry(self, service: str, address: str, zone: str) -> dict:
        """Return the backend server's entry in the store."""
        worker = self._pool.by_id[self.id]
        worker.advance(time.monotonic())
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": self._engine.slots,
            "state": "draining" if worker.draining else "ready",
            "cold_ms": 0,
            "born": worker.started_ms,
            **_engine_state_fields(worker.engine_state),
        }

    def handle(self, request: Request) -> Response:
        """Answer a request for a report, an order or a caller's request."""
        backend = self._pool.entries()[self.id]
        headers = {"Attempt-Id": request.headers.get("Attempt-Id", "")}
        headers |= self.extra_headers
        if request.headers.get("Expect-Instance") != self.id:
            return Response(421, b"", None, headers)
        try:
            match request.path:
                case "/poplarspar/report":
                    report = self._pool.read(backend, ORDER_TIMEOUT_S)
                    return self._repeat_or_report(report)
                case "/poplarspar/order":
                    return self._order(backend, json.loads(request.body))
        except BackendFailed:
            return json_response(500, {})
        return self._serve(request, headers)

    def _repeat_or_report(self, report) -> Response:
        response = self._report(report)
        if not self.repeats_reports:
            self._earlier_report = None
            return response
        if self._earlier_report is None:
            self._earlier_report = response
        repeats = random.random() < REPEATED_SHARE
        return self._earlier_report if repeats else response

    def _report(self, report) -> Response:
        document = {
            "stage": "combined",
            "busy": False,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 1,
            "handles": 0,
            "pace": 1.0,
            "born": report.started_ms,
            **_engine_state_fields(report.engine_state),
        }
        return json_response(200, document)

    def _order(self, backend, body: dict) -> Response:
        result = self._pool.send(
            backend,
            _parse_order(body),
            fence=body["fencing_token"],
            accepted_before=body.get("expected"),
            timeout_s=ORDER_TIMEOUT_S,
        )
        match result:
            case Accepted(done):
                return json_response(200 if done else 202, {})
            case Refused(status):
                return json_response(status, {})
        return json_response(500, {})

    def _serve(self, request: Request, headers: dict) -> Response:
        worker = self._pool.by_id[self.id]
        worker.advance(time.monotonic())
        membership = worker.engine_state.membership
        if membership is None or membership.rank != 0 or worker.silent:
            return Response(421, b"", None, headers)
        if (
            membership.phase is not MemberPhase.OPEN
            or self.running >= self._engine.slots
        ):
            return Response(503, b"", None, {**headers, "Not-Executed": "1"})
        answer = {
            **headers,
            "Response-Signature": f"s.{self.id}",
            "Content-Type": STREAM_TYPE,
        }
        return Response(200, _Stream(self, request, membership.key), None, answer)

    def is_stalled(self, key) -> bool:
        """Return whether a replica group lacks a member or has stopped serving."""
        worker = self._pool.by_id[self.id]
        membership = worker.engine_state.membership
        if worker.silent or membership is None or membership.key != key:
            return True
        if membership.phase is not MemberPhase.OPEN:
            return True
        return any(
            other.silent
            or other.engine_state.membership is None
            or other.engine_state.membership.key != key
            for other in (self._pool.by_id[id] for id in worker.members)
        )

    def record_run(self, request: Request) -> None:
        """Record that this backend server starts to run a request."""
        self._runs.append(Run.from_request(self.id, request))


class _Stream:
    """Events of one request; the stream stalls while its group lacks a member."""

    def __init__(self, worker: ModelWorker, request: Request, key) -> None:
        self._worker = worker
        self._request = request
        self._group_key = key
        self._open = True
        worker.running += 1

    def __iter__(self) -> Iterator[bytes]:
        request = self._request
        attempt_id = request.headers["Attempt-Id"]
        answer_tokens = int(request.headers["Token-Count"].split(",")[1])
        begin = int(request.headers.get("Last-Event-Id", 0)) + 1
        self._wait(PROMPT_READ_S)
        self._worker.record_run(request)
        self._worker.on_begin(request)
        for number in range(begin, answer_tokens + 1):
            yield event_text(attempt_id, number)
            self._wait(EVENT_PERIOD_S)
            if self._worker.slows_streams:
                yield from self._pause()

    def _pause(self) -> Iterator[bytes]:
        ends_at = time.monotonic() + SLOW_EVENT_S
        while time.monotonic() < ends_at:
            yield COMMENT
            self._wait(COMMENT_PERIOD_S)

    def _wait(self, duration_s: float) -> None:
        eventlet.sleep(duration_s)
        ends_at = time.monotonic() + STALL_S
        while self._worker.is_stalled(self._group_key):
            if time.monotonic() > ends_at:
                raise BackendFailed("the replica group has stopped serving", sent=True)
            eventlet.sleep(EVENT_PERIOD_S)

    def close(self) -> None:
        if self._open:
            self._open = False
            self._worker.running -= 1


def _engine_state_fields(engine_state: EngineState) -> dict:
    membership = engine_state.membership
    fields = {
        "seq": engine_state.accepted_orders,
        "models": [{"name": engine_state.model}]
        if engine_state.model and membership
        else [],
        "staged": list(engine_state.staged_models),
        "domain": engine_state.domain,
    }
    if membership is not None:
        fields["group"] = {
            "name": membership.group,
            "epoch": membership.epoch,
            "rank": membership.rank,
            "state": membership.phase.value,
        }
    return fields


def _parse_order(body: dict) -> Order:
    group, epoch = body.get("group", ""), body.get("epoch", 0)
    match body["op"]:
        case "join":
            return Join(group, epoch, body["model"], tuple(body["members"]))
        case "open":
            return Open(group, epoch)
        case "close":
            return Close(group, epoch, body["close_mode"] == "evict")
        case "leave":
            return Leave(group, epoch)
    return Stage(body["model"])

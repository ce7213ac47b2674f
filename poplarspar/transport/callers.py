"""HTTP interface for callers: text generation and calls of plain services."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.service import RequestService, Target
from poplarspar.coordination.streams import TokenStream
from poplarspar.exceptions import BackendFailed
from poplarspar.protocol.callers import (
    END_EVENT,
    ENTRY_REPORT,
    GenerateRequest,
    check_idempotency_key,
    error_event,
    parse_generate_request,
    text_body,
    text_event,
)
from poplarspar.protocol.refusals import STATUS_BY_REASON, refusal_body
from poplarspar.state.metrics import Metrics
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok
from poplarspar.state.status import EntryReport
from poplarspar.transport.server import Request, Response, json_response

EVENT_STREAM = "text/event-stream"


class CallerApi:
    """Handles callers' requests at an entry.

    Parameters
    ----------
    is_ready : callable
        Returns whether the load balancer should send callers to this entry.
    status : callable
        Returns the report for ``GET /status``.
    """

    def __init__(
        self,
        service: RequestService,
        drain: Drain,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        status: Callable[[], EntryReport],
    ) -> None:
        self._service = service
        self._drain = drain
        self._metrics = metrics
        self._is_ready = is_ready
        self._status = status

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        response = self._dispatch(request)
        if self._drain.draining:
            # Makes the caller send its next request over a new connection, which the
            # load balancer opens to another entry.
            response.headers["Connection"] = "close"
        return response

    def _dispatch(self, request: Request) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["ready"]:
                ready = self._is_ready()
                return json_response(200 if ready else 503, {"ready": ready})
            case "GET", ["status"]:
                return Response(200, ENTRY_REPORT.dump_json(self._status()))
            case "POST", ["v1", workspace, route]:
                return self._serve(workspace, route, request)
            case _, ["v1", _, _] | ["ready"] | ["status"]:
                return json_response(405, {"error": {"reason": "method_not_allowed"}})
            case _:
                message = "paths are /v1/WORKSPACE/ROUTE, /ready and /status"
                return self._refuse(Refusal(Reason.NOT_FOUND, message))

    def _serve(self, workspace: str, route: str, request: Request) -> Response:
        self._metrics.count("requests")
        match self._service.find(workspace, route):
            case Error(refusal):
                return self._refuse(refusal)
            case Ok(target):
                pass
        if self._service.is_model(target):
            return self._generate(target, parse_generate_request(request.body))
        return self._call(target, request)

    def _call(self, target: Target, request: Request) -> Response:
        key = check_idempotency_key(request.headers.get("Idempotency-Key", ""))
        started_at = time.monotonic()
        with self._drain.request():
            result = self._service.call(target, request.body, key)
        match result:
            case Error(refusal):
                return self._refuse(refusal)
            case Ok(answer):
                self._metrics.observe("call_us", time.monotonic() - started_at)
                return Response(answer.status, answer.body)

    def _generate(self, target: Target, generation: GenerateRequest) -> Response:
        started_at = time.monotonic()
        with ExitStack() as resources:
            resources.enter_context(self._drain.request())
            match self._service.open_stream(target, generation.to_prompt()):
                case Error(refusal):
                    return self._refuse(refusal)
                case Ok(stream):
                    resources.callback(stream.close)
            # The server sends the body after this method returns, so the body closes
            # the resources.
            body = CallerStream(stream, resources.pop_all(), self._metrics, started_at)
        if generation.stream:
            return Response(200, body, EVENT_STREAM)
        return self._collect(body)

    def _collect(self, body: "CallerStream") -> Response:
        try:
            return Response(200, text_body("".join(body.texts())))
        except BackendFailed as error:
            return self._refuse(Refusal(Reason.BACKEND, str(error), Ran.UNKNOWN))
        finally:
            body.close()

    def _refuse(self, refusal: Refusal) -> Response:
        self._metrics.count(f"refused_{refusal.reason.value}")
        status = STATUS_BY_REASON[refusal.reason]
        headers = {"Retry-After": "1"} if status == 503 else {}
        return Response(status, refusal_body(refusal), headers=headers)


class CallerStream:
    """Body of a streamed answer; the server closes it if the caller disconnects."""

    def __init__(
        self,
        stream: TokenStream,
        resources: ExitStack,
        metrics: Metrics,
        started_at: float,
    ) -> None:
        self._stream = stream
        self._resources = resources
        self._metrics = metrics
        self._started_at = started_at

    def __iter__(self) -> Iterator[bytes]:
        """Yield server-sent events."""
        try:
            for text in self.texts():
                yield text_event(text)
            yield END_EVENT
        except BackendFailed as error:
            self._metrics.count("streams_broken")
            yield error_event(Refusal(Reason.BACKEND, str(error), Ran.UNKNOWN))

    def texts(self) -> Iterator[str]:
        """Yield the texts of the answer and record the latency of the first one."""
        first = True
        for text in self._stream:
            if first:
                self._metrics.observe(
                    "first_token_us", time.monotonic() - self._started_at
                )
                first = False
            self._metrics.count("tokens")
            yield text
        self._metrics.count("streams_completed")

    def close(self) -> None:
        """Release the stream; further calls have no effect."""
        self._resources.close()

"""Callers' requests with the platform's headers."""

import time
from collections.abc import Iterator
from contextlib import ExitStack

from expression import Result

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.forwarding import Answer, Forwarder
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed, CallerGone, InvalidRequest
from poplarspar.logs import log_event
from poplarspar.platform.headers import (
    AUTHORIZATION,
    EXPECTED_TOKENS,
    KEY_SCHEME,
    LAST_EVENT,
    MODEL,
    NOT_FORWARDED,
    PATIENCE_MS,
    REQUEST_ID,
    TOKENS,
)
from poplarspar.protocol.callers import STATUS_BY_REASON, refusal_body
from poplarspar.state.callers import CallerRequest, CompleteAnswer, StreamedAnswer
from poplarspar.state.metrics import Metrics
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.transport.disconnects import cancel_on_disconnect
from poplarspar.transport.server import Request, Response

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK = 200
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
UNAVAILABLE_STATUS = 503


class PlatformCallerHandler:
    """Answers callers in the platform's words."""

    def __init__(self, forwarder: Forwarder, drain: Drain, metrics: Metrics) -> None:
        self._forwarder = forwarder
        self._drain = drain
        self._metrics = metrics

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        received = parse_request(request)
        with ExitStack() as stack:
            stack.enter_context(self._drain.request())
            stack.enter_context(cancel_on_disconnect(request.connection))
            try:
                response = self._answer(received, stack)
            except CallerGone:
                self._metrics.count("requests_abandoned")
                log_event(Event.CALLER_GONE, id=received.id)
                raise
        if self._drain.draining:
            response.headers["Connection"] = "close"
        return response

    def _answer(self, received: CallerRequest, stack: ExitStack) -> Response:
        match self._forwarder.serve(received):
            case Result(tag="error", error=refusal):
                return self._refuse(received, refusal)
            case Result(ok=answer):
                return self._pass_on(received, answer, stack)

    def _pass_on(
        self, received: CallerRequest, answer: Answer, stack: ExitStack
    ) -> Response:
        headers = dict(answer.headers)
        match answer:
            case CompleteAnswer(status, _, body, backend):
                self._metrics.count(f"answers_{status // 100}xx")
                taken_s = time.monotonic() - received.arrived_at
                self._metrics.observe("answer_us", taken_s)
                _note_answer(received, status, backend, taken_s)
                return Response(status, body, None, headers)
            case StreamedAnswer(status, _, events):
                # The body outlives this call and takes over what must be closed.
                stack.callback(events.close)
                body = _StreamBody(received, events, stack.pop_all(), self._metrics)
                return Response(status, body, None, headers)

    def _refuse(self, received: CallerRequest, refusal: Refusal) -> Response:
        status = status_of(refusal)
        self._metrics.count(f"refused_{refusal.reason.value}")
        log_event(
            Event.REQUEST_REFUSED,
            id=received.id,
            status=status,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            cause=refusal.message,
            model=received.model,
            after_ms=int((time.monotonic() - received.arrived_at) * 1000),
        )
        headers = {REQUEST_ID: received.id}
        if refusal.retry_after_s is not None and status in NOT_RUN_STATUSES:
            headers["Retry-After"] = f"{refusal.retry_after_s:.3f}"
        return Response(status, refusal_body(refusal), headers=headers)


class _StreamBody:
    """Body of a streamed answer; the server closes it when the caller is gone."""

    def __init__(
        self, received: CallerRequest, events, owned: ExitStack, metrics: Metrics
    ) -> None:
        self._received = received
        self._events = events
        self._owned = owned
        self._metrics = metrics

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events; raising ends the connection without the last chunk."""
        began = False
        try:
            for data in self._events:
                if not began:
                    taken_s = time.monotonic() - self._received.arrived_at
                    self._metrics.observe("first_event_us", taken_s)
                    began = True
                yield data
            self._metrics.count("streams_completed")
            taken_s = time.monotonic() - self._received.arrived_at
            _note_answer(self._received, OK, self._events.backend, taken_s)
        except BackendFailed as error:
            self._metrics.count("streams_broken")
            log_event(Event.STREAM_BROKEN, id=self._received.id, cause=str(error))
            raise

    def close(self) -> None:
        """Release the stream; safe to call more than once."""
        self._owned.close()


def _note_answer(
    received: CallerRequest, status: int, backend: str, taken_s: float
) -> None:
    log_event(
        Event.REQUEST_ANSWERED,
        id=received.id,
        status=status,
        backend=backend,
        after_ms=int(taken_s * 1000),
    )


def status_of(refusal: Refusal) -> int:
    """Return a status that promises no more than the refusal does."""
    status = STATUS_BY_REASON[refusal.reason]
    if refusal.ran is Ran.UNKNOWN:
        timed_out = refusal.reason is Reason.TIMEOUT
        return TIMEOUT_STATUS if timed_out else UNKNOWN_STATUS
    if status >= UNKNOWN_STATUS:
        return UNAVAILABLE_STATUS
    return status


def parse_request(request: Request) -> CallerRequest:
    """Decode a caller's request; raises `InvalidRequest`."""
    headers = request.headers
    host = headers.get("Host", "").rsplit(":", 1)[0].lower()
    prompt_tokens, answer_tokens = _tokens(headers.get(TOKENS, ""))
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    patience_ms = _number(headers, PATIENCE_MS)
    return CallerRequest(
        id=headers.get(REQUEST_ID, ""),
        method=request.method,
        target=request.target,
        host=host,
        path=request.target.split("?", 1)[0],
        headers=tuple(
            (name, value)
            for name, value in request.header_items
            if name.lower() not in NOT_FORWARDED and name.lower() not in named
        ),
        body=request.body,
        api_key=headers.get(AUTHORIZATION, "").removeprefix(KEY_SCHEME),
        timeout_s=None if patience_ms is None else patience_ms / 1000,
        last_event=_number(headers, LAST_EVENT),
        model=headers.get(MODEL, ""),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=answer_tokens,
        expected_tokens=_estimate(headers.get(EXPECTED_TOKENS, "")),
        arrived_at=request.arrived_at,
    )


def _number(headers: dict[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isdigit():
        raise InvalidRequest(f"header {name}: must be a whole number")
    return int(text)


def _estimate(text: str) -> int | None:
    """Return an estimate; one that can't be read harms nobody but its sender."""
    return int(text) if text.isdigit() else None


def _tokens(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    parts = text.split(",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        raise InvalidRequest(f"header {TOKENS}: must be two whole numbers")
    return int(parts[0]), int(parts[1])

"""Callers' requests and the answers, with the platform's headers."""

import time
from collections.abc import Iterator
from contextlib import ExitStack

import eventlet

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.forwarding import Answer, Forwarder
from poplarspar.events import Event
from poplarspar.exceptions import (
    BackendFailed,
    CallerGone,
    InvalidRequest,
    ShutdownEnded,
)
from poplarspar.logs import log_event
from poplarspar.platform.headers import (
    AUTHORIZATION,
    AUTHORIZATION_SCHEME,
    DEADLINE_MS,
    EXPECTED_TOKENS,
    LAST_EVENT_ID,
    MAX_COUNT_DIGITS,
    MODEL,
    NOT_FORWARDED,
    PROMPT_PARTS,
    REQUEST_ID,
    TOKEN_COUNT,
    parse_count,
    parse_integer,
)
from poplarspar.protocol.refusals import STATUS_BY_REASON, refusal_body
from poplarspar.protocol.server_sent_events import MAX_EVENT_ID_DIGITS
from poplarspar.state.callers import (
    CallerRequest,
    CompleteAnswer,
    PromptSection,
    StreamedAnswer,
)
from poplarspar.state.metrics import Metrics
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok
from poplarspar.state.serving import ConfigurationBasis
from poplarspar.transport.disconnects import cancel_on_disconnect
from poplarspar.transport.server import Request, Response

# Statuses by which the node promises that a request has not run and never will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
MAX_PART_ID_LENGTH = 64
MAX_SECTIONS = 64
OK = 200
BAD_GATEWAY_STATUS = 502
TIMEOUT_STATUS = 504
UNAVAILABLE_STATUS = 503


class PlatformCallerHandler:
    """Answers callers with the platform's statuses and headers."""

    def __init__(self, forwarder: Forwarder, drain: Drain, metrics: Metrics) -> None:
        self._forwarder = forwarder
        self._drain = drain
        self._metrics = metrics

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        caller_request = parse_request(request)
        basis = self._forwarder.basis()
        with ExitStack() as stack:
            stack.enter_context(self._drain.request())
            stack.enter_context(cancel_on_disconnect(request.connection))
            task = eventlet.getcurrent()
            ended = ShutdownEnded("the node stops")
            try:
                with self._drain.interruptible(lambda: eventlet.kill(task, ended)):
                    response = self._answer(caller_request, basis, stack)
            except ShutdownEnded as error:
                # What the request has done at a backend server is not known.
                refusal = Refusal(Reason.TIMEOUT, str(error), Ran.UNKNOWN)
                response = self._refuse(caller_request, basis, refusal)
            except CallerGone:
                self._metrics.count("requests_abandoned")
                log_event(Event.CALLER_GONE, id=caller_request.id)
                raise
        if self._drain.draining:
            response.headers["Connection"] = "close"
        return response

    def _answer(
        self,
        caller_request: CallerRequest,
        basis: ConfigurationBasis,
        stack: ExitStack,
    ) -> Response:
        match self._forwarder.serve(caller_request):
            case Error(refusal):
                return self._refuse(caller_request, basis, refusal)
            case Ok(answer):
                return self._to_response(caller_request, basis, answer, stack)

    def _to_response(
        self,
        caller_request: CallerRequest,
        basis: ConfigurationBasis,
        answer: Answer,
        stack: ExitStack,
    ) -> Response:
        headers = dict(answer.headers)
        match answer:
            case CompleteAnswer(status, _, body, backend):
                self._metrics.count(f"answers_{status // 100}xx")
                elapsed_s = time.monotonic() - caller_request.arrived_at
                self._metrics.observe("answer_us", elapsed_s)
                _log_answer(caller_request, basis, status, backend, elapsed_s)
                return Response(status, body, None, headers)
            case StreamedAnswer(status, _, events):
                # The server sends the body after this call, so the body closes the
                # stack.
                stack.callback(events.close)
                body = _StreamBody(
                    caller_request, basis, events, stack.pop_all(), self._metrics
                )
                return Response(status, body, None, headers)

    def _refuse(
        self,
        caller_request: CallerRequest,
        basis: ConfigurationBasis,
        refusal: Refusal,
    ) -> Response:
        status = status_of(refusal)
        self._metrics.count(f"refused_{refusal.reason.value}")
        log_event(
            Event.REQUEST_REFUSED,
            id=caller_request.id,
            status=status,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            cause=refusal.message,
            model=caller_request.model,
            after_ms=int((time.monotonic() - caller_request.arrived_at) * 1000),
            **_basis_fields(basis),
        )
        headers = {REQUEST_ID: caller_request.id}
        if refusal.retry_after_s is not None and status in NOT_EXECUTED_STATUSES:
            headers["Retry-After"] = f"{refusal.retry_after_s:.3f}"
        return Response(status, refusal_body(refusal), headers=headers)


class _StreamBody:
    """Body of a streamed answer; the server closes it when the caller disconnects."""

    def __init__(
        self,
        caller_request: CallerRequest,
        basis: ConfigurationBasis,
        events,
        resources: ExitStack,
        metrics: Metrics,
    ) -> None:
        self._caller_request = caller_request
        self._basis = basis
        self._events = events
        self._resources = resources
        self._metrics = metrics

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events; an exception ends the connection before the final chunk."""
        started = False
        try:
            for data in self._events:
                if not started:
                    elapsed_s = time.monotonic() - self._caller_request.arrived_at
                    self._metrics.observe("first_event_us", elapsed_s)
                    started = True
                yield data
            self._metrics.count("streams_completed")
            elapsed_s = time.monotonic() - self._caller_request.arrived_at
            _log_answer(
                self._caller_request, self._basis, OK, self._events.backend, elapsed_s
            )
        except BackendFailed as error:
            self._metrics.count("streams_broken")
            log_event(
                Event.STREAM_BROKEN,
                id=self._caller_request.id,
                cause=str(error),
                **_basis_fields(self._basis),
            )
            raise

    def close(self) -> None:
        """Release the stream; safe to call more than once."""
        self._resources.close()


def _basis_fields(basis: ConfigurationBasis) -> dict[str, int]:
    """Return the fields of a log line that say what a decision was based on."""
    return {
        "version": basis.version,
        "version_age_ms": int(basis.age_s * 1000),
        "store_answered_ms": int(basis.answered_s * 1000),
    }


def _log_answer(
    caller_request: CallerRequest,
    basis: ConfigurationBasis,
    status: int,
    backend: str,
    elapsed_s: float,
) -> None:
    log_event(
        Event.REQUEST_ANSWERED,
        id=caller_request.id,
        status=status,
        backend=backend,
        after_ms=int(elapsed_s * 1000),
        **_basis_fields(basis),
    )


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    Statuses 502 and 504 mean that the request may have run, so the node sends them
    only if `refusal.ran` is `Ran.UNKNOWN`.
    """
    status = STATUS_BY_REASON[refusal.reason]
    if refusal.ran is Ran.UNKNOWN:
        timed_out = refusal.reason is Reason.TIMEOUT
        return TIMEOUT_STATUS if timed_out else BAD_GATEWAY_STATUS
    if status >= BAD_GATEWAY_STATUS:
        return UNAVAILABLE_STATUS
    return status


def parse_request(request: Request) -> CallerRequest:
    """Decode a caller's request; raises `InvalidRequest`."""
    headers = request.headers
    host = headers.get("Host", "").rsplit(":", 1)[0].lower()
    prompt_tokens, answer_tokens = _parse_token_counts(headers.get(TOKEN_COUNT, ""))
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    timeout_ms = _parse_timeout_ms(headers)
    return CallerRequest(
        id=headers.get(REQUEST_ID, ""),
        method=request.method,
        target=request.target,
        host=host,
        path=request.target.split("?", 1)[0],
        headers=tuple(
            (name, value)
            for name, value in request.header_items
            if name.lower() not in NOT_FORWARDED
            and name.lower() not in connection_headers
        ),
        body=request.body,
        api_key=headers.get(AUTHORIZATION, "").removeprefix(AUTHORIZATION_SCHEME),
        timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        last_event=_parse_last_event(headers),
        model=headers.get(MODEL, ""),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=answer_tokens,
        expected_tokens=_parse_estimate(headers.get(EXPECTED_TOKENS, "")),
        arrived_at=request.arrived_at,
        prompt_parts=_parse_prompt_parts(headers.get(PROMPT_PARTS, "")),
        prompt_sections=_parse_prompt_sections(headers.get(PROMPT_PARTS, "")),
    )


def _parse_timeout_ms(headers: dict[str, str]) -> int | None:
    text = headers.get(DEADLINE_MS)
    timeout_ms = None if text is None else parse_count(text)
    if text is not None and timeout_ms is None:
        raise InvalidRequest(_number_error(DEADLINE_MS, MAX_COUNT_DIGITS))
    return timeout_ms


def _parse_last_event(headers: dict[str, str]) -> int | None:
    text = headers.get(LAST_EVENT_ID)
    number = None if text is None else parse_integer(text, MAX_EVENT_ID_DIGITS)
    if text is not None and number is None:
        raise InvalidRequest(_number_error(LAST_EVENT_ID, MAX_EVENT_ID_DIGITS))
    return number


def _number_error(header: str, max_digits: int) -> str:
    return f"header {header}: must be a whole number of up to {max_digits} digits"


def _parse_estimate(text: str) -> int | None:
    """Return an estimate, or None if malformed, which affects only its sender."""
    return parse_count(text)


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the parts that other prompts may share, without the last."""
    ids = [part.partition(":")[0].strip().lower() for part in text.split(",")]
    # Sorting out the malformed ones affects only their sender.
    shared = [id for id in ids[:-1] if id.isalnum() and len(id) <= MAX_PART_ID_LENGTH]
    return tuple(dict.fromkeys(shared))


def _parse_prompt_sections(text: str) -> tuple[PromptSection, ...]:
    """Return the parts of a prompt, in order, up to the first malformed one."""
    sections = []
    # The last piece of the split is all the rest, which is left out.
    for part in text.split(",", MAX_SECTIONS)[:MAX_SECTIONS]:
        id, _, tokens_text = part.partition(":")
        id, tokens = id.strip().lower(), parse_count(tokens_text)
        if not id.isalnum() or len(id) > MAX_PART_ID_LENGTH or tokens is None:
            break
        sections.append(PromptSection(id, tokens))
    return tuple(sections)


def _parse_token_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    counts = [parse_count(part) for part in text.split(",")]
    if len(counts) != 2 or None in counts:
        raise InvalidRequest(
            f"header {TOKEN_COUNT}: must be two whole numbers of up to "
            f"{MAX_COUNT_DIGITS} digits"
        )
    return counts[0], counts[1]

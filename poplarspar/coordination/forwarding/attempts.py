"""Sending one request to one place, and what may come of it."""

import time
from dataclasses import dataclass

from poplarspar.coordination.forwarding.ports import Attempt, Exchange, Upstream
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event

# A connection within a region takes under 3 ms; a lost packet is sent again only
# after a second, so another backend server is the better choice before that.
CONNECT_TIMEOUT_S = 0.12


@dataclass(frozen=True)
class Began:
    """The headers of a genuine answer have come; the receiver closes it.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which the request was sent.
    """

    exchange: Exchange
    target: Target
    sent_at: float


@dataclass(frozen=True)
class NotReached:
    """No connection could be made, so nothing was sent."""

    target: Target


@dataclass(frozen=True)
class Rejected:
    """The backend server says that it has not run the request and never will."""

    target: Target


@dataclass(frozen=True)
class Broke:
    """The request was sent and may have run, but no sound answer came."""

    target: Target
    cause: str


AttemptResult = Began | NotReached | Rejected | Broke


class Sender:
    """Sends requests and keeps the accounts of the places they go to."""

    def __init__(self, targets: Targets, upstream: Upstream) -> None:
        self._targets = targets
        self._upstream = upstream

    def send(
        self,
        routed: RoutedRequest,
        target: Target,
        *,
        response_timeout_s: float,
        last_event: int | None = None,
    ) -> AttemptResult:
        """Send a request; `finish` follows a `Began`."""
        request = routed.request
        left_s = routed.deadline - time.monotonic()
        attempt = Attempt(
            request=request,
            workspace=routed.workspace,
            backend_id=target.backend.id,
            address=target.backend.address,
            remaining_s=left_s,
            response_timeout_s=min(response_timeout_s, left_s),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, left_s),
            last_event=request.last_event if last_event is None else last_event,
            priority=routed.urgency if routed.service.engine else None,
        )
        self._targets.record_sent(target, request.prompt_tokens)
        began = False
        try:
            result = self._classify(target, attempt)
            began = isinstance(result, Began)
            if not began:
                _note_failure(attempt, result)
            return result
        finally:
            self._targets.record_prefill_end(target, request.prompt_tokens)
            if not began:
                self._targets.record_end(target)

    def finish(self, began: Began) -> None:
        """Close an answer and free its place."""
        began.target.exchanges.discard(began.exchange)
        began.exchange.close()
        self._targets.record_end(began.target)

    def _classify(self, target: Target, attempt: Attempt) -> AttemptResult:
        sent_at = time.monotonic()
        try:
            exchange = self._upstream.send(attempt)
        except BackendFailed as failure:
            target.record_failure()
            if failure.sent:
                return Broke(target, str(failure))
            return NotReached(target)
        target.record_load(exchange.load)
        target.record_progress()
        if exchange.not_executed:
            exchange.close()
            return Rejected(target)
        if not exchange.authentic:
            exchange.close()
            target.record_failure()
            return Broke(target, f"status {exchange.status} without a signature")
        target.exchanges.add(exchange)
        return Began(exchange, target, sent_at)


def _note_failure(attempt: Attempt, result: AttemptResult) -> None:
    log_event(
        Event.ATTEMPT_FAILED,
        id=attempt.request.id,
        backend=attempt.backend_id,
        result=type(result).__name__.lower(),
        cause=result.cause if isinstance(result, Broke) else "",
        left_ms=int(attempt.remaining_s * 1000),
    )

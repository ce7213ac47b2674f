"""One attempt to send a request to a target, and its possible results."""

import time
from dataclasses import dataclass

from poplarspar.coordination.forwarding.held_prompts import Beginning
from poplarspar.coordination.forwarding.ports import Attempt, Exchange, Upstream
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event

# Connecting within a region takes under 3 ms, and TCP resends a lost packet only
# after 1 s. Trying another backend server before that is faster.
CONNECT_TIMEOUT_S = 0.12
OK = 200


@dataclass(frozen=True)
class Began:
    """The headers of an authentic answer arrived; `Sender.finish` closes the exchange.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which the request was sent.
    beginnings : tuple of Beginning
        What the target may hold of the prompt, empty if it keeps none.
    """

    exchange: Exchange
    target: Target
    sent_at: float
    beginnings: tuple[Beginning, ...] = ()


@dataclass(frozen=True)
class NotReached:
    """Connecting to the backend server failed, so nothing was sent."""

    target: Target


@dataclass(frozen=True)
class Rejected:
    """The backend server reports that it did not run the request and never will."""

    target: Target


@dataclass(frozen=True)
class Broke:
    """The request was sent and may have run, but no valid answer arrived.

    Attributes
    ----------
    disconnected : bool
        Whether the backend server closed or reset the connection.
    """

    target: Target
    cause: str
    disconnected: bool = False


AttemptResult = Began | NotReached | Rejected | Broke


class Sender:
    """Sends requests and updates the counters of their targets."""

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
        """Send a request; pass a `Began` to `finish` after the answer."""
        request = routed.request
        remaining_s = routed.deadline - time.monotonic()
        attempt = Attempt(
            request=request,
            workspace=routed.workspace,
            backend_id=target.backend.id,
            address=target.backend.address,
            remaining_s=remaining_s,
            response_timeout_s=min(response_timeout_s, remaining_s),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
            last_event=request.last_event if last_event is None else last_event,
            priority=routed.priority if routed.service.engine else None,
        )
        first_events = self._targets.first_events
        record_first_event = first_events.measure(routed, target, time.monotonic())
        self._targets.record_sent(target, request.prompt_tokens)
        answer_began = False
        try:
            result = self._classify(target, attempt)
            answer_began = isinstance(result, Began)
            if isinstance(result, (NotReached, Rejected)):
                self._targets.waiting.queue_of(routed).record_declined(routed)
            if answer_began:
                record_first_event(time.monotonic())
            else:
                _log_failure(attempt, result)
            return result
        finally:
            self._targets.record_prefill_end(target, request.prompt_tokens)
            if not answer_began:
                self._targets.record_end(target)

    def finish(self, began: Began) -> None:
        """Close an answer and release its slot at the target."""
        began.target.exchanges.discard(began.exchange)
        began.exchange.close()
        if began.beginnings and began.target.held is not None:
            version = began.exchange.weights_version
            began.target.held.renew(began.beginnings, time.monotonic(), version)
        self._targets.record_end(began.target)

    def _classify(self, target: Target, attempt: Attempt) -> AttemptResult:
        sent_at = time.monotonic()
        try:
            exchange = self._upstream.send(attempt)
        except BackendFailed as failure:
            target.record_failure()
            if failure.sent:
                return Broke(target, str(failure), failure.disconnected)
            return NotReached(target)
        target.record_load(exchange.load)
        target.record_progress()
        if exchange.authentic or exchange.not_executed:
            limits = self._targets.rate_limits
            limits.observe(target.backend, exchange.rate_limit, sent_at)
        for notice in exchange.notices:
            self._targets.notices.record(target.backend, notice, exchange.status)
        if exchange.not_executed:
            exchange.close()
            return Rejected(target)
        if not exchange.authentic:
            exchange.close()
            target.record_failure()
            return Broke(target, f"status {exchange.status} without a signature")
        target.exchanges.add(exchange)
        beginnings: tuple[Beginning, ...] = ()
        # An error answer says nothing of whether the prompt was read.
        if target.held is not None and exchange.status == OK:
            version = exchange.weights_version
            beginnings = self._targets.record_read(target, attempt.request, version)
        return Began(exchange, target, sent_at, beginnings)


def _log_failure(attempt: Attempt, result: AttemptResult) -> None:
    log_event(
        Event.ATTEMPT_FAILED,
        id=attempt.request.id,
        backend=attempt.backend_id,
        result=type(result).__name__.lower(),
        cause=result.cause if isinstance(result, Broke) else "",
        disconnected=isinstance(result, Broke) and result.disconnected,
        parts=attempt.request.prompt_parts,
        left_ms=int(attempt.remaining_s * 1000),
    )

"""Passing requests on to backend servers until one has answered."""

import time
from collections.abc import Callable

import eventlet
from expression import Error, Ok, Result

from poplarspar.coordination.forwarding.attempts import (
    Began,
    Broke,
    NotReached,
    Rejected,
    Sender,
)
from poplarspar.coordination.forwarding.demand import DemandMeter
from poplarspar.coordination.forwarding.resuming import (
    RETRY_AFTER_S,
    FindTarget,
    ResumableAnswer,
)
from poplarspar.coordination.forwarding.retry_budget import RetryBudget
from poplarspar.coordination.forwarding.routing import RoutedRequest, route_request
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event
from poplarspar.state.callers import CallerRequest, CompleteAnswer, StreamedAnswer
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.serving import RouteKind, ServingConfiguration

# Places that may decline a request, or not be reached, before it is refused.
MAX_DECLINED = 3
# When a repeat is allowed, the first backend server gets this part of the time.
FIRST_ATTEMPT_PART = 0.5
# Part of a request's aim that it may wait for a place.
WAIT_PART = 0.5
SERVER_ERROR = 500

Answer = CompleteAnswer | StreamedAnswer


class Forwarder:
    """Serves callers' requests, whatever front end they came through.

    Parameters
    ----------
    configuration : callable
        Returns the configuration that is in force here.
    """

    def __init__(
        self,
        configuration: Callable[[], ServingConfiguration | None],
        targets: Targets,
        sender: Sender,
        budget: RetryBudget,
        demand: DemandMeter,
    ) -> None:
        self._configuration = configuration
        self._demand = demand
        self._targets = targets
        self._sender = sender
        self._budget = budget

    def serve(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Answer a request, or say why not and whether it may have run."""
        match route_request(self._configuration(), request):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=routed):
                pass
        self._budget.record_request(routed.service.name)
        self._demand.record_request(routed)
        if routed.route.kind is RouteKind.STREAM:
            return self._open_stream(routed)
        return self._call(routed)

    def _open_stream(self, routed: RoutedRequest) -> Result[Answer, Refusal]:
        answer = ResumableAnswer(
            routed, self._targets, self._sender, self._budget, self.find_target
        )
        return answer.open()

    def _call(self, routed: RoutedRequest) -> Result[Answer, Refusal]:
        left_s = routed.deadline - time.monotonic()
        call = _Call(routed, self._sender, self._budget, self.find_target)
        with eventlet.Timeout(max(0.0, left_s), False):
            return call.run()
        if call.may_have_run:
            refusal = Refusal(Reason.TIMEOUT, "no answer in time", Ran.UNKNOWN)
        else:
            refusal = Refusal(Reason.NO_BACKEND, "no backend server in time")
        return Error(refusal)

    def find_target(
        self, routed: RoutedRequest, tried: set[Target], wait_s: float
    ) -> Result[Target, Refusal]:
        """Return a place for a request, waiting for one if all are full."""
        ends_at = time.monotonic() + wait_s
        while True:
            target = self._targets.choose(routed, tried)
            if target is not None:
                return Ok(target)
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                return Error(self._full(routed, tried))
            self._targets.wait_for_change(left_s)

    def _full(self, routed: RoutedRequest, tried: set[Target]) -> Refusal:
        expected, slots = self._targets.occupancy(routed)
        log_event(
            Event.NO_PLACE,
            id=routed.request.id,
            route=routed.route.name,
            model=routed.request.model,
            expected=expected,
            slots=slots,
            tried=[target.backend.id for target in tried],
        )
        if self._targets.has_usable(routed, tried):
            message = "all backend servers are busy"
            return Refusal(Reason.QUEUE_FULL, message, retry_after_s=RETRY_AFTER_S)
        message = "no backend server can take the request now"
        return Refusal(Reason.NO_BACKEND, message, retry_after_s=RETRY_AFTER_S)


class _Call:
    """One request of a plain service."""

    def __init__(
        self,
        routed: RoutedRequest,
        sender: Sender,
        budget: RetryBudget,
        find_place: FindTarget,
    ) -> None:
        self._routed = routed
        self._sender = sender
        self._budget = budget
        self._place = find_place
        self._tried: set[Target] = set()
        self._declined = 0
        self._sent = 0
        self._failed_answer: CompleteAnswer | None = None
        self.may_have_run = False

    def run(self) -> Result[Answer, Refusal]:
        """Send the request until it is answered or may not be sent again."""
        while True:
            match self._find_place():
                case Result(tag="error", error=refusal):
                    return self._give_up(refusal)
                case Result(ok=target):
                    pass
            self._tried.add(target)
            ran_before = self.may_have_run
            # Holds also if the time runs out while the answer is awaited.
            self.may_have_run = True
            match self._send(target):
                case Began() as began:
                    answer = self._read(began)
                    if answer is not None:
                        return Ok(answer)
                case NotReached() | Rejected():
                    self._declined += 1
                    self.may_have_run = ran_before
                case Broke():
                    self._sent += 1

    def _find_place(self) -> Result[Target, Refusal]:
        routed = self._routed
        if not self._may_send():
            message = "the backend server gave no sound answer"
            return Error(Refusal(Reason.BACKEND, message, Ran.UNKNOWN))
        if self._declined >= MAX_DECLINED:
            message = "backend servers declined the request"
            return Error(
                Refusal(Reason.NO_BACKEND, message, retry_after_s=RETRY_AFTER_S)
            )
        wait_s = routed.route.target_latency_s * WAIT_PART
        return self._place(routed, self._tried, wait_s)

    def _may_send(self) -> bool:
        """Return whether the request may be sent, once more or at all."""
        if not self._tried:
            return True
        if self._sent and not self._routed.route.repeatable:
            return False
        if self._sent >= self._routed.route.max_attempts:
            return False
        return self._budget.try_consume(self._routed.service.name)

    def _send(self, target: Target):
        routed = self._routed
        left_s = routed.deadline - time.monotonic()
        if routed.route.repeatable and self._sent + 1 < routed.route.max_attempts:
            left_s *= FIRST_ATTEMPT_PART
        return self._sender.send(routed, target, response_timeout_s=left_s)

    def _read(self, began: Began) -> CompleteAnswer | None:
        """Return the answer, None if another backend server should be asked."""
        exchange = began.exchange
        self._sent += 1
        try:
            body = exchange.read_body()
        except BackendFailed:
            began.target.record_failure()
            return None
        finally:
            self._sender.finish(began)
        answer = CompleteAnswer(
            exchange.status, exchange.headers, body, began.target.backend.id
        )
        if exchange.status >= SERVER_ERROR:
            began.target.record_failure()
            if self._routed.route.repeatable:
                self._failed_answer = answer
                return None
        else:
            began.target.record_success()
            began.target.record_answer_time(time.monotonic() - began.sent_at)
        return answer

    def _give_up(self, refusal: Refusal) -> Result[Answer, Refusal]:
        if self._failed_answer is not None:
            return Ok(self._failed_answer)
        if self.may_have_run:
            message = "the backend server gave no sound answer"
            return Error(Refusal(Reason.BACKEND, message, Ran.UNKNOWN))
        return Error(refusal)

"""Forwarding of requests, with retries, until a backend server answers."""

import time
from collections.abc import Callable
from contextlib import ExitStack, closing

import eventlet

from poplarspar.coordination.forwarding.attempts import (
    Began,
    Broke,
    NotReached,
    Rejected,
    Sender,
)
from poplarspar.coordination.forwarding.begin import Begin
from poplarspar.coordination.forwarding.demand import DemandMeter
from poplarspar.coordination.forwarding.queues import ModelQueue, WaitingRequest
from poplarspar.coordination.forwarding.resuming import (
    RETRY_AFTER_S,
    FindTarget,
    ResumableAnswer,
)
from poplarspar.coordination.forwarding.retry_budget import RetryBudget, kept_share
from poplarspar.coordination.forwarding.routing import RoutedRequest, route_request
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.coordination.quarantine import (
    Admitted,
    Observation,
    Quarantine,
    Quarantined,
)
from poplarspar.coordination.waiting import ByUrgency, Standing
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event
from poplarspar.state.callers import CallerRequest, CompleteAnswer, StreamedAnswer
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok, Result
from poplarspar.state.serving import (
    ConfigurationBasis,
    RouteKind,
    ServingConfiguration,
)

# After this many attempts at targets that decline the request or can't be reached,
# the node refuses it.
MAX_DECLINED_ATTEMPTS = 3
# Share of the remaining time that an attempt may use while another one is allowed.
FIRST_ATTEMPT_FRACTION = 0.5
# Share of the route's target latency that a request may wait for a free target.
WAIT_FRACTION = 0.5
SERVER_ERROR = 500

Answer = CompleteAnswer | StreamedAnswer


class Forwarder:
    """Serves callers' requests, independently of the front end that received them.

    Parameters
    ----------
    configuration : callable
        Returns the configuration that this node applies, None before the first.
    basis : callable
        Returns what this node knows of that configuration now.
    record_begin : callable
        Called with a request's workspace once it has begun to run.
    """

    def __init__(
        self,
        configuration: Callable[[], ServingConfiguration | None],
        targets: Targets,
        sender: Sender,
        budget: RetryBudget,
        demand: DemandMeter,
        quarantine: Quarantine,
        basis: Callable[[], ConfigurationBasis] = ConfigurationBasis,
        record_begin: Callable[[str], None] = lambda workspace: None,
    ) -> None:
        self._configuration = configuration
        self.basis = basis
        self._record_begin = record_begin
        self._quarantine = quarantine
        self._demand = demand
        self._targets = targets
        self._sender = sender
        self._budget = budget

    def serve(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Return the answer, or a refusal saying whether the request may have run."""
        match route_request(self._configuration(), request):
            case Error(refusal):
                return Error(refusal)
            case Ok(routed):
                pass
        self._budget.record_request(routed.service.name)
        pool = f"{routed.service.name} {request.model}"
        match self._quarantine.admit(routed.quarantine_parts(), pool):
            case Quarantined(retry_after_s):
                message = "the request or parts of its prompt crash backend servers"
                return Error(
                    Refusal(Reason.QUARANTINED, message, retry_after_s=retry_after_s)
                )
            case Admitted(observation):
                pass
        self._demand.record_request(routed)
        self._targets.waiting.record_asked(routed)
        if not self._targets.admits(routed):
            with closing(observation):
                retry_after_s = RETRY_AFTER_S + self._targets.admission.pause_s(routed)
                return Error(self._refuse_without_target(routed, set(), retry_after_s))
        if routed.route.kind is RouteKind.STREAM:
            return self._open_stream(routed, observation)
        return self._call(routed, observation)

    def _open_stream(
        self, routed: RoutedRequest, observation: Observation
    ) -> Result[Answer, Refusal]:
        answer = ResumableAnswer(
            routed,
            self._targets,
            self._sender,
            self._budget,
            self.find_target,
            observation,
            Begin(routed, self._record_begin),
        )
        return answer.open()

    def _call(
        self, routed: RoutedRequest, observation: Observation
    ) -> Result[Answer, Refusal]:
        remaining_s = routed.deadline - time.monotonic()
        begin = Begin(routed, self._record_begin)
        call = _UnstreamedCall(
            routed, self._sender, self._budget, self.find_target, observation, begin
        )
        with closing(call), eventlet.Timeout(max(0.0, remaining_s), False):
            return call.run()
        if call.may_have_run:
            refusal = Refusal(Reason.TIMEOUT, "no answer in time", Ran.UNKNOWN)
        else:
            refusal = Refusal(Reason.NO_BACKEND, "no backend server was free in time")
        return Error(refusal)

    def find_target(
        self,
        routed: RoutedRequest,
        tried: set[Target],
        wait_s: float,
        standing: Standing = Standing.FIRST_ATTEMPT,
    ) -> Result[Target, Refusal]:
        """Return a target for a request; waits up to `wait_s` while all are full."""
        wait_until = time.monotonic() + wait_s
        queue = self._targets.waiting.queue_of(routed)
        waiter = queue.enter(routed, tried, wait_s, standing)
        with ExitStack() as stack:
            stack.callback(queue.leave, waiter)
            while True:
                target = queue.try_take(waiter)
                if target is not None:
                    return Ok(target)
                remaining_s = wait_until - time.monotonic()
                if self._targets.are_all_leaving(routed):
                    return Error(
                        self._refuse_without_target(routed, tried, RETRY_AFTER_S)
                    )
                blocked_s = self._targets.blocked_s(routed, tried)
                if waiter.displaced or remaining_s <= max(0.0, blocked_s):
                    return Error(self._refuse_waiter(waiter, queue, blocked_s))
                queue.wait(waiter, min(remaining_s, blocked_s or remaining_s))

    def _refuse_waiter(
        self, waiter: WaitingRequest, queue: ModelQueue, blocked_s: float
    ) -> Refusal:
        routed = waiter.routed
        match waiter.claim:
            case ByUrgency(rank=rank, standing=standing):
                retry_after_s = max(queue.retry_after_s(waiter), blocked_s)
                log_event(
                    Event.WAITED_IN_VAIN,
                    id=routed.request.id,
                    model=routed.request.model,
                    workspace=routed.workspace,
                    priority=routed.priority,
                    rank=rank,
                    standing=standing.name.lower(),
                    ahead=queue.ahead_count(waiter),
                    displaced=waiter.displaced,
                    retry_after_s=round(retry_after_s, 3),
                )
            case _:
                retry_after_s = max(RETRY_AFTER_S, blocked_s)
        return self._refuse_without_target(routed, waiter.tried, retry_after_s)

    def _refuse_without_target(
        self, routed: RoutedRequest, tried: set[Target], retry_after_s: float
    ) -> Refusal:
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
            return Refusal(Reason.QUEUE_FULL, message, retry_after_s=retry_after_s)
        message = "no backend server is available for the request"
        return Refusal(Reason.NO_BACKEND, message, retry_after_s=retry_after_s)


class _UnstreamedCall:
    """One request on a route whose answers are not streamed."""

    def __init__(
        self,
        routed: RoutedRequest,
        sender: Sender,
        budget: RetryBudget,
        find_target: FindTarget,
        observation: Observation,
        begin: Begin,
    ) -> None:
        self._routed = routed
        self._observation = observation
        self._begin = begin
        self._sender = sender
        self._budget = budget
        self._find_target = find_target
        self._tried: set[Target] = set()
        self._declined_attempts = 0
        self._sent_attempts = 0
        self._failed_answer: CompleteAnswer | None = None
        self.may_have_run = False

    def run(self) -> Result[Answer, Refusal]:
        """Send the request until it is answered or must not be retried."""
        while True:
            match self._next_target():
                case Error(refusal):
                    return self._final_result(refusal)
                case Ok(target):
                    pass
            self._tried.add(target)
            may_have_run_before = self.may_have_run
            # Set before sending, since the deadline may interrupt the attempt.
            self.may_have_run = True
            match self._send(target):
                case Began() as began:
                    self._begin.record()
                    self._observation.record_answering(target.backend)
                    answer = self._read_answer(began)
                    if answer is not None:
                        return Ok(answer)
                case NotReached() | Rejected():
                    self._declined_attempts += 1
                    self.may_have_run = may_have_run_before
                case Broke(disconnected=disconnected):
                    self._sent_attempts += 1
                    if disconnected:
                        self._observation.record_disconnected(target.backend)

    def close(self) -> None:
        """End the request, which may have run without an answer."""
        if self.may_have_run:
            self._begin.record()
        self._observation.close()

    def _next_target(self) -> Result[Target, Refusal]:
        routed = self._routed
        if not self._may_send():
            message = "the backend server gave no valid answer"
            return Error(Refusal(Reason.BACKEND, message, Ran.UNKNOWN))
        if self._declined_attempts >= MAX_DECLINED_ATTEMPTS:
            message = "backend servers declined the request"
            return Error(
                Refusal(Reason.NO_BACKEND, message, retry_after_s=RETRY_AFTER_S)
            )
        wait_s = routed.route.target_latency_s * WAIT_FRACTION
        return self._find_target(routed, self._tried, wait_s, self._standing())

    def _may_send(self) -> bool:
        """Return whether an attempt is allowed; a retry consumes retry budget."""
        if not self._tried:
            return True
        if self._sent_attempts and not self._routed.route.repeatable:
            return False
        if self._sent_attempts and not self._observation.may_retry():
            return False
        if self._sent_attempts >= self._routed.route.max_attempts:
            return False
        return self._budget.try_consume(
            self._routed.service.name, kept_share(self._routed, self._standing())
        )

    def _standing(self) -> Standing:
        return Standing.RESEND if self._tried else Standing.FIRST_ATTEMPT

    def _send(self, target: Target):
        routed = self._routed
        remaining_s = routed.deadline - time.monotonic()
        if (
            routed.route.repeatable
            and self._sent_attempts + 1 < routed.route.max_attempts
        ):
            remaining_s *= FIRST_ATTEMPT_FRACTION
        return self._sender.send(routed, target, response_timeout_s=remaining_s)

    def _read_answer(self, began: Began) -> CompleteAnswer | None:
        """Return the answer, None if the request should be retried."""
        exchange = began.exchange
        self._sent_attempts += 1
        try:
            body = exchange.read_body()
        except BackendFailed as failure:
            began.target.record_failure()
            if failure.disconnected:
                self._observation.record_disconnected(began.target.backend)
            return None
        finally:
            self._sender.finish(began)
        self._observation.record_complete()
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

    def _final_result(self, refusal: Refusal) -> Result[Answer, Refusal]:
        if self._failed_answer is not None:
            return Ok(self._failed_answer)
        if self.may_have_run:
            message = "the backend server gave no valid answer"
            return Error(Refusal(Reason.BACKEND, message, Ran.UNKNOWN))
        return Error(refusal)

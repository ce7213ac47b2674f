"""Streamed answers that resume at another replica group after a failure."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

from poplarspar.coordination.forwarding.attempts import (
    Began,
    Broke,
    NotReached,
    Rejected,
    Sender,
)
from poplarspar.coordination.forwarding.begin import Begin
from poplarspar.coordination.forwarding.ports import StreamEvent
from poplarspar.coordination.forwarding.retry_budget import RetryBudget, kept_share
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.coordination.quarantine import Observation
from poplarspar.coordination.waiting import Standing
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event
from poplarspar.state.callers import CompleteAnswer, StreamedAnswer
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok, Result

MAX_DECLINED_ATTEMPTS = 4
WAIT_FRACTION = 0.5
# Time for the head of an answer that may be run again elsewhere.
FIRST_EVENT_TIMEOUT_S = 1.2
# Callers abandon a stream after the longest of these: seconds, multiples of the route's
# target latency, and multiples of its target for pauses (the platform's protocol).
MIN_PATIENCE_S = 2.0
LATENCY_PATIENCE = 4.0
GAP_PATIENCE = 8.0
RESUME_WAIT_S = 1.0
CLIENT_ERROR = 400
# From this many consecutive numbers on, a stream's numbers count as consecutive.
MIN_CONSECUTIVE_EVENTS = 2
# A target frees a slot about this often; see `Refusal.retry_after_s`.
RETRY_AFTER_S = 0.1
FindTarget = Callable[
    [RoutedRequest, set[Target], float, Standing], Result[Target, Refusal]
]


class _Numbering:
    """Numbers of a stream's events, which another backend server must continue.

    Numbers need not be consecutive. Where they were, a gap between the events of two
    backend servers means missing events.
    """

    def __init__(self) -> None:
        self._last: int | None = None
        self._consecutive = 0
        self._is_joint = False

    def start_next(self) -> None:
        """Expect the first event of another backend server."""
        self._is_joint = True

    def may_follow(self, number: int) -> bool:
        """Return whether an event may follow the last one."""
        if not self._is_joint or self._consecutive < MIN_CONSECUTIVE_EVENTS:
            return True
        return number == self._last + 1

    def record(self, number: int) -> None:
        """Add the number of an event that the caller receives."""
        self._is_joint = False
        if self._last is not None:
            # A single gap shows that this stream's numbers have gaps.
            follows = number == self._last + 1 and self._consecutive >= 0
            self._consecutive = self._consecutive + 1 if follows else -1
        self._last = number


class ResumableAnswer:
    """One streamed answer, which several backend servers may produce in turn."""

    def __init__(
        self,
        routed: RoutedRequest,
        targets: Targets,
        sender: Sender,
        budget: RetryBudget,
        find_target: FindTarget,
        observation: Observation,
        begin: Begin,
    ) -> None:
        self._routed = routed
        self._observation = observation
        self._begin = begin
        self._targets = targets
        self._sender = sender
        self._budget = budget
        self._find_target = find_target
        self._began: Began | None = None
        self._events: Iterator[StreamEvent] = iter(())
        self._last_event = routed.request.last_event
        self._tried: set[Target] = set()
        self._declined_attempts = 0
        self._sent_attempts = 0
        self._streaming = False
        self._status = 0
        self._numbering = _Numbering()
        self._progress_at = time.monotonic()

    def open(self) -> Result[StreamedAnswer | CompleteAnswer, Refusal]:
        """Start the answer at a target with a free slot."""
        with ExitStack() as stack:
            stack.callback(self.close)
            match self._start(self._routed.route.target_latency_s * WAIT_FRACTION):
                case Error(refusal):
                    return Error(refusal)
                case Ok(began):
                    exchange = began.exchange
            if exchange.is_stream:
                self._streaming = True
                self._status = exchange.status
                stack.pop_all()
                return Ok(StreamedAnswer(exchange.status, exchange.headers, self))
            try:
                body = exchange.read_body()
            except BackendFailed as failure:
                self._record_failure(failure)
                return Error(Refusal(Reason.BACKEND, str(failure), Ran.UNKNOWN))
            self._observation.record_complete()
            if exchange.status < CLIENT_ERROR:
                self._begin.record()
            return Ok(CompleteAnswer(exchange.status, exchange.headers, body))

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events; raises `BackendFailed` if the stream can't resume."""
        made_progress = True
        while True:
            try:
                # Repeated events and events without a number don't extend the limit.
                if made_progress:
                    self._set_read_timeout()
                event = next(self._events, None)
            except BackendFailed as failure:
                self._resume(failure)
                made_progress = True
                continue
            if event is None:
                self._began.target.record_success()
                if self._began.exchange.framed:
                    self._observation.record_complete()
                return
            self._begin.record()
            made_progress = event.number is not None and (
                self._last_event is None or event.number > self._last_event
            )
            if made_progress and not self._numbering.may_follow(event.number):
                self._resume(BackendFailed("events are missing", sent=True))
                continue
            if made_progress:
                self._progress_at = time.monotonic()
                self._numbering.record(event.number)
                self._began.target.record_progress()
                self._observation.record_event()
                self._last_event = event.number
            if made_progress or event.number is None:
                yield event.data

    @property
    def backend(self) -> str:
        """Id of the backend server that produces the answer now, empty for none."""
        return self._began.target.backend.id if self._began else ""

    def silent_s(self, now: float) -> float:
        """Return the time since the stream's last new event, or since it was sent."""
        return now - self._progress_at

    def move(self) -> bool:
        """Move to another replica group if possible, and return whether it moves."""
        may_run_again = self._sent_attempts < self._routed.route.max_attempts
        if not self._routed.route.repeatable or not may_run_again:
            return False
        if not self._observation.may_retry():
            return False
        kept = kept_share(self._routed, self._standing())
        if not self._budget.may_consume(self._routed.service.name, kept):
            return False
        if self._targets.choose(self._routed, self._tried) is None:
            # The group may only be slow, so its stream is better than none.
            return False
        # The task that reads the events then resumes at another replica group.
        self._began.exchange.abort()
        return True

    def close(self) -> None:
        """End the answer and cancel the rest of it."""
        self._end_exchange()
        self._observation.close()

    def _end_exchange(self) -> None:
        began, self._began = self._began, None
        if began is not None:
            began.target.streams.discard(self)
            self._sender.finish(began)

    def _start(self, wait_s: float) -> Result[Began, Refusal]:
        while True:
            match self._next_target(wait_s):
                case Error(refusal):
                    return Error(refusal)
                case Ok(target):
                    pass
            self._tried.add(target)
            match self._send(target):
                case Began() as began:
                    self._sent_attempts += 1
                    if self._cannot_continue(began):
                        began.target.record_failure()
                        self._sender.finish(began)
                        continue
                    self._began = began
                    self._progress_at = time.monotonic()
                    self._observation.record_answering(target.backend)
                    self._events = began.exchange.events()
                    if began.exchange.is_stream:
                        began.target.streams.add(self)
                    return Ok(began)
                case NotReached() | Rejected():
                    self._declined_attempts += 1
                case Broke(disconnected=disconnected):
                    self._sent_attempts += 1
                    if disconnected:
                        self._observation.record_disconnected(target.backend)

    def _cannot_continue(self, began: Began) -> bool:
        """Return whether an answer can't continue the caller's stream.

        An error may come as events too, with the status of a failure.
        """
        if not self._streaming:
            return False
        exchange = began.exchange
        return not exchange.is_stream or exchange.status != self._status

    def _next_target(self, wait_s: float) -> Result[Target, Refusal]:
        if self._tried and not self._may_retry():
            ran = Ran.UNKNOWN if self._sent_attempts else Ran.NO
            reason = Reason.BACKEND if self._sent_attempts else Reason.NO_BACKEND
            return Error(
                Refusal(reason, "no replica group could answer", ran, RETRY_AFTER_S)
            )
        remaining_s = self._routed.deadline - time.monotonic()
        if remaining_s <= 0:
            ran = Ran.UNKNOWN if self._sent_attempts else Ran.NO
            return Error(Refusal(Reason.TIMEOUT, "no answer in time", ran))
        wait_s = min(wait_s, remaining_s)
        standing = self._standing()
        match self._find_target(self._routed, self._tried, wait_s, standing):
            case Error(refusal) if self._sent_attempts:
                return Error(Refusal(Reason.BACKEND, refusal.message, Ran.UNKNOWN))
            case found:
                return found

    def _standing(self) -> Standing:
        if self._last_event is not None:
            return Standing.DELIVERED_IN_PART
        return Standing.RESEND if self._tried else Standing.FIRST_ATTEMPT

    def _may_retry(self) -> bool:
        route = self._routed.route
        if self._sent_attempts and (
            not route.repeatable
            or self._sent_attempts >= route.max_attempts
            or not self._observation.may_retry()
        ):
            return False
        if self._declined_attempts >= MAX_DECLINED_ATTEMPTS:
            return False
        return self._budget.try_consume(
            self._routed.service.name, kept_share(self._routed, self._standing())
        )

    def _send(self, target: Target):
        remaining_s = self._routed.deadline - time.monotonic()
        route = self._routed.route
        may_run_again = (
            route.repeatable and self._sent_attempts + 1 < route.max_attempts
        )
        response_timeout_s = FIRST_EVENT_TIMEOUT_S if may_run_again else remaining_s
        return self._sender.send(
            self._routed,
            target,
            response_timeout_s=response_timeout_s,
            last_event=self._last_event,
        )

    def _set_read_timeout(self) -> None:
        """Limit the wait for the next event by the deadline and the caller's patience.

        The stall detector moves a silent stream sooner if another group can continue
        it; where none can, the stream may still be slow but sound.

        Raises
        ------
        BackendFailed
            If the deadline has passed.
        """
        remaining_s = self._routed.deadline - time.monotonic()
        if remaining_s <= 0:
            raise BackendFailed("the answer was not complete in time", sent=True)
        route = self._routed.route
        patience_s = max(
            MIN_PATIENCE_S,
            LATENCY_PATIENCE * route.target_latency_s,
            GAP_PATIENCE * route.target_gap_s,
        )
        self._began.exchange.set_read_timeout(min(patience_s, remaining_s))

    def _resume(self, failure: BackendFailed) -> None:
        log_event(
            Event.STREAM_RESUMED,
            id=self._routed.request.id,
            backend=self._began.target.backend.id,
            last_event=self._last_event,
            cause=str(failure),
            disconnected=failure.disconnected,
            parts=self._routed.request.prompt_parts,
        )
        self._record_failure(failure)
        self._end_exchange()
        self._numbering.start_next()
        match self._start(RESUME_WAIT_S):
            case Error(refusal):
                raise BackendFailed(refusal.message, sent=True) from failure

    def _record_failure(self, failure: BackendFailed) -> None:
        target = self._began.target
        target.record_failure()
        if failure.disconnected:
            self._observation.record_disconnected(target.backend)

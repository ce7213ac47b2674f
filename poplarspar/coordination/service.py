"""Routes requests to backend servers, independent of the front end."""

import hashlib
import time
import uuid
from dataclasses import dataclass, replace

from poplarspar.coordination.admission import Admission, Broken, Completed, Slot, Unused
from poplarspar.coordination.capacity import Capacity
from poplarspar.coordination.fairness import Demand
from poplarspar.coordination.freshness import CLOCK_MARGIN_S, LOAN_MAX_AGE_S
from poplarspar.coordination.idempotency import Claim, RequestRecords
from poplarspar.coordination.ports import Answer, Backends, ServiceCall
from poplarspar.coordination.streams import MIN_ATTEMPT_S, Prompt, TokenStream
from poplarspar.coordination.timers import TimerService
from poplarspar.exceptions import BackendFailed
from poplarspar.state.metrics import Metrics
from poplarspar.state.objects import ModelDeployment, Route, ServiceDeployment
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok, Result

CHARACTERS_PER_TOKEN = 4
SERVICE_CALL_TOKENS = 1


@dataclass(frozen=True)
class Target:
    """A route that a workspace may use, as the view defines it."""

    workspace: str
    route: Route


class RequestService:
    """Routes and runs requests.

    Parameters
    ----------
    admission : Admission
        Provides the view that defines the routes.
    records : RequestRecords
        Records of requests that must run at most once.
    queue_timeout_s : float
        Longest time that a request waits for a backend server, in seconds.
    """

    def __init__(
        self,
        admission: Admission,
        capacity: Capacity,
        records: RequestRecords,
        backends: Backends,
        timers: TimerService,
        metrics: Metrics,
        queue_timeout_s: float,
    ) -> None:
        self._admission = admission
        self._capacity = capacity
        self._records = records
        self._backends = backends
        self._timers = timers
        self._metrics = metrics
        self._queue_timeout_s = queue_timeout_s

    def find(self, workspace: str, route: str) -> Result[Target, Refusal]:
        """Look up a route and check that the workspace may use it."""
        objects = self._admission.view.objects
        found = objects.routes_by_name.get(route)
        if found is None or workspace not in found.workspaces:
            message = f"workspace {workspace!r} has no route {route!r}"
            return Error(Refusal(Reason.NOT_FOUND, message))
        return Ok(Target(workspace, found))

    def is_model(self, target: Target) -> bool:
        """Return whether the target is a model rather than a plain service."""
        return isinstance(self._deployment(target), ModelDeployment)

    def open_stream(
        self, target: Target, prompt: Prompt
    ) -> Result[TokenStream, Refusal]:
        """Start a streamed answer; the returned stream must be closed."""
        tokens = len(prompt.text) // CHARACTERS_PER_TOKEN + prompt.max_tokens
        match self._check_size(target, tokens):
            case Error() as refused:
                return refused
        stream = TokenStream(
            prompt,
            self._demand(target, tokens),
            target.route.timeout_s,
            self._capacity,
            self._backends,
            self._timers,
            self._metrics,
        )
        match stream.open():
            case Error(refusal):
                stream.close()
                return Error(refusal)
        return Ok(stream)

    def call(self, target: Target, body: bytes, key: str) -> Result[Answer, Refusal]:
        """Send one call to a plain service.

        Parameters
        ----------
        key : str
            The caller's idempotency key, empty if the request has none.
        """
        if target.route.repeatable:
            return self._send_with_retries(target, body, key)
        if not key:
            message = "this route needs the header Idempotency-Key"
            return Error(Refusal(Reason.INVALID, message))
        return self._call_at_most_once(target, body, key)

    def _deployment(self, target: Target) -> ModelDeployment | ServiceDeployment:
        objects = self._admission.view.objects
        return objects.deployments_by_name[target.route.deployment]

    def _check_size(self, target: Target, tokens: int) -> Result[None, Refusal]:
        bound = self._deployment(target).cold.tokens
        if tokens <= bound:
            return Ok(None)
        message = f"the request needs {tokens} tokens; the bound is {bound}"
        return Error(Refusal(Reason.INVALID, message))

    def _demand(self, target: Target, tokens: int) -> Demand:
        workspace = self._admission.view.objects.workspaces_by_name[target.workspace]
        return Demand(
            workspace=workspace.name,
            weight=workspace.weight,
            queue_limit=workspace.queue_limit,
            deployment=target.route.deployment,
            tokens=tokens,
            patience_s=min(self._queue_timeout_s, target.route.timeout_s),
            hold_s=target.route.timeout_s + LOAN_MAX_AGE_S + CLOCK_MARGIN_S,
        )

    def _call_at_most_once(
        self, target: Target, body: bytes, key: str
    ) -> Result[Answer, Refusal]:
        # The entry creates the record before it sends the request. From then on
        # no other attempt can send it, so a refusal that says "not run" stays true.
        fingerprint = hashlib.sha256(body).hexdigest()
        match self._records.claim(record_key(target, key), fingerprint):
            case Ok(Claim() as claim):
                result = self._send_with_retries(target, body, key)
                self._record_outcome(claim, result)
                return result
            case answered:
                return answered

    def _record_outcome(self, claim: Claim, result: Result[Answer, Refusal]) -> None:
        match result:
            case Ok(answer):
                self._records.finish(claim, answer)
            case Error(Refusal(ran=Ran.NO)):
                self._records.cancel(claim)

    def _send_with_retries(
        self, target: Target, body: bytes, key: str
    ) -> Result[Answer, Refusal]:
        """Send a call and retry it after a failure if it is safe to repeat."""
        deadline = time.monotonic() + target.route.timeout_s
        demand = self._demand(target, SERVICE_CALL_TOKENS)
        ran = Ran.NO
        while (left_s := deadline - time.monotonic()) > MIN_ATTEMPT_S:
            match self._capacity.acquire(demand.within(left_s)):
                case Error(refusal):
                    return Error(replace(refusal, ran=ran))
                case Ok(slot):
                    pass
            try:
                return Ok(self._send(target, slot, body, key, deadline))
            except BackendFailed as failure:
                self._metrics.count("calls_failed")
                ran = Ran.UNKNOWN if failure.sent else ran
            if ran is Ran.UNKNOWN and not target.route.repeatable:
                message = "the request was sent, but the backend server did not answer"
                return Error(Refusal(Reason.BACKEND, message, ran))
        return Error(Refusal(Reason.TIMEOUT, "no answer in time", ran))

    def _send(
        self, target: Target, slot: Slot, body: bytes, key: str, deadline: float
    ) -> Answer:
        """Send a call on a slot, then release the slot."""
        if not self._capacity.may_send(slot):
            self._capacity.release(slot, Unused())
            raise BackendFailed("the backend server was withdrawn", sent=False)
        left_s = deadline - time.monotonic()
        call = ServiceCall(uuid.uuid4().hex, target.route.name, body, key, left_s)
        try:
            answer = self._backends.call(slot.address, call)
        except BackendFailed:
            self._capacity.release(slot, Broken())
            raise
        self._capacity.release(slot, Completed(answer.incarnation))
        return answer


def record_key(target: Target, key: str) -> str:
    """Return the store key of an idempotency key's record."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"requests/{target.workspace}/{target.route.name}/{digest}"

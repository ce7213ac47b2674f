"""What must hold in a soak, checked from what callers and workers saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from soak.callers import (
    EVENTS_PER_STREAM,
    KINDS,
    MODEL_BY_KIND,
    NOT_EXECUTED_STATUSES,
    SentRequest,
)
from soak.environment import Change, Environment
from soak.faults import Disturbance, PlannedStop
from soak.nodes import GRACE_S, Node
from soak.probes import Probe
from standins.engines import event_text
from standins.platform import Run

# Of a machine that was disturbed, nothing with a time bound is asked for so long.
SETTLE_S = 3.0
DRAIN_BOUND_S = 2.0
EVACUATE_BOUND_S = 5.0
APPLY_BOUND_S = 2.0
# Tasks of one node may act on a version one after the other within this time.
ROLLBACK_TOLERANCE_S = 0.25
# Later than the route's time-out by this much, an answer is late.
LATE_TOLERANCE_S = 0.7
# Requests that were sent so long after SIGTERM may be cut at its end.
STOP_ACCEPT_S = 3.0
MIN_SERVED_SHARE = 0.25


@dataclass
class Observations:
    """All that was seen in one soak."""

    requests: list[SentRequest]
    probes: list[Probe]
    environment: Environment
    nodes: list[Node]
    disturbances: list[Disturbance]
    stops: list[PlannedStop]
    recovery_deadline: float

    def is_undisturbed(self, node: Node, begin: float, end: float) -> bool:
        """Return whether nothing unplanned happened to a node around some time."""
        return not any(
            disturbance.affects(node.name)
            and disturbance.begin < end
            and disturbance.end > begin - SETTLE_S
            for disturbance in self.disturbances
        )


def find_breaches(observations: Observations) -> list[str]:
    """Return a line for each promise that was not kept."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in observations.environment.runs:
        runs_by_attempt[run.attempt_id].append(run)
    lines = list(observations.environment.pool.breaches)
    for node in observations.nodes:
        lines += node.problems
    for request in observations.requests:
        runs = runs_by_attempt[request.attempt_id]
        lines += [
            f"{request.attempt_id} at {request.node.name}: {problem}"
            for problem in (
                *_runs_problems(request, runs),
                *_answer_problems(request, runs),
                *_time_problems(observations, request),
            )
        ]
    lines += _withdrawn_problems(observations)
    lines += _version_problems(observations)
    lines += _stop_problems(observations, runs_by_attempt)
    lines += _recovery_problems(observations)
    return lines


def _runs_problems(request: SentRequest, runs: list[Run]) -> list[str]:
    """Check that what ran is what the caller sent, and as often as it may."""
    problems = []
    if request.kind == "pay" and len(runs) > 1:
        problems.append(f"ran {len(runs)} times")
    if request.kind == "pay" and runs and request.status in NOT_EXECUTED_STATUSES:
        problems.append(f"has run and was answered {request.status}")
    method = "GET" if request.kind == "look" else "POST"
    for run in runs:
        if (run.method, run.target, run.body) != (method, request.target, request.body):
            problems.append(f"ran as {run.method} {run.target} {run.body!r}")
        if run.workspace != request.workspace or run.has_api_key:
            problems.append(
                f"ran for {run.workspace}, key passed on: {run.has_api_key}"
            )
        if (run.worker[0] == "p") != (request.kind not in MODEL_BY_KIND):
            problems.append(f"ran at {run.worker}, which is of another service")
    return problems


def _answer_problems(request: SentRequest, runs: list[Run]) -> list[str]:
    """Check that a success is whole, and the caller's own."""
    expected = [
        event_text(request.attempt_id, number + 1)
        for number in range(EVENTS_PER_STREAM)
    ]
    if request.events != expected[: len(request.events)]:
        return ["events are missing, twice or of another request"]
    if request.status != 200 or not request.complete:
        return []
    if request.kind in MODEL_BY_KIND:
        has_all_events = len(request.events) == EVENTS_PER_STREAM
        return (
            [] if has_all_events else [f"ended as complete after {len(request.events)}"]
        )
    if request.content not in {b"ran at " + run.worker.encode() for run in runs}:
        return [f"has the answer {request.content!r}"]
    return []


def _time_problems(observations: Observations, request: SentRequest) -> list[str]:
    """Check that the answer, or an end, came in time."""
    lasted_s = request.ended_at - request.sent_at
    late = lasted_s > request.timeout_s + LATE_TOLERANCE_S
    disturbances = [
        span for span in observations.disturbances if span.node == request.node.name
    ]
    disturbed = any(
        s.begin < request.ended_at and s.end > request.sent_at for s in disturbances
    )
    if late and not disturbed and not request.node.killed_at:
        return [f"had no final answer after {lasted_s:.2f} s"]
    if request.complete and request.status in (400, 401, 404, 413, 431):
        return [f"was answered {request.status} though it is allowed"]
    return []


def _withdrawn_problems(observations: Observations) -> list[str]:
    """Check that workers that leave and zones that are out get nothing more."""
    request_by_attempt_id = {
        request.attempt_id: request for request in observations.requests
    }
    lines = []
    for begin, end, worker_ids, withdrawn in _withdrawals(observations.environment):
        for run in observations.environment.runs:
            sent = request_by_attempt_id.get(run.attempt_id)
            if (
                sent is None
                or run.worker not in worker_ids
                or not begin < run.started_at < end
            ):
                continue
            if sent.sent_at > begin and observations.is_undisturbed(
                sent.node, begin, run.started_at
            ):
                late_s = run.started_at - begin
                lines.append(
                    f"{run.attempt_id} ran {late_s:.2f} s too late at {withdrawn}"
                )
    return lines


def _withdrawals(
    environment: Environment,
) -> Iterator[tuple[float, float, set[str], str]]:
    """Yield from when to when nothing may run at which workers."""
    for index, change in enumerate(environment.changes):
        later = environment.changes[index + 1 :]
        if change.leaving and change.leaving[0] != "-":
            restored_at = _first_at(later, f"-{change.leaving}")
            yield (
                change.at + DRAIN_BOUND_S,
                restored_at,
                {change.leaving},
                change.leaving,
            )
        if change.zone and not change.zone.startswith("-"):
            worker_ids = {
                id
                for id, worker in environment.worker_by_id.items()
                if worker.zone == change.zone
            }
            restored_at = _first_at(later, f"-{change.zone}")
            yield change.at + EVACUATE_BOUND_S, restored_at, worker_ids, change.zone


def _first_at(changes: list[Change], name: str) -> float:
    times = (c.at for c in changes if name in (c.zone, c.leaving))
    return next(times, float("inf"))


def _version_problems(observations: Observations) -> list[str]:
    """Check that each version is in force in time, and never an older one again."""
    at_by_version = {
        c.version: c.at for c in observations.environment.changes if c.version
    }
    newest_by_process: dict[tuple[str, float], Probe] = {}
    lines = []
    for probe in observations.probes:
        newest = newest_by_process.setdefault(
            (probe.node.name, probe.process_started_at), probe
        )
        if probe.route_exists and probe.version > newest.version:
            newest_by_process[(probe.node.name, probe.process_started_at)] = probe
        went_back = (
            probe.route_exists
            and newest.route_exists
            and probe.version < newest.version
        )
        if went_back and probe.sent_at > newest.sent_at + ROLLBACK_TOLERANCE_S:
            lines.append(f"{probe.node.name} went back from version {newest.version}")
        # A version's own route is there from its acknowledgement to the next one's.
        changed_at = at_by_version.get(probe.version + probe.route_exists)
        if changed_at is None or probe.sent_at < changed_at + APPLY_BOUND_S:
            continue
        replaced_at = at_by_version.get(probe.version + 1, float("inf"))
        if not probe.route_exists and probe.sent_at > replaced_at:
            continue
        if observations.is_undisturbed(probe.node, changed_at, probe.sent_at):
            lines.append(f"{probe.node.name} was late with version {probe.version}")
    return lines


def _stop_problems(observations: Observations, runs_by_attempt: dict) -> list[str]:
    """Check that a planned stop cut off nothing that ran."""
    lines = []
    for stop in observations.stops:
        if not observations.is_undisturbed(stop.node, stop.begin, stop.end):
            continue
        for request in observations.requests:
            accepted_by_stop = (
                request.node is stop.node
                and request.sent_at < stop.begin + STOP_ACCEPT_S
            )
            ended_in_stop = stop.begin < request.ended_at <= stop.end + 1.0
            if (
                accepted_by_stop
                and ended_in_stop
                and not request.complete
                and runs_by_attempt[request.attempt_id]
            ):
                lines.append(
                    f"{request.attempt_id} was cut by the stop of {stop.node.name}"
                )
        if stop.end - stop.begin > GRACE_S:
            lines.append(f"{stop.node.name} took longer than {GRACE_S} s to stop")
    return lines


def _recovery_problems(observations: Observations) -> list[str]:
    """Check that each kind of request is served again after the faults."""
    served: Counter[str] = Counter()
    requested: Counter[str] = Counter()
    for request in observations.requests:
        if request.sent_at > observations.recovery_deadline:
            requested[request.kind] += 1
            served[request.kind] += request.status == 200 and request.complete
    return [
        f"{kind}: {served[kind]} of {requested[kind]} served after the faults"
        for kind in KINDS
        if served[kind] < max(1.0, MIN_SERVED_SHARE * requested[kind])
    ]


def summary(observations: Observations) -> str:
    """Return what became of the requests, in one line."""
    outcomes = Counter(
        f"{request.kind} {request.status if request.complete else 'cut'}"
        for request in observations.requests
    )
    text = ", ".join(f"{name}: {count}" for name, count in sorted(outcomes.items()))
    return f"{len(observations.requests)} requests; {text}"

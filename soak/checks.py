"""Checks of the system's guarantees on the records of callers and backend servers."""

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
from soak.environment import Change, Environment, Harm
from soak.faults import Disturbance, PlannedStop
from soak.nodes import GRACE_S, Node
from soak.probes import Probe
from soak.versions import allows
from standins.engines import event_text
from standins.platform import Run

# The checks with a time bound excuse a node for this long after a disturbance.
SETTLE_S = 3.0
DRAIN_BOUND_S = 2.0
EVACUATE_BOUND_S = 5.0
APPLY_BOUND_S = 2.0
# Tasks of one node may switch to a new version at times this far apart.
ROLLBACK_TOLERANCE_S = 0.25
# An answer is late if it ends this long after the route's time-out.
LATE_TOLERANCE_S = 0.7
# A stopping node may cut requests that callers send later than this after SIGTERM.
STOP_ACCEPT_S = 3.0
MIN_SERVED_SHARE = 0.25
# So many requests with a harmful part may reach backend servers later than SETTLE_S
# after its fifth crash.
CRASHES_BEFORE_BOUND = 5
# Likewise for a harmful request, from its third crash on.
REQUEST_CRASHES_BEFORE_BOUND = 3
LATE_HARMFUL_REQUESTS = 3
# From the time at which a node sends a request to that at which it begins to run.
SENDING_S = 0.5
LIMIT_WINDOW_S = 4.0
# So many requests of a node may arrive later than this in a pause.
PAUSE_NOTICE_S = 0.5
PAUSE_REQUESTS = 2
# A node knows a limit this long after its request began to run.
TOLD_S = 0.6


@dataclass
class Observations:
    """Everything that one soak recorded.

    Attributes
    ----------
    recovery_deadline : float
        Monotonic time from which the nodes must serve every kind of request.
    """

    requests: list[SentRequest]
    probes: list[Probe]
    environment: Environment
    nodes: list[Node]
    disturbances: list[Disturbance]
    stops: list[PlannedStop]
    recovery_deadline: float

    def is_undisturbed(self, node: Node, begin: float, end: float) -> bool:
        """Return whether no unplanned fault affected a node in a period.

        The period is extended by SETTLE_S before `begin`.
        """
        return not any(
            disturbance.affects(node.name)
            and disturbance.begin < end
            and disturbance.end > begin - SETTLE_S
            for disturbance in self.disturbances
        )

    def undisturbed_requests(self) -> list[SentRequest]:
        """Return the requests during which no unplanned fault affected their node."""
        return [
            request
            for request in self.requests
            if self.is_undisturbed(request.node, request.sent_at, request.ended_at)
        ]


def find_breaches(observations: Observations) -> list[str]:
    """Return a line for each guarantee that the system broke."""
    runs_by_attempt_id: dict[str, list[Run]] = defaultdict(list)
    for run in observations.environment.runs:
        runs_by_attempt_id[run.attempt_id].append(run)
    lines = list(observations.environment.pool.breaches)
    for node in observations.nodes:
        lines += node.problems
    for request in observations.requests:
        runs = runs_by_attempt_id[request.attempt_id]
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
    lines += _stop_problems(observations, runs_by_attempt_id)
    lines += _recovery_problems(observations)
    lines += _quarantine_problems(observations)
    lines += _limit_problems(observations)
    lines += _pause_problems(observations)
    return lines


def _runs_problems(request: SentRequest, runs: list[Run]) -> list[str]:
    """Check that backend servers ran the caller's request unchanged and not too often.

    Only a request of the non-idempotent route `pay` is limited to one run.
    """
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
            problems.append(f"ran at {run.worker}, which belongs to another service")
    return problems


def _answer_problems(request: SentRequest, runs: list[Run]) -> list[str]:
    """Check that a successful answer is complete and belongs to the request."""
    expected = [
        event_text(request.attempt_id, number + 1)
        for number in range(EVENTS_PER_STREAM)
    ]
    if request.events != expected[: len(request.events)]:
        return ["events are missing, repeated or from another request"]
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
    """Check that the caller got an answer, or the connection ended, in time."""
    lasted_s = request.ended_at - request.sent_at
    late = lasted_s > request.timeout_s + LATE_TOLERANCE_S
    disturbances = [
        disturbance
        for disturbance in observations.disturbances
        if disturbance.node == request.node.name
    ]
    disturbed = any(
        d.begin < request.ended_at and d.end > request.sent_at for d in disturbances
    )
    if late and not disturbed and not request.node.killed_at:
        return [f"had no final answer after {lasted_s:.2f} s"]
    if request.complete and request.status in (400, 401, 404, 413, 431):
        return [f"was answered {request.status} though the request is valid"]
    return []


def _withdrawn_problems(observations: Observations) -> list[str]:
    """Check that draining backend servers and evacuated zones run no new requests."""
    request_by_attempt_id = {
        request.attempt_id: request for request in observations.requests
    }
    lines = []
    for begin, end, worker_ids, withdrawn in _withdrawals(observations.environment):
        for run in observations.environment.runs:
            request = request_by_attempt_id.get(run.attempt_id)
            if (
                request is None
                or run.worker not in worker_ids
                or not begin < run.started_at < end
            ):
                continue
            if request.sent_at > begin and observations.is_undisturbed(
                request.node, begin, run.started_at
            ):
                late_s = run.started_at - begin
                lines.append(
                    f"{run.attempt_id} ran {late_s:.2f} s too late at {withdrawn}"
                )
    return lines


def _withdrawals(
    environment: Environment,
) -> Iterator[tuple[float, float, set[str], str]]:
    """Yield periods in which backend servers may not start a request.

    Yields
    ------
    begin, end : float
        Monotonic times; `end` is infinite if nothing ended the withdrawal.
    worker_ids : set of str
        Backend servers concerned.
    name : str
        Backend server or zone that was withdrawn.
    """
    for index, change in enumerate(environment.changes):
        later = environment.changes[index + 1 :]
        if change.leaving and change.leaving[0] != "-":
            restored_at = _first_time_of(later, f"-{change.leaving}")
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
            restored_at = _first_time_of(later, f"-{change.zone}")
            yield change.at + EVACUATE_BOUND_S, restored_at, worker_ids, change.zone


def _first_time_of(changes: list[Change], name: str) -> float:
    times = (c.at for c in changes if name in (c.zone, c.leaving))
    return next(times, float("inf"))


def _version_problems(observations: Observations) -> list[str]:
    """Check that each version takes effect in time and no node rolls back.

    A probe is late if only versions older than the one that must be in force allow its
    outcome; a node rolls back if only versions older than one that it has shown do.
    """
    published = [
        (c.version, c.at) for c in observations.environment.changes if c.version
    ]
    lines = []
    shown_by_process: dict[tuple[str, float], list[tuple[float, int]]] = {}
    for probe in sorted(observations.probes, key=lambda probe: probe.sent_at):
        known = [number for number, at in published if at <= probe.answered_at]
        allowed = [number for number in known if allows(number, probe.outcome)]
        if not allowed:
            lines.append(f"{probe.node.name}: no version allows {probe.outcome}")
            continue
        process = (probe.node.name, probe.process_started_at)
        shown = shown_by_process.setdefault(process, [])
        newest_shown = max(
            (number for at, number in shown if probe.sent_at > at), default=0
        )
        if max(allowed) < newest_shown:
            lines.append(f"{probe.node.name} rolled back from version {newest_shown}")
        shown.append((probe.answered_at + ROLLBACK_TOLERANCE_S, min(allowed)))
        due = [n for n, at in published if at + APPLY_BOUND_S < probe.sent_at]
        is_late = bool(due) and max(allowed) < max(due)
        if is_late and observations.is_undisturbed(
            probe.node, probe.sent_at, probe.sent_at
        ):
            late_s = probe.sent_at - dict(published)[max(due)]
            lines.append(
                f"{probe.node.name} was late with version {max(due)} after "
                f"{late_s:.2f} s: {probe.outcome}"
            )
    return lines


def _stop_problems(observations: Observations, runs_by_attempt_id: dict) -> list[str]:
    """Check that a planned stop is in time and cuts no request that has run."""
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
                and runs_by_attempt_id[request.attempt_id]
                and not _has_crashed(
                    observations, request, runs_by_attempt_id[request.attempt_id]
                )
            ):
                lines.append(
                    f"{request.attempt_id} was cut by the stop of {stop.node.name}"
                )
        if stop.end - stop.begin > GRACE_S:
            lines.append(f"{stop.node.name} took longer than {GRACE_S} s to stop")
    return lines


def _has_crashed(
    observations: Observations, request: SentRequest, runs: list[Run]
) -> bool:
    """Return whether a backend server crashed while it ran the request."""
    return any(
        run.worker == backend and run.started_at <= at <= request.ended_at
        for harm in observations.environment.harms
        for backend, at in harm.crashes
        for run in runs
    )


def _recovery_problems(observations: Observations) -> list[str]:
    """Check that the nodes serve each kind of request again after the faults."""
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


def _quarantine_problems(observations: Observations) -> list[str]:
    """Check that harmful parts, and only these, stop reaching backend servers."""
    request_by_attempt_id = {r.attempt_id: r for r in observations.requests}
    harms = observations.environment.harms
    harmful = {harm.part for harm in harms}
    harmful_targets = {harm.target for harm in harms if harm.target}
    lines = [
        f"{request.attempt_id} is sound and was refused as quarantined"
        for request in observations.requests
        if b"quarantined" in request.content
        and harmful.isdisjoint(request.parts)
        and request.target not in harmful_targets
    ]
    for harm in observations.environment.harms:
        allowed = REQUEST_CRASHES_BEFORE_BOUND if harm.target else CRASHES_BEFORE_BOUND
        if len(harm.crashes) < allowed:
            continue
        crashed_at = sorted(at for _, at in harm.crashes)
        bound = crashed_at[allowed - 1] + SETTLE_S
        late = [
            run
            for run in observations.environment.runs
            if run.started_at > bound + SENDING_S
            and run.attempt_id in request_by_attempt_id
            and _is_harmful(harm, request_by_attempt_id[run.attempt_id])
            and observations.is_undisturbed(
                request_by_attempt_id[run.attempt_id].node, bound, run.started_at
            )
        ]
        if len(late) > LATE_HARMFUL_REQUESTS:
            name = harm.part or harm.target
            lines.append(f"{name} reached backend servers {len(late)} times more")
    return lines


def _is_harmful(harm: Harm, request: SentRequest) -> bool:
    if harm.target:
        return request.target == harm.target
    return harm.part in request.parts


def _limit_problems(observations: Observations) -> list[str]:
    """Check that nodes together keep to each limit that a backend server named."""
    node_by_attempt_id = {r.attempt_id: r.node for r in observations.requests}
    lines = []
    for limit in observations.environment.limits:
        told_at: dict[str, float] = {}
        times = []
        for run in sorted(observations.environment.runs, key=lambda r: r.started_at):
            node = node_by_attempt_id.get(run.attempt_id)
            if node is None or run.worker != limit.backend:
                continue
            if not limit.begin < run.started_at < limit.end:
                continue
            told = told_at.setdefault(node.name, run.started_at) + TOLD_S
            if run.started_at > max(told, limit.begin + SETTLE_S) and (
                _has_run_since(observations, node, limit.begin, run.started_at)
            ):
                times.append(run.started_at)
        allowed = 1.5 * LIMIT_WINDOW_S * limit.requests_per_s + 5
        most = max(
            (sum(at <= t < at + LIMIT_WINDOW_S for t in times) for at in times),
            default=0,
        )
        if most > allowed:
            lines.append(f"{limit.backend} got {most} requests, {allowed:.0f} allowed")
    return lines


def _pause_problems(observations: Observations) -> list[str]:
    """Check that nodes leave backend servers alone for as long as these ask for."""
    node_by_attempt_id = {r.attempt_id: r.node for r in observations.requests}
    lines = []
    for id, worker in observations.environment.worker_by_id.items():
        arrivals = [
            (node_by_attempt_id[attempt_id], at, pause_s)
            for attempt_id, at, pause_s in worker.arrivals
            if attempt_id in node_by_attempt_id
        ]
        for node, refused_at, pause_s in arrivals:
            begin, end = refused_at + PAUSE_NOTICE_S, refused_at + pause_s
            count = sum(other is node and begin < at < end for other, at, _ in arrivals)
            if count > PAUSE_REQUESTS and _has_run_since(
                observations, node, refused_at, end
            ):
                lines.append(f"{node.name} sent {id} {count} requests in its pause")
    return lines


def _has_run_since(
    observations: Observations, node: Node, begin: float, end: float
) -> bool:
    """Return whether a node has run without a fault or restart since `begin`."""
    return observations.is_undisturbed(node, begin + SETTLE_S, end) and not any(
        stop.node is node and stop.begin < end and stop.end > begin
        for stop in observations.stops
    )


def summary(observations: Observations) -> str:
    """Return the number of requests of each kind and outcome, in one line."""
    outcomes = Counter(
        f"{request.kind} {request.status if request.complete else 'cut'}"
        for request in observations.requests
    )
    text = ", ".join(f"{name}: {count}" for name, count in sorted(outcomes.items()))
    return f"{len(observations.requests)} requests; {text}"

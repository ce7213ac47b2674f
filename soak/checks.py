"""What must hold in a soak, checked from what callers and workers saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from soak.callers import EVENTS, KINDS, MODEL_BY_KIND, NOT_RUN, Sent
from soak.environment import Change, Surroundings
from soak.faults import Span, Stop
from soak.nodes import GRACE_S, Node
from soak.probes import Probe
from standins.engines import event_text
from standins.platform import Run

# Of a machine that was disturbed, nothing with a time bound is asked for so long.
CALM_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
APPLY_S = 2.0
# Tasks of one node may act on a version one after the other within this time.
ROLLBACK_S = 0.25
# Later than the route's time-out by this much, an answer is late.
LATE_S = 0.7
# Requests that were sent so long after SIGTERM may be cut at its end.
STOP_LATE_S = 3.0
LEAST_SERVED = 0.25


@dataclass
class Evidence:
    """All that was seen in one soak."""

    sent: list[Sent]
    probes: list[Probe]
    outside: Surroundings
    nodes: list[Node]
    spans: list[Span]
    stops: list[Stop]
    recovered_by: float

    def is_calm(self, node: Node, begin: float, end: float) -> bool:
        """Return whether nothing unplanned happened to a node around some time."""
        return not any(
            span.concerns(node.name) and span.begin < end and span.end > begin - CALM_S
            for span in self.spans
        )


def breaches(seen: Evidence) -> list[str]:
    """Return a line for each promise that was not kept."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in seen.outside.runs:
        runs_by_attempt[run.attempt].append(run)
    lines = list(seen.outside.pool.breaches)
    for node in seen.nodes:
        lines += node.problems
    for sent in seen.sent:
        runs = runs_by_attempt[sent.attempt]
        lines += [
            f"{sent.attempt} at {sent.node.name}: {problem}"
            for problem in (
                *_runs_problems(sent, runs),
                *_answer_problems(sent, runs),
                *_time_problems(seen, sent),
            )
        ]
    lines += _withdrawn_problems(seen)
    lines += _version_problems(seen)
    lines += _stop_problems(seen, runs_by_attempt)
    lines += _recovery_problems(seen)
    return lines


def _runs_problems(sent: Sent, runs: list[Run]) -> list[str]:
    """Check that what ran is what the caller sent, and as often as it may."""
    found = []
    if sent.kind == "pay" and len(runs) > 1:
        found.append(f"ran {len(runs)} times")
    if sent.kind == "pay" and runs and sent.status in NOT_RUN:
        found.append(f"has run and was answered {sent.status}")
    method = "GET" if sent.kind == "look" else "POST"
    for run in runs:
        if (run.method, run.target, run.body) != (method, sent.target, sent.body):
            found.append(f"ran as {run.method} {run.target} {run.body!r}")
        if run.workspace != sent.workspace or run.has_key:
            found.append(f"ran for {run.workspace}, key passed on: {run.has_key}")
        if (run.worker[0] == "p") != (sent.kind not in MODEL_BY_KIND):
            found.append(f"ran at {run.worker}, which is of another service")
    return found


def _answer_problems(sent: Sent, runs: list[Run]) -> list[str]:
    """Check that a success is whole, and the caller's own."""
    expected = [event_text(sent.attempt, number + 1) for number in range(EVENTS)]
    if sent.events != expected[: len(sent.events)]:
        return ["events are missing, twice or of another request"]
    if sent.status != 200 or not sent.whole:
        return []
    if sent.kind in MODEL_BY_KIND:
        complete = len(sent.events) == EVENTS
        return [] if complete else [f"ended as complete after {len(sent.events)}"]
    if sent.content not in {b"ran at " + run.worker.encode() for run in runs}:
        return [f"has the answer {sent.content!r}"]
    return []


def _time_problems(seen: Evidence, sent: Sent) -> list[str]:
    """Check that the answer, or an end, came in time."""
    lasted_s = sent.ended_at - sent.sent_at
    late = lasted_s > sent.timeout_s + LATE_S
    own = [span for span in seen.spans if span.node == sent.node.name]
    disturbed = any(s.begin < sent.ended_at and s.end > sent.sent_at for s in own)
    if late and not disturbed and not sent.node.cuts_at:
        return [f"had no final answer after {lasted_s:.2f} s"]
    if sent.whole and sent.status in (400, 401, 404, 413, 431):
        return [f"was answered {sent.status} though it is allowed"]
    return []


def _withdrawn_problems(seen: Evidence) -> list[str]:
    """Check that workers that leave and zones that are out get nothing more."""
    node_by_attempt = {sent.attempt: sent for sent in seen.sent}
    lines = []
    for begin, end, members, what in _withdrawals(seen.outside):
        for run in seen.outside.runs:
            sent = node_by_attempt.get(run.attempt)
            if sent is None or run.worker not in members or not begin < run.at < end:
                continue
            if sent.sent_at > begin and seen.is_calm(sent.node, begin, run.at):
                late_s = run.at - begin
                lines.append(f"{run.attempt} ran {late_s:.2f} s too late at {what}")
    return lines


def _withdrawals(
    outside: Surroundings,
) -> Iterator[tuple[float, float, set[str], str]]:
    """Yield from when to when nothing may run at which workers."""
    for index, change in enumerate(outside.changes):
        later = outside.changes[index + 1 :]
        if change.leaving and change.leaving[0] != "-":
            back = _first_at(later, f"-{change.leaving}")
            yield change.at + DRAIN_S, back, {change.leaving}, change.leaving
        if change.zone and not change.zone.startswith("-"):
            members = {
                id
                for id, member in outside.member_by_id.items()
                if member.zone == change.zone
            }
            back = _first_at(later, f"-{change.zone}")
            yield change.at + EVACUATE_S, back, members, change.zone


def _first_at(changes: list[Change], name: str) -> float:
    found = (c.at for c in changes if name in (c.zone, c.leaving))
    return next(found, float("inf"))


def _version_problems(seen: Evidence) -> list[str]:
    """Check that each version is in force in time, and never an older one again."""
    at_by_version = {c.version: c.at for c in seen.outside.changes if c.version}
    newest_by_life: dict[tuple[str, float], Probe] = {}
    lines = []
    for probe in seen.probes:
        newest = newest_by_life.setdefault((probe.node.name, probe.life), probe)
        if probe.known and probe.version > newest.version:
            newest_by_life[(probe.node.name, probe.life)] = probe
        older = probe.known and newest.known and probe.version < newest.version
        if older and probe.sent_at > newest.sent_at + ROLLBACK_S:
            lines.append(f"{probe.node.name} went back from version {newest.version}")
        # A version's own route is there from its acknowledgement to the next one's.
        changed_at = at_by_version.get(probe.version + probe.known)
        if changed_at is None or probe.sent_at < changed_at + APPLY_S:
            continue
        replaced_at = at_by_version.get(probe.version + 1, float("inf"))
        if not probe.known and probe.sent_at > replaced_at:
            continue
        if seen.is_calm(probe.node, changed_at, probe.sent_at):
            lines.append(f"{probe.node.name} was late with version {probe.version}")
    return lines


def _stop_problems(seen: Evidence, runs_by_attempt: dict) -> list[str]:
    """Check that a planned stop cut off nothing that ran."""
    lines = []
    for stop in seen.stops:
        if not seen.is_calm(stop.node, stop.begin, stop.end):
            continue
        for sent in seen.sent:
            touched = sent.node is stop.node and sent.sent_at < stop.begin + STOP_LATE_S
            ended = stop.begin < sent.ended_at <= stop.end + 1.0
            if touched and ended and not sent.whole and runs_by_attempt[sent.attempt]:
                lines.append(f"{sent.attempt} was cut by the stop of {stop.node.name}")
        if stop.end - stop.begin > GRACE_S:
            lines.append(f"{stop.node.name} took longer than {GRACE_S} s to stop")
    return lines


def _recovery_problems(seen: Evidence) -> list[str]:
    """Check that each kind of request is served again after the faults."""
    served: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for sent in seen.sent:
        if sent.sent_at > seen.recovered_by:
            asked[sent.kind] += 1
            served[sent.kind] += sent.status == 200 and sent.whole
    return [
        f"{kind}: {served[kind]} of {asked[kind]} served after the faults"
        for kind in KINDS
        if served[kind] < max(1.0, LEAST_SERVED * asked[kind])
    ]


def summary(seen: Evidence) -> str:
    """Return what became of the requests, in one line."""
    outcomes = Counter(
        f"{sent.kind} {sent.status if sent.whole else 'cut'}" for sent in seen.sent
    )
    text = ", ".join(f"{name}: {count}" for name, count in sorted(outcomes.items()))
    return f"{len(seen.sent)} requests; {text}"

"""Readable lines for what stewards report to operators."""

import json
import time

from poplarspar.protocol.operators import (
    AuditAnswer,
    ChangeAnswer,
    ChangeOutcome,
    InForceAnswer,
)
from poplarspar.state.entries import EntryStatus
from poplarspar.state.status import ClusterStatus, GroupStatus


def status_lines(status: ClusterStatus) -> list[str]:
    """Return a steward's status as lines."""
    fresh = "fresh" if status.fresh else "NOT fresh"
    planner = ", planner" if status.planner else ""
    lines = [f"{status.steward}: revision {status.revision}, {fresh}{planner}"]
    lines += ["", "availability zones"]
    for name, serving in sorted(status.serving_by_zone.items()):
        lines.append(f"  {name}: {'in service' if serving else 'out of service'}")
    lines += ["", "entries"]
    for _, entry in sorted(status.entries_by_name.items()):
        lines.append(_entry_line(entry))
    lines += ["", "backend servers"]
    for name, group in sorted(status.groups_by_name.items()):
        lines.append(_group_line(name, group))
    return lines


def audit_lines(answer: AuditAnswer) -> list[str]:
    """Return the audit trail as lines, the oldest change first."""
    lines = []
    for entry in answer.audit:
        moment = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.at))
        who = f"{moment} UTC  {entry.operator}  {entry.action}"
        lines.append(f"{who}, on revision {entry.base_revision}")
        lines += [f"    {change}" for change in entry.changes]
    return lines


def outcome_lines(answer: ChangeAnswer) -> list[str]:
    """Return lines on the outcome of a change."""
    match answer.outcome:
        case ChangeOutcome.ACCEPTED:
            return [f"accepted at revision {answer.revision}"]
        case ChangeOutcome.CONFLICT:
            first = f"conflict: revision {answer.revision} came first, with"
            return [first, *(f"    {line}" for line in answer.changes)]
        case ChangeOutcome.UNKNOWN:
            return [f"unknown: the store gave no answer (change {answer.change_id})"]
        case ChangeOutcome.UNAVAILABLE:
            return ["not recorded: the store does not answer"]
        case ChangeOutcome.INVALID:
            return answer.problems


def in_force_line(answer: InForceAnswer, elapsed_s: float) -> str:
    """Return one line on where a revision is in force."""
    done = len(answer.in_force_on)
    total = done + len(answer.not_yet_on)
    if done == total:
        return f"in force on {done} of {total} stewards after {elapsed_s:.1f} s"
    missing = ", ".join(answer.not_yet_on)
    return f"recorded, not yet in force on {missing} ({done} of {total})"


def _entry_line(entry: EntryStatus) -> str:
    leaving = ", leaving" if entry.leaving else ""
    return (
        f"  {entry.name}: zone {entry.zone}, revision {entry.revision}, "
        f"{entry.running} running{leaving}"
    )


def _group_line(name: str, group: GroupStatus) -> str:
    state = "serving" if group.accepts_work else "no new work"
    line = f"  {name}: {state}, zone {group.zone}, members {', '.join(group.members)}"
    line += f", owner {group.owner or 'none yet'}"
    if group.draining_from:
        line += f", waiting for requests of {group.draining_from} to end"
    return line


def explain_request(id: str, texts: list[str]) -> list[str]:
    """Return the lines of a request's story, in the order of their times.

    Parameters
    ----------
    texts : list of str
        Logs of several nodes.
    """
    story = []
    for text in texts:
        for line in text.splitlines():
            if f'"{id}"' not in line:
                continue
            try:
                event = json.loads(line[line.index("{") :])
            except ValueError:
                continue
            if event.get("id") == id:
                story.append(event)
    story.sort(key=lambda event: event["time"])
    return [_story_line(event) for event in story]


def _story_line(event: dict) -> str:
    told = ("time", "level", "message", "daemon", "event", "id")
    fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in told)
    head = f"{event['time']} {event['daemon']} {event['event']}"
    return f"{head} {event['message']}: {fields}"

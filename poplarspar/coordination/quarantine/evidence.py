"""Evidence of all nodes, and the parts that it convicts."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.state.quarantine import (
    Evidence,
    UnansweredRequest,
    is_request_part,
)

# Evidence against a part that crashes backend servers once a minute must not expire
# before it is conclusive.
EVIDENCE_TTL_S = 120.0
# Separate moments at which backend servers crashed that convict a part. A sound part
# can be there at one or two crashes by chance.
CONCLUSIVE_MOMENTS = 3
# Backend servers that crashed on repetitions of one request, not all at one moment.
CONCLUSIVE_CRASHES = 3
# From here on a part is suspected: its requests are not retried, and nodes report to
# each other when an answer with it has begun.
SUSPECTED_MOMENTS = 2
# The loss of a zone or rack fails many requests at one moment.
MOMENT_S = 0.3
# Unlike such a loss, a part that several requests bring at one moment crashes the
# backend servers of their retries too, and is there at nearly all crashes.
CRASHES_AT_ONCE = 5
CRASHED_RETRIES_AT_ONCE = 2
SHARE_AT_ONCE = 0.75
# Where more sets of parts are convicted at once, their prompts are not the cause.
MAX_CONVICTED_SETS = 256


class EvidenceTable:
    """Unanswered requests by prompt part, until an answer with the part begins."""

    def __init__(self) -> None:
        self._unanswered_by_part: dict[str, dict[str, UnansweredRequest]] = {}
        self._begun_at_by_part: dict[str, float] = {}
        # Kept until the evidence changes.
        self._suspected: tuple[str, ...] | None = None
        self._convicted: tuple[frozenset[str], ...] | None = None
        self._all_crash_times: dict[str, float] | None = None

    def add(self, request: UnansweredRequest) -> None:
        """Add a request; a request that is known already keeps its time."""
        for part in request.parts:
            if request.ended_at > self.begun_at(part):
                requests = self._unanswered_by_part.setdefault(part, {})
                if request.id not in requests:
                    requests[request.id] = request
                    self._discard_decisions()

    def merge(self, evidence: Evidence) -> None:
        """Add the evidence of another node."""
        for request in evidence.unanswered:
            self.add(request)
        for part, begun_at in evidence.begun_at_by_part.items():
            self.record_begun(part, begun_at)

    def record_begun(self, part: str, begun_at: float) -> None:
        """Drop the evidence against a part from before an answer with it began."""
        if begun_at <= self.begun_at(part):
            return
        self._begun_at_by_part[part] = begun_at
        requests = self._unanswered_by_part.pop(part, {})
        self._discard_decisions()
        newer = {id: r for id, r in requests.items() if r.ended_at > begun_at}
        if newer:
            self._unanswered_by_part[part] = newer

    def moments(self, part: str) -> int:
        """Return at how many separate moments backend servers crashed on a part."""
        requests = self._unanswered_by_part.get(part, {}).values()
        if is_request_part(part):
            return _count_steps(requests)
        return _count_moments(_crash_times(requests).values())

    def suspected(self) -> tuple[str, ...]:
        """Return the parts that may be convicted unless answers with them begin."""
        if self._suspected is None:
            self._suspected = tuple(
                part
                for part, requests in self._unanswered_by_part.items()
                if self.moments(part) >= SUSPECTED_MOMENTS
                or self._is_there_at_once(part, _crash_times(requests.values()))
            )
        return self._suspected

    def is_accused(self, part: str) -> bool:
        """Return whether any evidence counts against a part."""
        return part in self._unanswered_by_part

    def begun_at(self, part: str) -> float:
        """Return when an answer with a part last began, minus infinity for never."""
        return self._begun_at_by_part.get(part, float("-inf"))

    def is_served(self, part: str) -> bool:
        """Return whether any answer with a part has begun lately."""
        return part in self._begun_at_by_part

    def is_cleared(self, part: str) -> bool:
        """Return whether an answer with a part began after all evidence against it."""
        return self.is_served(part) and not self.is_accused(part)

    def pools(self, parts: frozenset[str]) -> set[str]:
        """Return the pools of the requests that count against any of the parts."""
        return {
            request.pool
            for part in parts
            for request in self._unanswered_by_part.get(part, {}).values()
        }

    def describe(self, parts: frozenset[str]) -> list[str]:
        """Return the backend servers that crashed on a set of parts, for the log."""
        requests = self._unanswered_by_part.get(min(parts), {}).values()
        crashed_at = _crash_times(requests)
        return [f"{backend}@{at:.1f}" for backend, at in crashed_at.items()]

    def expire(self, now: float) -> None:
        """Drop evidence that is older than `EVIDENCE_TTL_S`."""
        since = now - EVIDENCE_TTL_S
        self._begun_at_by_part = {
            part: at for part, at in self._begun_at_by_part.items() if at > since
        }
        for part, requests in list(self._unanswered_by_part.items()):
            recent = {id: r for id, r in requests.items() if r.ended_at > since}
            if len(recent) < len(requests):
                self._discard_decisions()
                self._unanswered_by_part[part] = recent
            if not recent:
                del self._unanswered_by_part[part]

    def convicted(self) -> tuple[frozenset[str], ...]:
        """Return the sets of parts that explain the crashes of backend servers.

        A crash fails sound requests at the same backend server too. So a part is
        explained by another one that was there at all crashes of the first. Parts with
        the same requests can't be told apart: they form one set, and prompts with only
        some of them remain admissible.
        """
        if self._convicted is None:
            self._convicted = self._convict()
        return self._convicted

    def _discard_decisions(self) -> None:
        self._suspected = self._convicted = self._all_crash_times = None

    def _convict(self) -> tuple[frozenset[str], ...]:
        new_parts, served_parts = [], []
        for part in self._unanswered_by_part:
            (served_parts if self.is_served(part) else new_parts).append(part)
        # Parts with which no answer has begun explain crashes before parts that have
        # been served lately, and before they are convicted themselves.
        explained = {
            backend
            for part in self.suspected()
            if not self.is_served(part) and self.moments(part) >= SUSPECTED_MOMENTS
            for request in self._unanswered_by_part[part].values()
            for backend in request.backends
        }
        return self._convict_among(new_parts) + self._convict_among(
            served_parts, frozenset(explained)
        )

    def _is_conclusive(self, part: str, crashed_at: dict[str, float]) -> bool:
        """Return whether enough backend servers crashed on a part."""
        if is_request_part(part):
            # A pool of few backend servers is gone before there are more moments.
            crashes = len(crashed_at)
            return (
                crashes >= CONCLUSIVE_CRASHES
                and self.moments(part) >= SUSPECTED_MOMENTS
            )
        if _count_moments(crashed_at.values()) >= CONCLUSIVE_MOMENTS:
            return True
        return not self.is_served(part) and self._is_there_at_once(part, crashed_at)

    def _is_there_at_once(self, part: str, crashed_at: dict[str, float]) -> bool:
        """Return whether a part, and nothing else, explains crashes at one moment."""
        if is_request_part(part) or len(crashed_at) < CRASHES_AT_ONCE:
            return False
        requests = self._unanswered_by_part[part].values()
        if sum(len(r.backends) > 1 for r in requests) < CRASHED_RETRIES_AT_ONCE:
            return False
        if self._all_crash_times is None:
            self._all_crash_times = _crash_times(
                request
                for by_id in self._unanswered_by_part.values()
                for request in by_id.values()
            )
        begin = min(crashed_at.values()) - MOMENT_S
        end = max(crashed_at.values()) + MOMENT_S
        crashes = sum(begin <= at <= end for at in self._all_crash_times.values())
        return len(crashed_at) >= SHARE_AT_ONCE * crashes

    def _convict_among(
        self, parts: list[str], explained: frozenset[str] = frozenset()
    ) -> tuple[frozenset[str], ...]:
        """Return the convicted sets of some parts by the crashes that need them."""
        parts_by_case: dict[_Case, set[str]] = defaultdict(set)
        recurring: set[_Case] = set()
        for part in parts:
            requests = self._unanswered_by_part[part]
            crashed_at = {
                backend: at
                for backend, at in _crash_times(requests.values()).items()
                if backend not in explained
            }
            if self._is_conclusive(part, crashed_at):
                case = _Case(frozenset(crashed_at), frozenset(requests))
                parts_by_case[case].add(part)
                if is_request_part(part) and _count_moments(crashed_at.values()) > 1:
                    # A sound request is not there again after its caller has given up.
                    recurring.add(case)
        if len(parts_by_case) > MAX_CONVICTED_SETS:
            return ()
        return tuple(
            frozenset(parts)
            for case, parts in parts_by_case.items()
            if case in recurring
            or not any(case.is_explained_by(other) for other in parts_by_case)
        )


@dataclass(frozen=True)
class _Case:
    """The evidence against a part: crashed backend servers, and unanswered requests."""

    backends: frozenset[str]
    requests: frozenset[str]

    def is_explained_by(self, other: "_Case") -> bool:
        if self.backends == other.backends:
            # Without a further crash, two parts of different requests explain each
            # other, and neither is convicted.
            return self != other and not other.requests < self.requests
        return self.backends < other.backends


def _crash_times(requests: Iterable[UnansweredRequest]) -> dict[str, float]:
    """Return when each backend server first disconnected from one of the requests.

    Later requests fail at a backend server that is still down.
    """
    crashed_at: dict[str, float] = {}
    for request in sorted(requests, key=lambda request: request.ended_at):
        for backend in request.backends:
            crashed_at.setdefault(backend, request.ended_at)
    return crashed_at


def _count_moments(times: Iterable[float]) -> int:
    moments = 0
    last_at = float("-inf")
    for at in sorted(times):
        if at >= last_at + MOMENT_S:
            moments += 1
            last_at = at
    return moments


def _count_steps(requests: Iterable[UnansweredRequest]) -> int:
    """Return how many crashes followed each other on repetitions of one request.

    A request is sent again after the first crash, so each of its crashes is a step. The
    loss of a rack fails several requests in one step.
    """
    steps = 0
    steps_at_once = 0
    began_at = float("-inf")
    for request in sorted(requests, key=lambda request: request.ended_at):
        if request.ended_at >= began_at + MOMENT_S:
            steps += steps_at_once
            steps_at_once = 0
            began_at = request.ended_at
        steps_at_once = max(steps_at_once, len(request.backends))
    return steps + steps_at_once

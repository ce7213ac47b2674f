"""Evidence of all nodes, and the parts that it convicts."""

from collections import defaultdict
from collections.abc import Iterable

from poplarspar.state.quarantine import Evidence, UnansweredRequest

# Evidence against a part that crashes backend servers once a minute must not expire
# before it is conclusive.
EVIDENCE_TTL_S = 120.0
# Crashed backend servers, and separate moments, that convict a part. A sound part can
# be in one or two requests that fail by chance.
CONCLUSIVE_COUNT = 3
# The loss of a zone or rack fails many requests at one moment.
MOMENT_S = 0.3
# Where more sets of parts are convicted at once, their prompts are not the cause.
MAX_CONVICTED_SETS = 256


class EvidenceTable:
    """Unanswered requests by prompt part, until an answer with the part begins."""

    def __init__(self) -> None:
        self._unanswered_by_part: dict[str, dict[str, UnansweredRequest]] = {}
        self._begun_at_by_part: dict[str, float] = {}
        self._convicted: tuple[frozenset[str], ...] | None = ()

    def add(self, request: UnansweredRequest) -> None:
        """Add a request; a request that is known already keeps its time."""
        for part in request.parts:
            if request.ended_at > self._begun_at_by_part.get(part, float("-inf")):
                requests = self._unanswered_by_part.setdefault(part, {})
                if request.id not in requests:
                    requests[request.id] = request
                    self._convicted = None

    def merge(self, evidence: Evidence) -> None:
        """Add the evidence of another node."""
        for request in evidence.unanswered:
            self.add(request)
        for part, begun_at in evidence.begun_at_by_part.items():
            self.record_begun(part, begun_at)

    def record_begun(self, part: str, begun_at: float) -> None:
        """Drop the evidence against a part from before an answer with it began."""
        if begun_at <= self._begun_at_by_part.get(part, float("-inf")):
            return
        self._begun_at_by_part[part] = begun_at
        requests = self._unanswered_by_part.pop(part, {})
        if requests:
            self._convicted = None
        newer = {id: r for id, r in requests.items() if r.ended_at > begun_at}
        if newer:
            self._unanswered_by_part[part] = newer

    def moments(self, part: str) -> int:
        """Return at how many separate moments requests with a part were unanswered."""
        return _count_moments(self._unanswered_by_part.get(part, {}).values())

    def is_accused(self, part: str) -> bool:
        """Return whether any evidence counts against a part."""
        return part in self._unanswered_by_part

    def is_cleared(self, part: str) -> bool:
        """Return whether an answer with a part began after all evidence against it."""
        return part in self._begun_at_by_part and not self.is_accused(part)

    def pools(self, parts: frozenset[str]) -> set[str]:
        """Return the pools of the requests that count against any of the parts."""
        return {
            request.pool
            for part in parts
            for request in self._unanswered_by_part.get(part, {}).values()
        }

    def expire(self, now: float) -> None:
        """Drop evidence that is older than `EVIDENCE_TTL_S`."""
        since = now - EVIDENCE_TTL_S
        self._begun_at_by_part = {
            part: at for part, at in self._begun_at_by_part.items() if at > since
        }
        for part, requests in list(self._unanswered_by_part.items()):
            recent = {id: r for id, r in requests.items() if r.ended_at > since}
            if len(recent) < len(requests):
                self._convicted = None
                self._unanswered_by_part[part] = recent
            if not recent:
                del self._unanswered_by_part[part]

    def convicted(self) -> tuple[frozenset[str], ...]:
        """Return the sets of parts that explain the unanswered requests.

        A part whose requests are a subset of another part's is explained by that one.
        Parts with the same requests can't be told apart, so they form one set, and
        prompts with only some of them remain admissible.
        """
        if self._convicted is None:
            self._convicted = self._convict()
        return self._convicted

    def _convict(self) -> tuple[frozenset[str], ...]:
        parts_by_requests: dict[frozenset[str], set[str]] = defaultdict(set)
        for part, requests in self._unanswered_by_part.items():
            if _is_conclusive(list(requests.values())):
                parts_by_requests[frozenset(requests)].add(part)
        if len(parts_by_requests) > MAX_CONVICTED_SETS:
            return ()
        return tuple(
            frozenset(parts)
            for ids, parts in parts_by_requests.items()
            if not any(ids < other for other in parts_by_requests)
        )


def _is_conclusive(requests: list[UnansweredRequest]) -> bool:
    backends = {backend for request in requests for backend in request.backends}
    return (
        len(backends) >= CONCLUSIVE_COUNT
        and _count_moments(requests) >= CONCLUSIVE_COUNT
    )


def _count_moments(requests: Iterable[UnansweredRequest]) -> int:
    moments = 0
    last_at = float("-inf")
    for ended_at in sorted(request.ended_at for request in requests):
        if ended_at >= last_at + MOMENT_S:
            moments += 1
            last_at = ended_at
    return moments

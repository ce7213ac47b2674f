"""Admission of requests by the parts of their prompts."""

import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from poplarspar.coordination.quarantine.evidence import (
    EVIDENCE_TTL_S,
    SUSPECTED_MOMENTS,
    EvidenceTable,
)
from poplarspar.coordination.quarantine.holds import (
    FIRST_HOLD_S,
    RETENTION_S,
    HeldParts,
    next_hold_s,
)
from poplarspar.coordination.quarantine.observations import (
    Admission,
    Admitted,
    Observation,
    Quarantined,
)
from poplarspar.coordination.quarantine.outcomes import PoolOutcomes
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.quarantine import (
    Evidence,
    QuarantinedParts,
    UnansweredRequest,
    is_request_part,
)

# Time for other nodes to report a sound answer with a suspected part, which this node
# reads with its next watch of the store.
CONVICTION_DELAY_S = 0.7
MAX_QUARANTINED = 64
MAX_OWN_EVIDENCE = 32
MAX_OWN_BEGUN = 256
MAX_PARTS = 32
# Parts with which answers have begun lately; a caller can name any number of parts.
MAX_SERVED_PARTS = 4096
# The nodes convict a part at the same time; one write to the store is enough.
MAX_WRITE_DELAY_S = 1.0
MIN_RETRY_AFTER_S = 1.0
# Within this time, all requests that run at a backend server see that it crashes.
CRASH_S = 0.15
MAX_LOGGED_PARTS = 8


class Quarantine:
    """Refuses requests whose prompts have parts that crash backend servers.

    Parameters
    ----------
    node : str
        Name of this node's process.
    is_planner : callable
        Returns whether this node is the planner, which writes to the store first.
    claim_trial : callable
        Stores a new version of the quarantine and returns whether no other node
        has changed it meanwhile.
    on_change : callable
        Called when there is something to share with the other nodes.
    conviction_delay_s : callable
        Returns the time for other nodes to clear a part that the evidence convicts, or
        None if this node leaves it to another one to quarantine parts.
    """

    def __init__(
        self,
        node: str,
        is_planner: Callable[[], bool] = lambda: True,
        claim_trial: Callable[[tuple[QuarantinedParts, ...]], bool] = lambda new: True,
        on_change: Callable[[], None] = lambda: None,
        conviction_delay_s: Callable[[], float | None] = lambda: CONVICTION_DELAY_S,
    ) -> None:
        self._node = node
        self._is_planner = is_planner
        self._claim_trial = claim_trial
        self._on_change = on_change
        self._conviction_delay_s = conviction_delay_s
        self._request_numbers = itertools.count()
        self._evidence = EvidenceTable()
        self._outcomes = PoolOutcomes()
        self._own_unanswered: deque[UnansweredRequest] = deque(maxlen=MAX_OWN_EVIDENCE)
        self._own_begun_at_by_part: dict[str, float] = {}
        self._served_at_by_part: dict[str, float] = {}
        self._crashed_at_by_backend: dict[str, float] = {}
        self._convicted_at_by_part: dict[str, float] = {}
        self._entry_by_parts: dict[frozenset[str], HeldParts] = {}
        self._released: set[frozenset[str]] = set()

    def admit(self, parts: tuple[str, ...], pool: str) -> Admission:
        """Decide whether a request with these prompt parts may be sent to a pool."""
        entries = self._matching(parts)
        if not entries:
            return Admitted(Observation(self, parts, pool, is_trial=False))
        now = time.monotonic()
        remaining_s = max(entry.remaining_s(now) for entry in entries)
        if remaining_s > 0:
            return Quarantined(remaining_s)
        if not self._start_trial(entries):
            return Quarantined(MIN_RETRY_AFTER_S)
        return Admitted(Observation(self, parts, pool, is_trial=True))

    def is_suspected(self, parts: tuple[str, ...]) -> bool:
        """Return whether requests with one of the parts have failed repeatedly."""
        return any(self._evidence.moments(part) >= SUSPECTED_MOMENTS for part in parts)

    def suspected_parts(self) -> frozenset[str]:
        """Return the parts with which requests have failed repeatedly."""
        return frozenset(self._evidence.suspected())

    def record_disconnected(self, backend: str) -> bool:
        """Record that an incarnation disconnected; False if it had crashed before.

        What is sent to a backend server that is down fails too, and has not crashed it.
        """
        now = time.monotonic()
        crashed_at = self._crashed_at_by_backend.setdefault(backend, now)
        return now <= crashed_at + CRASH_S

    def record_answering(self, backend: str) -> None:
        """Record that an incarnation of a backend server runs."""
        self._crashed_at_by_backend.pop(backend, None)

    def record_unanswered(
        self, parts: tuple[str, ...], pool: str, backends: list[str]
    ) -> None:
        """Add a request that was not answered to the evidence."""
        number = next(self._request_numbers)
        request = UnansweredRequest(
            f"{self._node}#{number}",
            tuple(dict.fromkeys(backends)),
            parts[-MAX_PARTS:],
            time.monotonic(),
            pool,
        )
        self._outcomes.record(pool, begun=False)
        log_event(Event.REQUEST_UNANSWERED, parts=parts, backends=backends)
        self._own_unanswered.append(request)
        # Evidence outlives the nodes that know of answers with its parts.
        for part in request.parts:
            served_at = self._served_at(part)
            if served_at > request.ended_at - EVIDENCE_TTL_S:
                self._note_begun(part, served_at)
        self._evidence.add(request)
        self._on_change()

    def record_begun(self, parts: tuple[str, ...], pool: str, begun_at: float) -> None:
        """Clear the parts of a request whose answer began and did not break off."""
        self._outcomes.record(pool, begun=True)
        for entry in self._matching(parts):
            self._release(entry)
        for part in parts:
            if not is_request_part(part):
                self._record_served(part, begun_at)
            if not self._evidence.is_accused(part):
                continue
            if part in self._evidence.suspected() or self._clears(part, begun_at):
                self._report_begun(part, begun_at)
            self._evidence.record_begun(part, begun_at)

    def merge_evidence(self, evidence: Evidence) -> None:
        """Add the evidence of another node."""
        self._evidence.merge(evidence)

    def own_evidence(self) -> Evidence:
        """Return this node's evidence, for the other nodes."""
        return Evidence(tuple(self._own_unanswered), dict(self._own_begun_at_by_part))

    def check(self) -> None:
        """Quarantine convicted parts and drop what has expired.

        A timer calls this periodically.
        """
        now = time.monotonic()
        self._expire(now)
        self.report_served()
        convicted = self._evidence.convicted()
        self._convicted_at_by_part = {
            part: self._convicted_at_by_part.get(part, now)
            for parts in convicted
            for part in parts
        }
        delay_s = self._conviction_delay_s()
        for parts in convicted if delay_s is not None else ():
            convicted_at = max(self._convicted_at_by_part[part] for part in parts)
            is_settled = now >= convicted_at + delay_s
            if is_settled and not self._may_be_common(parts):
                self._add(parts, now)
        if self.needs_write():
            self._on_change()

    def entries(self) -> tuple[QuarantinedParts, ...]:
        """Return the parts in quarantine, those of the latest trials first."""
        latest = sorted(self._entry_by_parts.values(), key=lambda e: -e.learned_at)
        return tuple(entry.quarantined for entry in latest[:MAX_QUARANTINED])

    def needs_write(self) -> bool:
        """Return whether this node should write its entries to the store."""
        now = time.monotonic()
        return bool(self._released) or any(
            not entry.stored and now >= entry.write_at
            for entry in self._entry_by_parts.values()
        )

    def replace_entries(self, stored: Iterable[QuarantinedParts]) -> None:
        """Apply the entries in the store, which another node may have changed."""
        now = time.monotonic()
        stored_by_parts = {entry.parts: entry for entry in stored}
        for parts, entry in list(self._entry_by_parts.items()):
            if entry.stored and parts not in stored_by_parts:
                del self._entry_by_parts[parts]
                if not any(other < parts for other in stored_by_parts):
                    # Another node has seen answers to prompts with these parts.
                    self._clear_evidence(parts, now)
        self._released &= stored_by_parts.keys()
        for parts, quarantined in stored_by_parts.items():
            known = self._entry_by_parts.get(parts)
            if parts in self._released:
                continue
            if known is not None and known.is_ahead_of(quarantined):
                continue
            if known is None or known.quarantined != quarantined:
                self._entry_by_parts[parts] = HeldParts(quarantined, now, True, now)
            self._entry_by_parts[parts].stored = True
            if known is None and self._knows_better(parts, now):
                # The node that convicted them did not know of an answer here.
                self._release(self._entry_by_parts[parts])

    def _knows_better(self, parts: frozenset[str], now: float) -> bool:
        """Return whether parts that another node has convicted are sound.

        That node may have no answers with them, and take a common part for the cause
        of crashes of several harmful parts or requests. It may also have ended before
        nodes that knew better could tell it.
        """
        if any(map(self._evidence.is_cleared, parts)):
            return True
        self.report_served()
        since = now - EVIDENCE_TTL_S
        were_served = all(self._served_at(part) > since for part in parts)
        return were_served and not any(
            convicted <= parts for convicted in self._evidence.convicted()
        )

    def mark_unstored(self) -> None:
        """Write the entries again, since the store has lost them."""
        for entry in self._entry_by_parts.values():
            entry.stored = False
            entry.write_at = self._write_time()

    def _matching(self, parts: tuple[str, ...]) -> list[HeldParts]:
        prompt = set(parts)
        return [
            entry
            for entry in self._entry_by_parts.values()
            if entry.quarantined.parts <= prompt
        ]

    def _start_trial(self, entries: list[HeldParts]) -> bool:
        """Start the next hold of the entries; False if another node was first."""
        new_by_parts = {
            entry.quarantined.parts: replace(
                entry.quarantined, hold_s=next_hold_s(entry.quarantined)
            )
            for entry in entries
        }
        changed = tuple(new_by_parts.get(old.parts, old) for old in self.entries())
        if not self._claim_trial(changed):
            return False
        self.replace_entries(changed)
        log_event(
            Event.QUARANTINE_TRIAL, parts=[sorted(parts) for parts in new_by_parts]
        )
        return True

    def _add(self, parts: frozenset[str], now: float) -> None:
        if any(known <= parts for known in self._entry_by_parts):
            return
        for known in list(self._entry_by_parts):
            if parts < known:
                del self._entry_by_parts[known]
        quarantined = QuarantinedParts(parts, FIRST_HOLD_S)
        self._released.discard(parts)
        self._entry_by_parts[parts] = HeldParts(
            quarantined, now, False, self._write_time()
        )
        log_event(
            Event.PARTS_QUARANTINED,
            parts=sorted(parts),
            served=sorted(filter(self._evidence.is_served, parts)),
            crashes=self._evidence.describe(parts),
            suspected=self._evidence.suspected()[:MAX_LOGGED_PARTS],
        )

    def _release(self, entry: HeldParts) -> None:
        parts = entry.quarantined.parts
        del self._entry_by_parts[parts]
        if entry.stored:
            self._released.add(parts)
        self._clear_evidence(parts, time.monotonic())
        log_event(Event.QUARANTINE_ENDED, parts=sorted(parts))
        self._on_change()

    def _clear_evidence(self, parts: frozenset[str], now: float) -> None:
        for part in parts:
            self._evidence.record_begun(part, now)

    def _expire(self, now: float) -> None:
        self._evidence.expire(now)
        while (
            self._own_unanswered
            and self._own_unanswered[0].ended_at < now - EVIDENCE_TTL_S
        ):
            self._own_unanswered.popleft()
        self._own_begun_at_by_part = {
            part: at
            for part, at in self._own_begun_at_by_part.items()
            if at > now - EVIDENCE_TTL_S
        }
        self._crashed_at_by_backend = {
            backend: at
            for backend, at in self._crashed_at_by_backend.items()
            if at > now - EVIDENCE_TTL_S
        }
        if self._is_planner():
            for entry in list(self._entry_by_parts.values()):
                if now > entry.learned_at + RETENTION_S:
                    self._release(entry)

    def _may_be_common(self, parts: frozenset[str]) -> bool:
        """Return whether requests with the parts fail because their whole pool does."""
        was_served = any(map(self._evidence.is_served, parts))
        pools = self._evidence.pools(parts)
        return was_served and not self._outcomes.are_serving(pools)

    def _record_served(self, part: str, begun_at: float) -> None:
        latest_at = max(begun_at, self._served_at_by_part.pop(part, begun_at))
        self._served_at_by_part[part] = latest_at
        if len(self._served_at_by_part) > MAX_SERVED_PARTS:
            del self._served_at_by_part[next(iter(self._served_at_by_part))]

    def report_served(self) -> None:
        """Clear suspected parts that were served here before, and tell all nodes."""
        since = time.monotonic() - EVIDENCE_TTL_S
        for part in self._evidence.suspected():
            served_at = self._served_at_by_part.get(part, float("-inf"))
            if served_at > since and not self._evidence.is_served(part):
                self._evidence.record_begun(part, served_at)
                self._report_begun(part, served_at)

    def _served_at(self, part: str) -> float:
        """Return when an answer with a part last began, as far as this node knows."""
        served_at = self._served_at_by_part.get(part, float("-inf"))
        return max(served_at, self._evidence.begun_at(part))

    def _clears(self, part: str, begun_at: float) -> bool:
        """Return whether an answer clears evidence that this node has shared.

        A node that starts reads the evidence, and knows of no other answers.
        """
        known_at = self._own_begun_at_by_part.get(part, float("-inf"))
        return any(
            known_at < request.ended_at <= begun_at and part in request.parts
            for request in self._own_unanswered
        )

    def _report_begun(self, part: str, begun_at: float) -> None:
        self._note_begun(part, begun_at)
        self._on_change()

    def _note_begun(self, part: str, begun_at: float) -> None:
        """Let the evidence that this node shares say that an answer has begun."""
        latest_at = max(begun_at, self._own_begun_at_by_part.pop(part, begun_at))
        self._own_begun_at_by_part[part] = latest_at
        if len(self._own_begun_at_by_part) > MAX_OWN_BEGUN:
            del self._own_begun_at_by_part[next(iter(self._own_begun_at_by_part))]

    def _write_time(self) -> float:
        delay_s = 0.0 if self._is_planner() else random.uniform(0.3, MAX_WRITE_DELAY_S)
        return time.monotonic() + delay_s

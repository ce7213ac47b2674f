"""Exchange of evidence and quarantined parts between nodes, through the store."""

import random
from collections.abc import Callable
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.quarantine.evidence import EVIDENCE_TTL_S
from poplarspar.coordination.quarantine.quarantine import (
    CONVICTION_DELAY_S,
    Quarantine,
)
from poplarspar.coordination.session import Lease
from poplarspar.coordination.store_ports import (
    Change,
    WatchedStore,
)
from poplarspar.events import Event
from poplarspar.exceptions import (
    LeaseEnded,
    ProtocolError,
    RevisionConflict,
    StoreUnavailable,
)
from poplarspar.logs import log_event
from poplarspar.state.quarantine import Evidence, QuarantinedParts

QUARANTINE_PREFIX = "poplarspar-quarantine/"
ENTRIES_KEY = QUARANTINE_PREFIX + "entries"
EVIDENCE_PREFIX = QUARANTINE_PREFIX + "evidence/"
# The loss of one backend server fails several requests within milliseconds.
BATCH_S = 0.05
MIN_WRITE_INTERVAL_S = 0.25
MAX_RETRY_DELAY_S = 0.8


class QuarantineDocuments(Protocol):
    """Encoding of evidence and entries.

    The decoding methods raise `ProtocolError`.
    """

    def evidence_text(self, evidence: Evidence) -> str:
        """Encode a node's evidence."""

    def parse_evidence(self, text: str) -> Evidence:
        """Decode a node's evidence."""

    def entries_text(self, entries: tuple[QuarantinedParts, ...]) -> str:
        """Encode the parts in quarantine."""

    def parse_entries(self, text: str) -> tuple[QuarantinedParts, ...]:
        """Decode the parts in quarantine."""


class QuarantineExchange:
    """Shares a node's evidence and the quarantine with the other nodes.

    Each node writes its evidence to a key of its own, whose lease outlives the node,
    so that nodes neither wait for each other nor for the planner. All nodes change
    the one key with the entries by compare-and-swap.

    Parameters
    ----------
    node : str
        Name of this node's process.
    is_planner : callable
        Returns whether this node is the planner.
    conviction_delay_s : callable
        See `Quarantine`.

    Attributes
    ----------
    needed_revision : int
        Newest revision that matters to all nodes: of the quarantine, or of evidence
        that changes which parts are suspected.
    quarantine : Quarantine
        This node's copy of the quarantine.
    """

    def __init__(
        self,
        store: WatchedStore,
        documents: QuarantineDocuments,
        node: str,
        is_planner: Callable[[], bool],
        conviction_delay_s: Callable[[], float | None] = lambda: CONVICTION_DELAY_S,
    ) -> None:
        self._store = store
        self._documents = documents
        self._evidence_key = EVIDENCE_PREFIX + node
        self._lease = Lease(store, EVIDENCE_TTL_S)
        self._evidence_revision = 0
        self._entries_revision = 0
        self._shared_evidence = Evidence()
        self._merged_by_key: dict[str, Change] = {}
        self._text_before_restore_by_key: dict[str, str] = {}
        self._wake = Signal()
        self._suspected: frozenset[str] = frozenset()
        self.needed_revision = 0
        self.quarantine = Quarantine(
            node, is_planner, self.write_entries, self.notify, conviction_delay_s
        )

    def notify(self) -> None:
        """Share what has changed."""
        if not self._wake.ready():
            self._wake.send()

    def run(self) -> None:
        """Share changes until the task is killed."""
        while True:
            self._wake.wait()
            self._wake = Signal()
            eventlet.sleep(BATCH_S)
            try:
                self._share()
            except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
                cause = f"{type(error).__name__}: {error}"
                log_event(Event.QUARANTINE_NOT_SHARED, cause=cause)
                eventlet.sleep(random.uniform(BATCH_S, MAX_RETRY_DELAY_S))
                self.notify()
            eventlet.sleep(MIN_WRITE_INTERVAL_S)

    def share_again(self) -> None:
        """Share all that this node knows, since the store has been restored.

        The store may have older entries, which say nothing of those that it lacks.
        """
        self._lease.forget()
        self._evidence_revision = 0
        self._entries_revision = 0
        self._shared_evidence = Evidence()
        # The same evidence has a new revision now.
        self._text_before_restore_by_key = {
            key: merged.text for key, merged in self._merged_by_key.items()
        }
        self.quarantine.mark_unstored()
        self.notify()

    def write_entries(self, entries: tuple[QuarantinedParts, ...]) -> bool:
        """Store entries; False if the store is unavailable or has others."""
        try:
            self._write_entries(entries)
        except (StoreUnavailable, RevisionConflict) as error:
            cause = f"{type(error).__name__}: {error}"
            log_event(Event.QUARANTINE_NOT_SHARED, cause=cause)
            return False
        return True

    def replace(self, items: tuple[Change, ...]) -> None:
        """Apply all keys under the prefix."""
        keys = {item.key for item in items}
        self._merged_by_key = {
            key: merged for key, merged in self._merged_by_key.items() if key in keys
        }
        if self._entries_revision and ENTRIES_KEY not in keys:
            self._entries_revision = 0
            self.quarantine.mark_unstored()
        self.apply(items)

    def apply(self, items: tuple[Change, ...]) -> None:
        """Apply changes of keys under the prefix, in order.

        Evidence comes first, since it tells whether entries are right.
        """
        for item in sorted(items, key=lambda item: item.key == ENTRIES_KEY):
            try:
                self._apply(item)
            except ProtocolError as error:
                log_event(Event.DOCUMENT_MALFORMED, key=item.key, cause=str(error))

    def _apply(self, item: Change) -> None:
        if item.key == ENTRIES_KEY:
            if item.revision <= self._entries_revision:
                return
            self._entries_revision = item.revision
            self.needed_revision = max(self.needed_revision, item.revision)
            if item.text is None:
                self._entries_revision = 0
                self.quarantine.mark_unstored()
            else:
                entries = self._documents.parse_entries(item.text)
                self.quarantine.replace_entries(entries)
        elif item.key != self._evidence_key and item.text is not None:
            # Evidence whose lease has ended expires at each node by itself.
            merged = self._merged_by_key.get(item.key, Change(item.key, 0, None))
            if item.revision <= merged.revision:
                # Its ages are as of its writing, so it would seem to be newer.
                return
            self._merged_by_key[item.key] = item
            if item.text == self._text_before_restore_by_key.pop(item.key, None):
                return
            evidence = self._documents.parse_evidence(item.text)
            self.quarantine.merge_evidence(evidence)
            self._note_evidence(item.revision)

    def _note_evidence(self, revision: int) -> None:
        """Note a revision of evidence if other parts are suspected than before."""
        self.quarantine.report_served()
        suspected = self.quarantine.suspected_parts()
        if suspected != self._suspected:
            self._suspected = suspected
            self.needed_revision = max(self.needed_revision, revision)

    def _share(self) -> None:
        evidence = self.quarantine.own_evidence()
        if _has_news(evidence, self._shared_evidence):
            self._write_evidence(evidence)
        if self.quarantine.needs_write():
            entries = self.quarantine.entries()
            try:
                self._write_entries(entries)
            except RevisionConflict:
                self._read_entries()
                raise
            self.quarantine.replace_entries(entries)

    def _write_evidence(self, evidence: Evidence) -> None:
        if self._lease.keep_alive():
            # The key has gone with the previous lease.
            self._evidence_revision = 0
        text = self._documents.evidence_text(evidence)
        lease_id = self._lease.id
        try:
            self._evidence_revision = self._store.compare_and_swap(
                self._evidence_key, self._evidence_revision, text, lease_id
            )
        except RevisionConflict:
            # The answer to an earlier write was lost; no other node uses this key.
            self._evidence_revision = self._store.read(self._evidence_key).revision
            raise
        # A restore of the store meanwhile has ended the lease.
        if lease_id == self._lease.id:
            self._shared_evidence = evidence
        self._note_evidence(self._evidence_revision)

    def _write_entries(self, entries: tuple[QuarantinedParts, ...]) -> None:
        text = self._documents.entries_text(entries)
        self._entries_revision = self._store.compare_and_swap(
            ENTRIES_KEY, self._entries_revision, text
        )
        self.needed_revision = max(self.needed_revision, self._entries_revision)

    def _read_entries(self) -> None:
        stored = self._store.read(ENTRIES_KEY)
        text = stored.text if stored.revision else None
        self.apply((Change(ENTRIES_KEY, stored.revision, text),))


def _has_news(evidence: Evidence, shared: Evidence) -> bool:
    """Return whether evidence has more than what was shared; it also expires."""
    return not (
        set(evidence.unanswered) <= set(shared.unanswered)
        and evidence.begun_at_by_part.items() <= shared.begun_at_by_part.items()
    )

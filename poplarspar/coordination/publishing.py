"""Publishing of objects: one checked set, changed by compare-and-swap."""

import difflib
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.cluster import CONFIGURATION_KEY, ClusterState
from poplarspar.coordination.compare_and_swap import (
    Conflicted,
    Unknown,
    Written,
    compare_and_swap,
)
from poplarspar.coordination.ports import Store
from poplarspar.exceptions import StoreUnavailable
from poplarspar.state.configuration import AuditEntry, Configuration
from poplarspar.state.snapshot import StoredValue

AUDIT_IN_PLACE = 50
ARCHIVE_PREFIX = "audit/"
EDIT_ATTEMPTS = 5


@dataclass(frozen=True)
class Accepted:
    """The change is recorded at `revision`."""

    revision: int
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Rejected:
    """Another change came first; `changes` leads from the base to the current."""

    current_revision: int
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Undetermined:
    """The store gave no answer; the change may or may not be recorded."""

    change_id: str


@dataclass(frozen=True)
class Unavailable:
    """The store could not be read, so no change was tried."""


PublishOutcome = Accepted | Rejected | Undetermined | Unavailable


class Publisher:
    """Writes configurations with their audit entries.

    Parameters
    ----------
    encode, decode : callable
        Turn a configuration into its document and back.
    """

    def __init__(
        self,
        store: Store,
        cluster: ClusterState,
        encode: Callable[[Configuration], str],
        decode: Callable[[str], Configuration],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._encode = encode
        self._decode = decode

    def current_configuration(self) -> tuple[int, Configuration]:
        """Return the configuration that this node knows, with its revision."""
        value = self._cluster.snapshot.get(CONFIGURATION_KEY)
        return value.revision, self._decode(value.text)

    def publish(
        self, text: str, base_revision: int, operator: str, action: str
    ) -> PublishOutcome:
        """Replace the objects by `text`, which was edited from `base_revision`."""
        revision, base = self._base(base_revision)
        if revision != base_revision:
            return Rejected(revision, base.changes_since(base_revision))
        change_id = uuid.uuid4().hex
        changes = _difference(base.text, text)
        entry = AuditEntry(
            change_id, time.time(), operator, action, base_revision, changes
        )
        kept = self._archive_old(base.audit)
        document = self._encode(Configuration(text, (*kept, entry)))
        outcome = compare_and_swap(
            self._store,
            CONFIGURATION_KEY,
            base_revision,
            document,
            lambda found: self._decode(found).has_change(change_id),
        )
        return self._report(outcome, entry)

    def edit(
        self, change: Callable[[str], str], operator: str, action: str
    ) -> PublishOutcome:
        """Apply a small change to whatever objects are current.

        The change is worked out anew when another operator's edit came first.
        """
        outcome: PublishOutcome = Unavailable()
        for _ in range(EDIT_ATTEMPTS):
            value = self._read_current()
            if value is None:
                return Unavailable()
            base = self._decode(value.text)
            outcome = self.publish(change(base.text), value.revision, operator, action)
            if not isinstance(outcome, Rejected):
                return outcome
        return outcome

    def _base(self, base_revision: int) -> tuple[int, Configuration]:
        revision, configuration = self.current_configuration()
        if revision < base_revision:
            value = self._read_current()
            if value is not None:
                return value.revision, self._decode(value.text)
        return revision, configuration

    def _read_current(self) -> StoredValue | None:
        try:
            value = self._store.read(CONFIGURATION_KEY)
        except StoreUnavailable:
            return None
        self._cluster.merge([value])
        return value

    def _report(
        self, outcome: Written | Conflicted | Unknown, entry: AuditEntry
    ) -> PublishOutcome:
        match outcome:
            case Written(value):
                self._cluster.merge([value])
                return Accepted(value.revision, entry.changes)
            case Conflicted(current):
                theirs = self._decode(current.text)
                changes = theirs.changes_since(entry.base_revision)
                return Rejected(current.revision, changes)
            case Unknown():
                return Undetermined(entry.change_id)

    def _archive_old(self, audit: tuple[AuditEntry, ...]) -> tuple[AuditEntry, ...]:
        """Move the older half of a full audit trail to a key of its own."""
        if len(audit) < AUDIT_IN_PLACE:
            return audit
        half = AUDIT_IN_PLACE // 2
        old = Configuration(audit=audit[:half])
        key = f"{ARCHIVE_PREFIX}{old.audit[-1].change_id}"
        outcome = compare_and_swap(
            self._store, key, 0, self._encode(old), lambda found: True
        )
        return audit if isinstance(outcome, Unknown) else audit[half:]


def _difference(old: str, new: str) -> tuple[str, ...]:
    """Return the changed lines, each with its section's name in front."""
    lines = difflib.unified_diff(
        _qualified_lines(old), _qualified_lines(new), n=0, lineterm=""
    )
    return tuple(line for line in lines if not line.startswith(("---", "+++", "@@")))


def _qualified_lines(text: str) -> list[str]:
    section = ""
    lines = []
    for line in text.splitlines():
        if line.startswith("["):
            section = line
        if line.strip():
            lines.append(line if line == section else f"{section} {line}")
    return lines

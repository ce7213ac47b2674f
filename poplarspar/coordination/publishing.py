"""Publishing of the configuration as one document, by compare-and-swap."""

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
from poplarspar.coordination.store_ports import (
    Store,
)
from poplarspar.exceptions import StoreUnavailable
from poplarspar.state.configuration import AuditEntry, Configuration
from poplarspar.state.snapshot import StoredValue

MAX_AUDIT_ENTRIES = 50
AUDIT_ARCHIVE_PREFIX = "audit/"
MAX_EDIT_ATTEMPTS = 5


@dataclass(frozen=True)
class Accepted:
    """The store contains the change, written at `revision`."""

    revision: int
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Rejected:
    """The store contains a newer configuration than the base of the change.

    Attributes
    ----------
    changes : tuple of str
        Changed lines from the base to the current configuration.
    """

    current_revision: int
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Undetermined:
    """The store did not answer; the change may or may not have been written."""

    change_id: str


@dataclass(frozen=True)
class Unavailable:
    """The store could not be read, so no write was attempted."""


PublishOutcome = Accepted | Rejected | Undetermined | Unavailable


class Publisher:
    """Writes configurations together with their audit entries.

    Parameters
    ----------
    encode, decode : callable
        Convert a configuration to its document and back.
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
        """Return the revision and configuration of this steward's snapshot."""
        value = self._cluster.snapshot.get(CONFIGURATION_KEY)
        return value.revision, self._decode(value.text)

    def publish(
        self, text: str, base_revision: int, operator: str, action: str
    ) -> PublishOutcome:
        """Replace the objects with `text`, an edit of those at `base_revision`."""
        revision, base = self._base_configuration(base_revision)
        if revision != base_revision:
            return Rejected(revision, base.changes_since(base_revision))
        change_id = uuid.uuid4().hex
        changes = _changed_lines(base.text, text)
        entry = AuditEntry(
            change_id, time.time(), operator, action, base_revision, changes
        )
        recent_audit = self._archive_audit(base.audit)
        document = self._encode(Configuration(text, (*recent_audit, entry)))
        outcome = compare_and_swap(
            self._store,
            CONFIGURATION_KEY,
            base_revision,
            document,
            lambda found: self._decode(found).has_change(change_id),
        )
        return self._publish_outcome(outcome, entry)

    def edit(
        self, change: Callable[[str], str], operator: str, action: str
    ) -> PublishOutcome:
        """Apply `change` to the text of the current objects and publish it.

        After a conflict with another operator's edit, the publisher applies
        `change` to the new text, up to `MAX_EDIT_ATTEMPTS` times in all.
        """
        outcome: PublishOutcome = Unavailable()
        for _ in range(MAX_EDIT_ATTEMPTS):
            value = self._read_store()
            if value is None:
                return Unavailable()
            base = self._decode(value.text)
            outcome = self.publish(change(base.text), value.revision, operator, action)
            if not isinstance(outcome, Rejected):
                return outcome
        return outcome

    def _base_configuration(self, base_revision: int) -> tuple[int, Configuration]:
        """Return the snapshot's configuration, or the store's if the base is newer."""
        revision, configuration = self.current_configuration()
        if revision < base_revision:
            value = self._read_store()
            if value is not None:
                return value.revision, self._decode(value.text)
        return revision, configuration

    def _read_store(self) -> StoredValue | None:
        try:
            value = self._store.read(CONFIGURATION_KEY)
        except StoreUnavailable:
            return None
        self._cluster.merge([value])
        return value

    def _publish_outcome(
        self, outcome: Written | Conflicted | Unknown, entry: AuditEntry
    ) -> PublishOutcome:
        match outcome:
            case Written(value):
                self._cluster.merge([value])
                return Accepted(value.revision, entry.changes)
            case Conflicted(current):
                winner = self._decode(current.text)
                changes = winner.changes_since(entry.base_revision)
                return Rejected(current.revision, changes)
            case Unknown():
                return Undetermined(entry.change_id)

    def _archive_audit(self, audit: tuple[AuditEntry, ...]) -> tuple[AuditEntry, ...]:
        """Move the older half of a full audit trail to its own key in the store."""
        if len(audit) < MAX_AUDIT_ENTRIES:
            return audit
        half = MAX_AUDIT_ENTRIES // 2
        archived = Configuration(audit=audit[:half])
        key = f"{AUDIT_ARCHIVE_PREFIX}{archived.audit[-1].change_id}"
        outcome = compare_and_swap(
            self._store, key, 0, self._encode(archived), lambda found: True
        )
        return audit if isinstance(outcome, Unknown) else audit[half:]


def _changed_lines(old_text: str, new_text: str) -> tuple[str, ...]:
    """Return the changed lines, each prefixed with its section's name."""
    lines = difflib.unified_diff(
        _qualified_lines(old_text), _qualified_lines(new_text), n=0, lineterm=""
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

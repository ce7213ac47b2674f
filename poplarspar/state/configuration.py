"""The published configuration with its audit trail."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AuditEntry:
    """One accepted change.

    Attributes
    ----------
    at : float
        Seconds since the Unix epoch, by the clock of the steward that wrote.
    changes : tuple of str
        Lines of the difference, each with a leading ``+`` or ``-``.
    """

    change_id: str
    at: float
    operator: str
    action: str
    base_revision: int
    changes: tuple[str, ...]


@dataclass(frozen=True)
class Configuration:
    """The text of all objects and the last entries of the audit trail.

    Both lie in one value of the store, so a change and its audit entry are
    written together or not at all.
    """

    text: str = ""
    audit: tuple[AuditEntry, ...] = ()

    def has_change(self, change_id: str) -> bool:
        """Return whether the change is part of this configuration's history."""
        return any(entry.change_id == change_id for entry in self.audit)

    def changes_since(self, revision: int) -> tuple[str, ...]:
        """Return the changes of all entries that were made on `revision` or later."""
        later = [entry for entry in self.audit if entry.base_revision >= revision]
        return tuple(line for entry in later for line in entry.changes)

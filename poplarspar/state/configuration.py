"""The published configuration and its audit trail."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AuditEntry:
    """One accepted change.

    Attributes
    ----------
    at : float
        Seconds since the Unix epoch, by the clock of the steward that wrote it.
    changes : tuple of str
        Lines of the diff, each with a leading ``+`` or ``-``.
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

    One value of the store contains both, so that a write commits a change and its
    audit entry atomically.
    """

    text: str = ""
    audit: tuple[AuditEntry, ...] = ()

    def has_change(self, change_id: str) -> bool:
        """Return whether the audit trail contains the change."""
        return any(entry.change_id == change_id for entry in self.audit)

    def changes_since(self, revision: int) -> tuple[str, ...]:
        """Return the changes of all entries based on `revision` or later."""
        later = [entry for entry in self.audit if entry.base_revision >= revision]
        return tuple(line for entry in later for line in entry.changes)

"""Versioned values of the store; their revisions never decrease."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class StoredValue:
    """One value of the store.

    Attributes
    ----------
    revision : int
        Store revision at which the value was written; 0 means absent.
    """

    key: str
    revision: int
    text: str


@dataclass
class Snapshot:
    """The values under one prefix, each at its highest known revision."""

    values_by_key: dict[str, StoredValue] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Highest revision of any value, 0 when there is none."""
        return max((v.revision for v in self.values_by_key.values()), default=0)

    def merge(self, values: list[StoredValue]) -> list[StoredValue]:
        """Add newer values and return them.

        Parameters
        ----------
        values : list of StoredValue
            Values from the store or a peer, possibly outdated.

        Returns
        -------
        list of StoredValue
            Values with a higher revision than the stored one.
        """
        newer = [v for v in values if v.revision > self.get(v.key).revision]
        for value in newer:
            self.values_by_key[value.key] = value
        return newer

    def get(self, key: str) -> StoredValue:
        """Return the value at `key`, or an absent one at revision 0."""
        return self.values_by_key.get(key, StoredValue(key, 0, ""))

    def newer_than(self, revision: int) -> list[StoredValue]:
        """Return the values written after `revision`."""
        return [v for v in self.values_by_key.values() if v.revision > revision]

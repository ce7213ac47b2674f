"""A steward's knowledge of the cluster."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.barrier import WithdrawalBarrier
from poplarspar.coordination.freshness import FRESHNESS_BOUND_S, StewardFreshness
from poplarspar.coordination.ports import Documents
from poplarspar.state.entries import EntryStatus
from poplarspar.state.snapshot import Snapshot, StoredValue
from poplarspar.state.view import View

CLUSTER_PREFIX = "cluster/"
CONFIGURATION_KEY = "cluster/configuration"
OWNERS_KEY = "cluster/owners"
DOMAIN_PREFIX = "cluster/domains/"
ENTRY_TIMEOUT_S = FRESHNESS_BOUND_S + 1.0


@dataclass(frozen=True)
class EntryObservation:
    """An entry's status and the monotonic time at which it was current."""

    status: EntryStatus
    observed_at: float


class ClusterState:
    """Snapshot, freshness and entries, as one steward knows them.

    Parameters
    ----------
    name : str
        Name of this steward.
    roster : list of str
        Names of all stewards.
    documents : Documents
        Decodes the snapshot.
    """

    def __init__(self, name: str, roster: list[str], documents: Documents) -> None:
        self.name = name
        self.roster = roster
        self.snapshot = Snapshot()
        self.view = View()
        self.freshness = StewardFreshness(name, roster)
        self.barrier = WithdrawalBarrier()
        self._documents = documents
        self._local_by_entry: dict[str, EntryObservation] = {}
        self._remote_by_entry: dict[str, EntryObservation] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the snapshot."""
        self._listeners.append(callback)

    def merge(self, values: list[StoredValue]) -> None:
        """Take in values from the store or a peer."""
        if not self.snapshot.merge(values):
            return
        self.view = self._documents.view(self.snapshot)
        for callback in self._listeners:
            callback()

    def update_entry(self, status: EntryStatus) -> None:
        """Take in the word of an entry that is linked to this steward."""
        self._local_by_entry[status.name] = EntryObservation(status, time.monotonic())

    def remove_entry(self, name: str) -> None:
        """Take in that an entry has ended its process in an orderly way."""
        self._local_by_entry.pop(name, None)

    def update_remote_entries(self, statuses: list[EntryStatus]) -> None:
        """Take in what a peer said of the entries that are linked to it."""
        now = time.monotonic()
        for status in statuses:
            self._remote_by_entry[status.name] = EntryObservation(status, now)

    def local_entries(self) -> list[EntryStatus]:
        """Return the entries linked here that may still act on their view."""
        return [s.status for s in self._recent(self._local_by_entry)]

    def entries_by_name(self) -> dict[str, EntryStatus]:
        """Return the live entries of the whole cluster by name."""
        sightings = [
            *self._recent(self._remote_by_entry),
            *self._recent(self._local_by_entry),
        ]
        sightings.sort(key=lambda sighting: sighting.observed_at)
        return {sighting.status.name: sighting.status for sighting in sightings}

    def revision_in_force(self) -> int:
        """Return the revision that this steward and its entries all act on."""
        revisions = [status.revision for status in self.local_entries()]
        return min([self.snapshot.revision, *revisions])

    def update_barrier(self) -> None:
        """Note the newest revision that a majority acts on."""
        revision = self.snapshot.revision
        if self.freshness.is_in_force_at_majority(revision, self.revision_in_force()):
            self.barrier.record_majority(revision)

    @staticmethod
    def _recent(sightings: dict[str, EntryObservation]) -> list[EntryObservation]:
        oldest = time.monotonic() - ENTRY_TIMEOUT_S
        for name in [n for n, s in sightings.items() if s.observed_at < oldest]:
            del sightings[name]
        return list(sightings.values())

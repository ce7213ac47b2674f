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
ENTRY_DEAD_S = FRESHNESS_BOUND_S + 1.0


@dataclass(frozen=True)
class Sighting:
    """An entry's status and the monotonic time at which it was current."""

    status: EntryStatus
    at: float


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
        self._local_by_entry: dict[str, Sighting] = {}
        self._remote_by_entry: dict[str, Sighting] = {}
        self._listeners: list[Callable[[], None]] = []

    def listen(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the snapshot."""
        self._listeners.append(callback)

    def merge(self, values: list[StoredValue]) -> None:
        """Take in values from the store or a peer."""
        if not self.snapshot.merge(values):
            return
        self.view = self._documents.view(self.snapshot)
        for callback in self._listeners:
            callback()

    def hear_entry(self, status: EntryStatus) -> None:
        """Take in the word of an entry that is linked to this steward."""
        self._local_by_entry[status.name] = Sighting(status, time.monotonic())

    def forget_entry(self, name: str) -> None:
        """Take in that an entry has ended its process in an orderly way."""
        self._local_by_entry.pop(name, None)

    def hear_remote_entries(self, statuses: list[EntryStatus]) -> None:
        """Take in what a peer said of the entries that are linked to it."""
        now = time.monotonic()
        for status in statuses:
            self._remote_by_entry[status.name] = Sighting(status, now)

    def local_entries(self) -> list[EntryStatus]:
        """Return the entries linked here that may still act on their view."""
        return [s.status for s in self._recent(self._local_by_entry)]

    def entries(self) -> dict[str, EntryStatus]:
        """Return the live entries of the whole cluster by name."""
        sightings = [
            *self._recent(self._remote_by_entry),
            *self._recent(self._local_by_entry),
        ]
        sightings.sort(key=lambda sighting: sighting.at)
        return {sighting.status.name: sighting.status for sighting in sightings}

    def in_force(self) -> int:
        """Return the revision that this steward and its entries all act on."""
        revisions = [status.revision for status in self.local_entries()]
        return min([self.snapshot.revision, *revisions])

    def update_barrier(self) -> None:
        """Note the newest revision that a majority acts on."""
        revision = self.snapshot.revision
        if self.freshness.is_in_force_at_majority(revision, self.in_force()):
            self.barrier.record_majority(revision)

    @staticmethod
    def _recent(sightings: dict[str, Sighting]) -> list[Sighting]:
        oldest = time.monotonic() - ENTRY_DEAD_S
        for name in [n for n, s in sightings.items() if s.at < oldest]:
            del sightings[name]
        return list(sightings.values())

"""State of the cluster as one steward knows it."""

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
    """An entry's status and the monotonic time, in seconds, of its arrival."""

    status: EntryStatus
    observed_at: float


class ClusterState:
    """Snapshot, freshness and live entries, as one steward knows them.

    Parameters
    ----------
    name : str
        Name of this steward.
    roster : list of str
        Names of all stewards.
    documents : Documents
        Decodes the values of the snapshot.
    """

    def __init__(self, name: str, roster: list[str], documents: Documents) -> None:
        self.name = name
        self.roster = roster
        self.snapshot = Snapshot()
        self.view = View()
        self.freshness = StewardFreshness(name, roster)
        self.barrier = WithdrawalBarrier()
        self._documents = documents
        self._local_observation_by_entry: dict[str, EntryObservation] = {}
        self._remote_observation_by_entry: dict[str, EntryObservation] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the snapshot."""
        self._listeners.append(callback)

    def merge(self, values: list[StoredValue]) -> None:
        """Merge values from the store or a peer into the snapshot."""
        if not self.snapshot.merge(values):
            return
        self.view = self._documents.view(self.snapshot)
        for callback in self._listeners:
            callback()

    def update_entry(self, status: EntryStatus) -> None:
        """Record the status of an entry that is linked to this steward."""
        self._local_observation_by_entry[status.name] = EntryObservation(
            status, time.monotonic()
        )

    def remove_entry(self, name: str) -> None:
        """Remove an entry whose process has shut down cleanly."""
        self._local_observation_by_entry.pop(name, None)

    def update_remote_entries(self, statuses: list[EntryStatus]) -> None:
        """Record the statuses of the entries that are linked to a peer."""
        now = time.monotonic()
        for status in statuses:
            self._remote_observation_by_entry[status.name] = EntryObservation(
                status, now
            )

    def local_entries(self) -> list[EntryStatus]:
        """Return the entries linked to this steward that may act on their view."""
        return [o.status for o in self._drop_expired(self._local_observation_by_entry)]

    def entries_by_name(self) -> dict[str, EntryStatus]:
        """Return the latest status of each live entry of the cluster."""
        observations = [
            *self._drop_expired(self._remote_observation_by_entry),
            *self._drop_expired(self._local_observation_by_entry),
        ]
        observations.sort(key=lambda observation: observation.observed_at)
        return {
            observation.status.name: observation.status for observation in observations
        }

    def revision_in_force(self) -> int:
        """Return the newest revision that this steward and its entries all reached."""
        revisions = [status.revision for status in self.local_entries()]
        return min([self.snapshot.revision, *revisions])

    def update_barrier(self) -> None:
        """Record the snapshot's revision once a majority of stewards acts on it."""
        revision = self.snapshot.revision
        if self.freshness.is_in_force_at_majority(revision, self.revision_in_force()):
            self.barrier.record_majority(revision)

    @staticmethod
    def _drop_expired(
        observation_by_entry: dict[str, EntryObservation],
    ) -> list[EntryObservation]:
        """Drop the observations of dead entries and return the others."""
        oldest = time.monotonic() - ENTRY_TIMEOUT_S
        for name in [
            n for n, o in observation_by_entry.items() if o.observed_at < oldest
        ]:
            del observation_by_entry[name]
        return list(observation_by_entry.values())

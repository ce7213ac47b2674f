"""Interfaces of the platform's store, for transport and adapters to implement."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from poplarspar.state.snapshot import StoredValue


class Store(Protocol):
    """The platform's key-value service.

    Each method raises `StoreUnavailable` if the store does not answer. A write
    may have taken effect even then.
    """

    def read(self, key: str) -> StoredValue:
        """Return the value at `key`; a missing key has revision 0."""

    def watch(self, prefix: str, after: int, wait_s: float) -> list[StoredValue]:
        """Return values newer than revision `after`, waiting up to `wait_s`."""

    def compare_and_swap(
        self, key: str, expected: int, text: str, lease: str = ""
    ) -> int:
        """Write if `key` is at revision `expected` and return the new revision.

        Raises
        ------
        RevisionConflict
            If `key` is at another revision.
        """

    def delete(self, key: str, expected: int) -> None:
        """Delete `key` if it is at revision `expected`."""

    def grant_lease(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease and return whether it still existed."""


@dataclass(frozen=True)
class Change:
    """One write or deletion of a key; `text` is None for a deletion."""

    key: str
    revision: int
    text: str | None


@dataclass(frozen=True)
class Changes:
    """Changes in revision order, complete up to revision `as_of`."""

    items: tuple[Change, ...]
    as_of: int


class CallKind(Enum):
    """What a call to the store does; the last ones are leases' and name no key."""

    WATCH = "watch"
    READ_ALL = "read_all"
    READ_ALL_OLD = "read_all_old"
    READ = "read"
    WRITE = "write"
    LEASE_GRANT = "lease_grant"
    LEASE_RENEWAL = "lease_renewal"
    LEASE_END = "lease_end"


class WatchedStore(Store, Protocol):
    """A store whose watch also reports deletions.

    Attributes
    ----------
    era : int
        Number of times that the store has been restored from an older copy.
    """

    era: int

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not wait, once the store shows an older state.

        Revisions continue to grow in it, leases of before have ended, and changes that
        the store had confirmed may be missing.
        """

    def on_reconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not wait, once calls use new connections.

        Answers to calls that wait on earlier ones may never arrive.
        """

    def on_call(self, callback: Callable[[CallKind, str], None]) -> None:
        """Call `callback`, which must not wait, with the kind and key of each call.

        The key is a prefix for watches and reads of all values, and empty for leases.

        Calls count also if the store refuses or does not answer them.
        """

    def reconnect(self) -> None:
        """Use new connections from now on, since the open ones may be silent."""

    def read_all(self, prefix: str, *, may_be_old: bool = False) -> Changes:
        """Return all values under a prefix.

        With `may_be_old` the read costs less, and may return an earlier state.
        """

    def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after revision `after`, waiting up to `wait_s` for one.

        Raises
        ------
        HistoryLost
            If the store no longer has the history after `after`.
        """

    def end_lease(self, lease: str) -> None:
        """Revoke a lease; the store deletes its keys."""

"""Interfaces through which decisions reach the world outside the process.

The transport layer implements them over HTTP and peer links; another front end
or a test may pass its own.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from poplarspar.state.ownership import OwnerTable
from poplarspar.state.replicas import (
    DomainAssignment,
    MemberReport,
    ReplicaGroup,
    Vm,
)
from poplarspar.state.snapshot import Snapshot, StoredValue
from poplarspar.state.view import View


class Store(Protocol):
    """The platform's key-value service.

    Each method raises `StoreUnavailable` when no answer came; a write may have
    taken effect all the same.
    """

    def read(self, key: str) -> StoredValue:
        """Return the value at `key`, at revision 0 when absent."""

    def watch(self, prefix: str, after: int, wait_s: float) -> list[StoredValue]:
        """Return values newer than revision `after`, waiting up to `wait_s`."""

    def compare_and_swap(
        self, key: str, expected: int, text: str, lease: str = ""
    ) -> int:
        """Write if the key is at revision `expected` and return the new revision.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        """

    def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision `expected`."""

    def grant_lease(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""

    def renew_lease(self, lease: str) -> bool:
        """Prolong a lease and return whether it still existed."""


@dataclass(frozen=True)
class Change:
    """A value as it was written; the text is None if it was deleted."""

    key: str
    revision: int
    text: str | None


@dataclass(frozen=True)
class Changes:
    """Changes in order, and the revision up to which they are known."""

    items: tuple[Change, ...]
    as_of: int


class WatchedStore(Store, Protocol):
    """A store that also tells of deletions."""

    def read_all(self, prefix: str) -> Changes:
        """Return all values under a prefix."""

    def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision, waiting up to `wait_s` for the first.

        Raises
        ------
        HistoryLost
            If the store no longer has that part of its history.
        """

    def end_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys."""


class Documents(Protocol):
    """Encoding of the values that the cluster keeps in the store."""

    def view(self, snapshot: Snapshot) -> View:
        """Return the view that a snapshot describes."""

    def assignment(self, domain: str, text: str) -> DomainAssignment:
        """Return the assignment in `text`; an empty text holds no groups."""

    def assignment_text(self, assignment: DomainAssignment) -> str:
        """Return the document of an assignment."""

    def owners_text(self, table: OwnerTable) -> str:
        """Return the document of an owner table."""


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    def list(self) -> list[Vm]:
        """Return the VMs; raises `CoordinationError` when there is no answer."""


class Orders(Protocol):
    """Orders to model engines."""

    def assign(self, group: ReplicaGroup, index: int, timeout_s: float) -> None:
        """Order a member into its group; raises `BackendFailed` if it can't."""


class ReportSource(Protocol):
    """Load reports of backend servers."""

    def reports(self, vm: str, address: str) -> Iterator[MemberReport]:
        """Yield the reports of one backend server until the connection ends."""


@dataclass(frozen=True)
class Token:
    """One piece of a streamed answer.

    Attributes
    ----------
    offset : int
        Position in the answer, from 0.
    last : bool
        Whether the answer ends here; `text` is empty then.
    """

    request_id: str
    offset: int
    text: str
    last: bool
    incarnation: str


@dataclass(frozen=True)
class GenerationRequest:
    """An order to a model engine to generate an answer from an offset on."""

    request_id: str
    prompt: str
    max_tokens: int
    prefix: tuple[str, ...]
    timeout_s: float


class TokenSource(Protocol):
    """An open stream of tokens from a model engine."""

    def tokens(self) -> Iterator[Token]:
        """Yield tokens; raises `BackendFailed` when the stream breaks."""

    def close(self) -> None:
        """Cancel the stream."""


@dataclass(frozen=True)
class ServiceCall:
    """A request to a plain service."""

    request_id: str
    route: str
    body: bytes
    key: str
    timeout_s: float


@dataclass(frozen=True)
class Answer:
    """The whole answer of a plain service."""

    status: int
    body: bytes
    incarnation: str = ""


class Backends(Protocol):
    """Connections to backend servers."""

    def generate(self, address: str, generation: GenerationRequest) -> TokenSource:
        """Start a stream; raises `BackendFailed`."""

    def call(self, address: str, call: ServiceCall) -> Answer:
        """Make one call on a connection of its own; raises `BackendFailed`."""

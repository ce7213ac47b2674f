"""Interfaces between the coordination layer and the outside of the process.

The transport layer implements them over HTTP and peer links. Another front end
or a test may pass its own implementation.
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
from poplarspar.state.snapshot import Snapshot
from poplarspar.state.view import View


class Documents(Protocol):
    """Encoding and decoding of the values that nodes store."""

    def view(self, snapshot: Snapshot) -> View:
        """Decode the values of a snapshot into a view."""

    def assignment(self, domain: str, text: str) -> DomainAssignment:
        """Decode an assignment; an empty `text` yields one without groups."""

    def assignment_text(self, assignment: DomainAssignment) -> str:
        """Encode an assignment."""

    def owners_text(self, table: OwnerTable) -> str:
        """Encode an owner table."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their actual state."""

    def list(self) -> list[Vm]:
        """Return the VMs; raises `CoordinationError` if the platform fails."""


class Orders(Protocol):
    """Orders to model engines."""

    def assign(self, group: ReplicaGroup, index: int, timeout_s: float) -> None:
        """Order a member to join its group; raises `BackendFailed` on failure."""


class ReportSource(Protocol):
    """Load reports of backend servers."""

    def reports(self, vm: str, address: str) -> Iterator[MemberReport]:
        """Yield reports of one backend server until its connection closes."""


@dataclass(frozen=True)
class Token:
    """One token of a streamed answer.

    Attributes
    ----------
    offset : int
        Position in the answer, counted from 0.
    last : bool
        Whether this token ends the answer; its `text` is then empty.
    incarnation : str
        Identifier of the backend server's process.
    """

    request_id: str
    offset: int
    text: str
    last: bool
    incarnation: str


@dataclass(frozen=True)
class GenerationRequest:
    """A request to a model engine to continue an answer.

    Attributes
    ----------
    prefix : tuple of str
        Texts of the tokens that the entry has already received; the engine
        generates the tokens after them.
    """

    request_id: str
    prompt: str
    max_tokens: int
    prefix: tuple[str, ...]
    timeout_s: float


class TokenSource(Protocol):
    """An open stream of tokens from a model engine."""

    def tokens(self) -> Iterator[Token]:
        """Yield tokens; raises `BackendFailed` if the stream breaks."""

    def close(self) -> None:
        """Cancel the stream."""


@dataclass(frozen=True)
class ServiceCall:
    """A request to a plain service; `key` is its idempotency key."""

    request_id: str
    route: str
    body: bytes
    key: str
    timeout_s: float


@dataclass(frozen=True)
class Answer:
    """The complete answer of a plain service."""

    status: int
    body: bytes
    incarnation: str = ""


class Backends(Protocol):
    """Connections to backend servers."""

    def generate(self, address: str, generation: GenerationRequest) -> TokenSource:
        """Open a token stream; raises `BackendFailed`."""

    def call(self, address: str, call: ServiceCall) -> Answer:
        """Send one call on a separate connection; raises `BackendFailed`."""

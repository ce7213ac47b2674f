"""Interfaces through which requests reach backend servers."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from poplarspar.state.backends import Load
from poplarspar.state.callers import CallerRequest, Headers


@dataclass(frozen=True)
class Attempt:
    """A request on its way to one backend server.

    Attributes
    ----------
    workspace : str
        Workspace of the caller's key, empty on public routes.
    left_s : float
        Time that the backend server may take.
    silence_s : float
        Longest wait for the beginning of the answer.
    last_event : int or None
        Event after which a stream is to go on.
    """

    request: CallerRequest
    workspace: str
    backend_id: str
    address: str
    remaining_s: float
    response_timeout_s: float
    connect_timeout_s: float
    last_event: int | None
    priority: int | None


@dataclass(frozen=True)
class StreamEvent:
    """One event as it came; `number` is None for one without an identifier."""

    number: int | None
    data: bytes


class Exchange(Protocol):
    """A backend server's answer whose headers have come.

    Attributes
    ----------
    genuine : bool
        Whether the backend server vouches for the answer to this very request.
    not_run : bool
        Whether it says that the request has not run and never will.
    load : Load or None
        Its load, if it tells.
    """

    status: int
    headers: Headers
    authentic: bool
    not_executed: bool
    load: Load | None
    is_stream: bool

    def read_body(self) -> bytes:
        """Return the whole body; raises `BackendFailed` if it breaks off."""

    def events(self) -> Iterator[StreamEvent]:
        """Yield whole events; raises `BackendFailed` if the stream breaks off."""

    def set_read_timeout(self, timeout_s: float) -> None:
        """Bound the wait for each further piece."""

    def abort(self) -> None:
        """Break the exchange off under the task that reads it."""

    def close(self) -> None:
        """End the exchange, which cancels what has not come yet."""


class Upstream(Protocol):
    """Connections to backend servers."""

    def send(self, attempt: Attempt) -> Exchange:
        """Send a request on a connection of its own; raises `BackendFailed`."""

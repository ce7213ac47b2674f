"""Interfaces to the backend servers that run callers' requests."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from poplarspar.coordination.forwarding.notices import Notice
from poplarspar.coordination.forwarding.rate_limits import ObservedLimit
from poplarspar.state.backends import Load
from poplarspar.state.callers import CallerRequest, Headers


@dataclass(frozen=True)
class Attempt:
    """A request as it is sent to one backend server.

    Attributes
    ----------
    workspace : str
        Workspace of the caller's key, empty on public routes.
    remaining_s : float
        Time until the request's deadline.
    response_timeout_s : float
        Longest wait for the headers of the answer, and then for its whole body unless
        the exchange gets another limit.
    last_event : int or None
        Number of the event after which the backend server resumes a stream.
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
    """One unmodified event of a stream; `number` is None if it has no identifier."""

    number: int | None
    data: bytes


class Exchange(Protocol):
    """A backend server's answer whose headers have arrived.

    Attributes
    ----------
    authentic : bool
        Whether the backend server signed this answer to this request.
    not_executed : bool
        Whether the backend server reports that the request did not run and never
        will.
    load : Load or None
        Load that the backend server reports with the answer, None without a report.
    rate_limit : ObservedLimit
        What the answer says of the requests that the backend server takes from all
        nodes together.
    notices : tuple of Notice
        What the backend server asks of this node.
    weights_version : int or None
        Version of the weights that the backend server reads prompts with, None if it
        names none.
    framed : bool
        Whether the end of the answer is certain. The end of the connection ends other
        answers, also if the backend server crashes.
    """

    status: int
    headers: Headers
    authentic: bool
    not_executed: bool
    load: Load | None
    rate_limit: ObservedLimit
    notices: tuple[Notice, ...]
    is_stream: bool
    weights_version: int | None
    framed: bool

    def read_body(self) -> bytes:
        """Return the whole body; raises `BackendFailed` if the connection breaks."""

    def events(self) -> Iterator[StreamEvent]:
        """Yield complete events; raises `BackendFailed` if the stream breaks."""

    def set_read_timeout(self, timeout_s: float) -> None:
        """Limit the time until the next event, or the end of the body."""

    def abort(self) -> None:
        """Break the connection, which ends the read of another task."""

    def close(self) -> None:
        """Close the connection, which cancels the rest of the answer."""


class Upstream(Protocol):
    """Connections to backend servers."""

    def send(self, attempt: Attempt) -> Exchange:
        """Send a request on a new connection; raises `BackendFailed`."""

"""Requests to backend servers with the platform's headers."""

from collections.abc import Iterator

from poplarspar.coordination.forwarding.ports import Attempt, StreamEvent
from poplarspar.exceptions import (
    BackendFailed,
    ConnectFailed,
    ProtocolError,
    TransportError,
)
from poplarspar.platform.headers import (
    BACKEND,
    LAST_EVENT,
    LOAD,
    NOT_RETURNED,
    NOT_RUN,
    PATIENCE_MS,
    REQUEST_ID,
    SIGNATURE,
    URGENCY,
    WORKSPACE,
    parse_load,
)
from poplarspar.protocol.server_sent_events import split_events
from poplarspar.state.callers import Headers
from poplarspar.transport.http import HttpStream, open_stream, read_body

# Another backend server has the address now.
MISDIRECTED = 421
EVENT_STREAM = "text/event-stream"
# The platform's ranks go from 0, the first, to 9.
LAST_RANK = 9


class PlatformExchange:
    """An answer of a backend server; see `forwarding.ports.Exchange`."""

    def __init__(self, stream: HttpStream, request_id: str) -> None:
        headers = stream.headers
        self._stream = stream
        self.status = stream.status
        self.load = parse_load(headers.get(LOAD))
        self.not_executed = NOT_RUN in headers or stream.status == MISDIRECTED
        # An encoded body is not the one that the backend server signed.
        self.authentic = (
            SIGNATURE in headers
            and headers.get(REQUEST_ID, request_id) == request_id
            and "Content-Encoding" not in headers
        )
        self.is_stream = headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self.headers = _returned(headers)

    def read_body(self) -> bytes:
        """Return the whole body; raises `BackendFailed` if it breaks off."""
        try:
            return read_body(self._stream)
        except TransportError as error:
            raise BackendFailed(str(error), sent=True) from error

    def events(self) -> Iterator[StreamEvent]:
        """Yield whole events; raises `BackendFailed` if the stream breaks off."""
        try:
            yield from split_events(self._stream.chunks())
        except (TransportError, ProtocolError) as error:
            raise BackendFailed(str(error), sent=True) from error

    def set_read_timeout(self, timeout_s: float) -> None:
        """Bound the wait for each further piece."""
        self._stream.set_read_timeout(timeout_s)

    def abort(self) -> None:
        """Break the exchange off under the task that reads it."""
        self._stream.abort()

    def close(self) -> None:
        """End the exchange, which cancels what has not come yet."""
        self._stream.close()


class PlatformUpstream:
    """Backend servers on the platform; see `forwarding.ports.Upstream`."""

    def send(self, attempt: Attempt) -> PlatformExchange:
        """Send a request on a connection of its own; raises `BackendFailed`."""
        request = attempt.request
        try:
            stream = open_stream(
                attempt.address,
                request.method,
                request.target,
                request.body,
                read_timeout_s=attempt.response_timeout_s,
                connect_timeout_s=attempt.connect_timeout_s,
                headers=_sent(attempt),
            )
        except ConnectFailed as error:
            raise BackendFailed(str(error), sent=False) from error
        except TransportError as error:
            raise BackendFailed(str(error), sent=True) from error
        return PlatformExchange(stream, request.id)


def _sent(attempt: Attempt) -> dict[str, str]:
    headers = dict(attempt.request.headers)
    headers[PATIENCE_MS] = str(max(1, int(attempt.remaining_s * 1000)))
    headers[BACKEND] = attempt.backend_id
    if attempt.workspace:
        headers[WORKSPACE] = attempt.workspace
    if attempt.last_event is not None:
        headers[LAST_EVENT] = str(attempt.last_event)
    if attempt.priority is not None:
        headers[URGENCY] = str(min(LAST_RANK, max(0, attempt.priority)))
    return headers


def _returned(headers) -> Headers:
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_RETURNED and name.lower() not in named
    )

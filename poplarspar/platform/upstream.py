"""Requests to backend servers with the platform's headers."""

from collections.abc import Iterator

from poplarspar.coordination.forwarding import (
    Attempt,
    Leaving,
    Notice,
    Pause,
    StreamEvent,
)
from poplarspar.exceptions import (
    AnswerTruncated,
    BackendFailed,
    ConnectFailed,
    PeerDisconnected,
    ProtocolError,
    TransportError,
)
from poplarspar.platform.headers import (
    DEADLINE_MS,
    EXPECTED_BACKEND,
    LAST_EVENT_ID,
    LEAVING,
    LOAD,
    NOT_EXECUTED,
    NOT_RETURNED,
    PAUSE,
    PRIORITY,
    RATE_LIMIT,
    REQUEST_ID,
    SIGNATURE,
    WORKSPACE,
    parse_leaving,
    parse_load,
    parse_pause,
    parse_rate_limit,
)
from poplarspar.protocol.server_sent_events import split_events
from poplarspar.state.callers import Headers
from poplarspar.transport.http import HttpStream, open_stream, read_body

# Status of a request to an address that another backend server has taken over.
MISDIRECTED = 421
REDIRECTION = 300
CLIENT_ERROR = 400
UNAVAILABLE = 503
EVENT_STREAM = "text/event-stream"
# The platform's priorities range from 0, the highest, to 9.
LOWEST_PRIORITY = 9


class PlatformExchange:
    """An answer of a backend server; see `forwarding.ports.Exchange`."""

    def __init__(self, stream: HttpStream, request_id: str) -> None:
        headers = stream.headers
        self._stream = stream
        self.status = stream.status
        self.load = parse_load(headers.get(LOAD))
        self.rate_limit = parse_rate_limit(headers.get(RATE_LIMIT))
        # A faulty backend server may repeat an answer to another request, whose refusal
        # says nothing of this one.
        is_own = headers.get(REQUEST_ID, request_id) == request_id
        refuses = NOT_EXECUTED in headers and stream.status >= CLIENT_ERROR
        self.not_executed = is_own and (refuses or stream.status == MISDIRECTED)
        # An encoded body is not the one that the backend server signed.
        self.authentic = (
            is_own and SIGNATURE in headers and "Content-Encoding" not in headers
        )
        # Another backend server at this address speaks of itself.
        speaks_of_itself = is_own and stream.status != MISDIRECTED
        self.notices = _notices(stream) if speaks_of_itself else ()
        self.is_stream = headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self.framed = stream.framed
        self.headers = _answer_headers(headers)

    def read_body(self) -> bytes:
        """Return the complete body; raises `BackendFailed` if it breaks off."""
        try:
            body = read_body(self._stream)
        except TransportError as error:
            raise _failure(error) from error
        if not body and self.status < REDIRECTION:
            self._check_begun("the answer ended before its body")
        return body

    def events(self) -> Iterator[StreamEvent]:
        """Yield complete events; raises `BackendFailed` if the stream breaks off."""
        count = 0
        try:
            for event in split_events(self._stream.chunks()):
                count += 1
                yield event
        except AnswerTruncated as error:
            # A backend server that frames its answer has not ended it by a crash.
            disconnected = not self.framed
            raise BackendFailed(
                str(error), sent=True, disconnected=disconnected
            ) from error
        except (TransportError, ProtocolError) as error:
            raise _failure(error) from error
        if not count:
            self._check_begun("the stream ended before its first event")

    def _check_begun(self, message: str) -> None:
        """Raise `BackendFailed` if an answer without content may have broken off.

        Without a length or chunks, a crash after the head looks like an orderly end.
        """
        if not self.framed:
            raise BackendFailed(message, sent=True, disconnected=True)

    def set_read_timeout(self, timeout_s: float) -> None:
        """Limit the time until the next event, or the end of the body."""
        self._stream.set_read_timeout(timeout_s)

    def abort(self) -> None:
        """Abort the exchange while another task reads it."""
        self._stream.abort()

    def close(self) -> None:
        """Close the connection, which cancels the rest of the answer."""
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
                headers=_request_headers(attempt),
            )
        except ConnectFailed as error:
            raise BackendFailed(str(error), sent=False) from error
        except TransportError as error:
            raise _failure(error) from error
        exchange = PlatformExchange(stream, request.id)
        exchange.set_read_timeout(attempt.response_timeout_s)
        return exchange


def _failure(error: TransportError | ProtocolError) -> BackendFailed:
    """Return the failure of an exchange whose request was sent."""
    disconnected = isinstance(error, PeerDisconnected)
    return BackendFailed(str(error), sent=True, disconnected=disconnected)


def _request_headers(attempt: Attempt) -> dict[str, str]:
    headers = dict(attempt.request.headers)
    headers[DEADLINE_MS] = str(max(1, int(attempt.remaining_s * 1000)))
    headers[EXPECTED_BACKEND] = attempt.backend_id
    if attempt.workspace:
        headers[WORKSPACE] = attempt.workspace
    if attempt.last_event is not None:
        headers[LAST_EVENT_ID] = str(attempt.last_event)
    if attempt.priority is not None:
        headers[PRIORITY] = str(min(LOWEST_PRIORITY, max(0, attempt.priority)))
    return headers


def _notices(stream: HttpStream) -> tuple[Notice, ...]:
    notices: list[Notice] = []
    if parse_leaving(stream.headers.get(LEAVING)):
        notices.append(Leaving())
    if stream.status == UNAVAILABLE:
        pause_s = parse_pause(stream.headers.get(PAUSE))
        if pause_s is not None:
            notices.append(Pause(pause_s))
    return tuple(notices)


def _answer_headers(headers) -> Headers:
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_RETURNED and name.lower() not in connection_headers
    )

"""Requests to backend servers with the platform's headers."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from poplarspar.coordination.forwarding import (
    Attempt,
    Leaving,
    Notice,
    Pause,
    StreamEvent,
    UnreadableLimit,
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
    WEIGHTS_VERSION,
    WORKSPACE,
    IgnoredHeaders,
    parse_leaving,
    parse_load,
    parse_pause,
    parse_rate_limit,
    parse_version,
)
from poplarspar.protocol.server_sent_events import split_events
from poplarspar.state.callers import Headers
from poplarspar.transport.http import HttpStream, open_stream, read_body

T = TypeVar("T")

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

    def __init__(
        self, stream: HttpStream, attempt: Attempt, ignored: IgnoredHeaders
    ) -> None:
        headers = stream.headers
        request_id = attempt.request.id
        self._stream = stream
        self._backend_id = attempt.backend_id
        self._ignored = ignored
        self.status = stream.status
        self.load = self._parse(LOAD, parse_load)
        self.rate_limit = parse_rate_limit(headers.get(RATE_LIMIT))
        if self.rate_limit == UnreadableLimit():
            ignored.record(self._backend_id, RATE_LIMIT, headers[RATE_LIMIT])
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
        self.notices = self._parse_notices() if speaks_of_itself else ()
        self.is_stream = headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self.weights_version = self._parse(WEIGHTS_VERSION, parse_version)
        self.framed = stream.framed
        self.headers = _answer_headers(headers)

    def _parse(self, header: str, parse: Callable[[str], T | None]) -> T | None:
        """Return the value of a header, None if it is absent or malformed."""
        text = self._stream.headers.get(header)
        if text is None:
            return None
        value = parse(text)
        if value is None:
            self._ignored.record(self._backend_id, header, text)
        return value

    def _parse_notices(self) -> tuple[Notice, ...]:
        notices: list[Notice] = []
        if self._parse(LEAVING, parse_leaving):
            notices.append(Leaving())
        if self.status == UNAVAILABLE:
            pause_s = self._parse(PAUSE, parse_pause)
            if pause_s is not None:
                notices.append(Pause(pause_s))
        return tuple(notices)

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
            for event in self._stream.items(split_events):
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

    def __init__(self) -> None:
        self._ignored = IgnoredHeaders()

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
        exchange = PlatformExchange(stream, attempt, self._ignored)
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


def _answer_headers(headers) -> Headers:
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_RETURNED and name.lower() not in connection_headers
    )

"""HTTP server: eventlet's WSGI server with bounds on what a client may hold."""

import json
import logging
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import eventlet
from eventlet import wsgi

from poplarspar.events import Event
from poplarspar.exceptions import CallerGone, InvalidRequest, PoplarsparError
from poplarspar.logs import log_event

SEND_BUFFER_BYTES = 8_192
WRITE_TIMEOUT_S = 300.0
URL_LIMIT_BYTES = 4_096
PROTOCOL_KEY = "poplarspar.protocol"
# A caller may reuse a connection until the idle time-out is nearly over, so the
# server waits a little longer before it closes one.
IDLE_GRACE = 1.25
STATUS_TEXT = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
OTHER_STATUS_TEXT = "Backend Server Status"


class BodyTooLarge(InvalidRequest):
    """A request's body is larger than the bound."""


class HeadersTooLarge(InvalidRequest):
    """A request's headers are larger than the bound."""


@dataclass(frozen=True)
class ServerLimits:
    """What a client may send, and how long it may take."""

    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    header_bytes: int = 65_536


@dataclass(frozen=True)
class Request:
    """One HTTP request with its whole body.

    Attributes
    ----------
    target : str
        Path and query as they were sent.
    header_items : tuple of (str, str)
        Headers as they were sent.
    connection : socket or None
        The client's connection, to notice that the client has left.
    arrived_at : float
        Monotonic time in seconds at which the headers were complete.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    query: str = ""
    target: str = ""
    header_items: tuple[tuple[str, str], ...] = ()
    connection: socket.socket | None = None
    arrived_at: float = 0.0


@dataclass(frozen=True)
class Response:
    """One HTTP answer.

    Attributes
    ----------
    body : bytes or iterable of bytes
        The whole body, or its pieces, each of which is sent at once.
    content_type : str or None
        None if `headers` already has it.
    """

    status: int
    body: bytes | Iterable[bytes]
    content_type: str | None = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Response]


def json_response(status: int, document: object) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, json.dumps(document).encode() + b"\n")


class HttpServer:
    """Serves a handler on a listening socket, one task for each connection.

    Parameters
    ----------
    limits : callable
        Returns the `ServerLimits` that hold now.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        *,
        connection_limit: int,
        limits: Callable[[], ServerLimits],
        write_timeout_s: float = WRITE_TIMEOUT_S,
    ) -> None:
        self._listener = listener
        self._handler = handler
        self._limits = limits
        self._write_timeout_s = write_timeout_s
        self._pool = eventlet.GreenPool(connection_limit)
        self._task = eventlet.spawn(self._serve)

    def stop_accepting(self) -> None:
        """Take no new connection; running requests go on."""
        self._task.kill()
        self._listener.close()

    def close(self) -> None:
        """Stop at once."""
        self.stop_accepting()
        for task in list(self._pool.coroutines_running):
            eventlet.kill(task)

    def _serve(self) -> None:
        protocol = type(
            "Protocol",
            (_BoundedProtocol,),
            {"limits": staticmethod(self._limits)},
        )
        wsgi.server(
            self._listener,
            self._application,
            custom_pool=self._pool,
            protocol=protocol,
            log=logging.getLogger("poplarspar.wsgi"),
            log_output=False,
            minimum_chunk_size=1,
            socket_timeout=self._write_timeout_s,
            url_length_limit=URL_LIMIT_BYTES,
            debug=False,
        )

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = self._respond(environ)
        status_text = STATUS_TEXT.get(response.status, OTHER_STATUS_TEXT)
        # The server adds this header itself when it is to close the connection.
        headers = [item for item in response.headers.items() if item[0] != "Connection"]
        if response.content_type is not None:
            headers.insert(0, ("Content-Type", response.content_type))
        if response.headers.get("Connection") == "close":
            environ[PROTOCOL_KEY].close_connection = 1
        whole = isinstance(response.body, bytes)
        if whole:
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} {status_text}", headers)
        return [response.body] if whole else response.body

    def _respond(self, environ: dict) -> Response:
        try:
            request = self._read(environ)
        except InvalidRequest as error:
            # Nobody waits for the rest of a body that is not wanted.
            environ[PROTOCOL_KEY].connection.shutdown(socket.SHUT_RD)
            return self._problem(_status_of(error), error)
        try:
            return self._handler(request)
        except InvalidRequest as error:
            return self._problem(400, error)
        except CallerGone:
            raise
        except PoplarsparError as error:
            log_event(Event.REQUEST_FAILED, cause=str(error))
            return self._problem(500, error)

    @staticmethod
    def _problem(status: int, error: PoplarsparError) -> Response:
        document = {"reason": "invalid_request", "message": str(error), "ran": "no"}
        if status == 500:
            document.update(reason="internal_error", ran="unknown")
        close = {"Connection": "close"}
        body = json.dumps({"error": document}).encode()
        return Response(status, body, headers=close)

    def _read(self, environ: dict) -> Request:
        arrived_at = time.monotonic()
        protocol = environ[PROTOCOL_KEY]
        items = environ["headers_raw"]
        limits = self._limits()
        if sum(len(name) + len(value) + 4 for name, value in items) > (
            limits.header_bytes
        ):
            raise HeadersTooLarge(f"headers: the bound is {limits.header_bytes} bytes")
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        return Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            self._read_body(environ, limits),
            headers,
            environ.get("QUERY_STRING", ""),
            protocol.path,
            items,
            protocol.connection,
            arrived_at,
        )

    @staticmethod
    def _read_body(environ: dict, limits: ServerLimits) -> bytes:
        limit = limits.body_bytes
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit():
            raise InvalidRequest("header Content-Length: must be a whole number")
        if int(length) > limit:
            raise BodyTooLarge(f"body: {length} bytes; the bound is {limit}")
        chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
        if not chunked and int(length) == 0:
            return b""
        late = InvalidRequest("body: did not arrive in time")
        with eventlet.Timeout(limits.header_timeout_s, late):
            try:
                body = environ["wsgi.input"].read(limit + 1 if chunked else int(length))
            except (OSError, ValueError) as error:
                raise InvalidRequest("body: broke off or is malformed") from error
        if len(body) > limit:
            raise BodyTooLarge(f"body: more than the bound of {limit} bytes")
        if not chunked and len(body) < int(length):
            raise InvalidRequest("body: shorter than Content-Length")
        return body


def _status_of(error: InvalidRequest) -> int:
    match error:
        case BodyTooLarge():
            return 413
        case HeadersTooLarge():
            return 431
        case _:
            return 400


class _BoundedProtocol(wsgi.HttpProtocol):
    """Closes connections that are idle or whose headers take too long."""

    limits: Callable[[], ServerLimits]

    def handle_one_request(self, *args, **kwargs):
        """Read one request and answer it."""
        limits = self.limits()
        patience_s = max(limits.idle_timeout_s * IDLE_GRACE, limits.header_timeout_s)
        self._timer = eventlet.Timeout(patience_s)
        try:
            return super().handle_one_request(*args, **kwargs)
        except eventlet.Timeout as timeout:
            if timeout is not self._timer:
                raise
            self.close_connection = True
        finally:
            self._timer.cancel()

    def parse_request(self):
        """Read the headers, which have a time-out of their own."""
        self._timer.cancel()
        self._timer = eventlet.Timeout(self.limits().header_timeout_s)
        return super().parse_request()

    def get_environ(self):
        """Return the request's environment with this protocol."""
        return {**super().get_environ(), PROTOCOL_KEY: self}

    def handle_one_response(self):
        """Answer a request whose headers are complete."""
        self._timer.cancel()
        return super().handle_one_response()

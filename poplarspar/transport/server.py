"""HTTP server: eventlet's WSGI server with limits on sizes, time and connections."""

import json
import logging
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.client import HTTPException

import eventlet
from eventlet import wsgi

from poplarspar.events import Event
from poplarspar.exceptions import (
    CallerGone,
    InvalidRequest,
    MalformedAnswer,
    PoplarsparError,
)
from poplarspar.logs import log_event
from poplarspar.protocol.http_answers import CHUNKED, Chunked, Framing, Sized
from poplarspar.transport.message_reading import read_chunks

SEND_BUFFER_BYTES = 8_192
WRITE_TIMEOUT_S = 300.0
MAX_URL_BYTES = 4_096
PROTOCOL_KEY = "poplarspar.protocol"
# A caller may reuse a connection just before the idle time-out, so the server waits
# slightly longer before it closes one.
IDLE_TIMEOUT_FACTOR = 1.25
# Rounds of the event loop in which connections are accepted, their tasks started, and
# request lines read; the first may end before it looks at any socket.
STOP_ROUNDS = 4
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
    """A request's body is larger than the limit."""


class HeadersTooLarge(InvalidRequest):
    """A request's headers are larger than the limit."""


@dataclass(frozen=True)
class ServerLimits:
    """Limits on the size of a request and on the time that a client may use.

    Attributes
    ----------
    body_bytes, header_bytes : int
        Largest body, and largest sum of all headers.
    header_timeout_s : float
        Longest time in seconds for the headers, and again for the body.
    idle_timeout_s : float
        How long a connection may stay idle between requests, in seconds.
    """

    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    header_bytes: int = 65_536


@dataclass(frozen=True)
class Request:
    """One HTTP request with its complete body.

    Attributes
    ----------
    target : str
        Path and query as the client sent them.
    header_items : tuple of (str, str)
        Headers as the client sent them.
    connection : socket or None
        The client's connection, to detect that the client has disconnected.
    arrived_at : float
        Monotonic time in seconds at which the server had read the headers.
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
        The complete body, or its chunks, which the server sends without buffering.
    content_type : str or None
        None if `headers` contains it.
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
        Returns the current `ServerLimits`.
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
        """Stop accepting connections and close idle ones.

        Requests that the kernel has received by now are still answered, so the calling
        task gives way to those that accept connections and read requests.
        """
        if not self._task.dead:
            for _ in range(STOP_ROUNDS):
                eventlet.sleep(0)
        self._task.kill()
        self._listener.close()

    def wait_ended(self, timeout_s: float) -> bool:
        """Wait until all connections have ended; return False after `timeout_s`.

        Connections end with their requests after `stop_accepting`.
        """
        with eventlet.Timeout(max(0.0, timeout_s), False):
            self._pool.waitall()
        return not self._pool.running()

    def close(self) -> None:
        """Stop accepting connections and cancel the requests in flight."""
        self._task.kill()
        self._listener.close()
        for task in list(self._pool.coroutines_running):
            eventlet.kill(task)

    def _serve(self) -> None:
        protocol = type(
            "Protocol",
            (_TimeoutProtocol,),
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
            url_length_limit=MAX_URL_BYTES,
            debug=False,
        )

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = self._respond(environ)
        status_text = STATUS_TEXT.get(response.status, OTHER_STATUS_TEXT)
        # The WSGI server adds this header when `close_connection` is set.
        headers = [item for item in response.headers.items() if item[0] != "Connection"]
        if response.content_type is not None:
            headers.insert(0, ("Content-Type", response.content_type))
        if response.headers.get("Connection") == "close":
            environ[PROTOCOL_KEY].close_connection = 1
        is_complete = isinstance(response.body, bytes)
        if is_complete:
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} {status_text}", headers)
        return [response.body] if is_complete else response.body

    def _respond(self, environ: dict) -> Response:
        try:
            request = self._read_request(environ)
        except InvalidRequest as error:
            # Stops the WSGI server from reading the rest of a rejected body.
            environ[PROTOCOL_KEY].connection.shutdown(socket.SHUT_RD)
            return self._error_response(_status_of(error), error)
        try:
            return self._handler(request)
        except InvalidRequest as error:
            return self._error_response(400, error)
        except CallerGone:
            raise
        except PoplarsparError as error:
            log_event(Event.REQUEST_FAILED, cause=str(error))
            return self._error_response(500, error)
        except Exception as error:
            # The task must answer also after an error that no layer expects.
            cause = f"{type(error).__name__}: {error}"
            log_event(Event.REQUEST_FAILED, cause=cause)
            return self._error_response(500, PoplarsparError("internal error"))

    @staticmethod
    def _error_response(status: int, error: PoplarsparError) -> Response:
        document = {"reason": "invalid_request", "message": str(error), "ran": "no"}
        if status == 500:
            document.update(reason="internal_error", ran="unknown")
        headers = {"Connection": "close"}
        body = json.dumps({"error": document}).encode()
        return Response(status, body, headers=headers)

    def _read_request(self, environ: dict) -> Request:
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
        framing = _framing(environ)
        match framing:
            case Sized(size_bytes) if size_bytes > limits.body_bytes:
                raise BodyTooLarge(
                    f"body: {size_bytes} bytes; the bound is {limits.body_bytes}"
                )
            case Sized(0):
                return b""
        timeout_error = InvalidRequest("body: did not arrive in time")
        with eventlet.Timeout(limits.header_timeout_s, timeout_error):
            try:
                return _collect_body(environ, framing, limits.body_bytes)
            except (OSError, HTTPException, MalformedAnswer) as error:
                raise InvalidRequest("body: incomplete or malformed") from error


def _framing(environ: dict) -> Framing:
    """Return how a request's body ends; raises `InvalidRequest`."""
    coding = environ.get("HTTP_TRANSFER_ENCODING")
    if coding is not None:
        # A body in another coding would seem to have no length, and be taken for
        # further requests.
        if coding.strip(" \t").lower() != CHUNKED:
            raise InvalidRequest("header Transfer-Encoding: must be chunked")
        return Chunked()
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or not length.isascii():
        raise InvalidRequest("header Content-Length: must be a whole number")
    return Sized(int(length))


def _collect_body(environ: dict, framing: Framing, limit_bytes: int) -> bytes:
    """Read a body in place of the WSGI server, which keeps lists of its chunks."""
    source = environ["wsgi.input"]
    if source.should_send_hundred_continue:
        source.send_hundred_continue_response()
        source.is_hundred_continue_response_sent = True
    match framing:
        case Sized(size_bytes):
            body = source.rfile.read(size_bytes)
            if len(body) < size_bytes:
                raise InvalidRequest("body: shorter than Content-Length")
        case _:
            body = read_chunks(source.rfile, limit_bytes)
            if body is None:
                raise BodyTooLarge(f"body: more than the bound of {limit_bytes} bytes")
    # The WSGI server would read what it takes for the rest of the body.
    source.position = len(body)
    source.chunk_length = 0
    return body


def _status_of(error: InvalidRequest) -> int:
    match error:
        case BodyTooLarge():
            return 413
        case HeadersTooLarge():
            return 431
        case _:
            return 400


class _TimeoutProtocol(wsgi.HttpProtocol):
    """Closes connections that are idle or whose headers arrive too slowly."""

    limits: Callable[[], ServerLimits]

    def handle_one_request(self, *args, **kwargs):
        """Read one request and answer it."""
        limits = self.limits()
        timeout_s = max(
            limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR, limits.header_timeout_s
        )
        self._timer = eventlet.Timeout(timeout_s)
        try:
            return super().handle_one_request(*args, **kwargs)
        except eventlet.Timeout as timeout:
            if timeout is not self._timer:
                raise
            self.close_connection = True
        finally:
            self._timer.cancel()

    def parse_request(self):
        """Read the headers within their own time-out."""
        self._timer.cancel()
        self._timer = eventlet.Timeout(self.limits().header_timeout_s)
        return super().parse_request()

    def get_environ(self):
        """Return the WSGI environment, with this protocol object added."""
        return {**super().get_environ(), PROTOCOL_KEY: self}

    def handle_one_response(self):
        """Answer a request whose headers are complete."""
        self._timer.cancel()
        return super().handle_one_response()

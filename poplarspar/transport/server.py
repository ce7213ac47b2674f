"""HTTP server: eventlet's WSGI server with bounds on what a client may hold."""

import json
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import eventlet
from eventlet import wsgi

from poplarspar.events import Event, log_event
from poplarspar.exceptions import InvalidRequest, PoplarsparError

SEND_BUFFER_BYTES = 8_192
WRITE_TIMEOUT_S = 300.0
URL_LIMIT_BYTES = 4_096
CONNECTION_KEY = "poplarspar.connection"
STATUS_TEXT = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
OTHER_STATUS_TEXT = "Backend Server Status"


class BodyTooLarge(InvalidRequest):
    """A request's body is larger than the bound."""


@dataclass(frozen=True)
class Request:
    """One HTTP request with its whole body."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    query: str = ""


@dataclass(frozen=True)
class Response:
    """One HTTP answer.

    Attributes
    ----------
    body : bytes or iterable of bytes
        The whole body, or its pieces, each of which is sent at once.
    """

    status: int
    body: bytes | Iterable[bytes]
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Response]


def json_response(status: int, document: object) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, json.dumps(document).encode() + b"\n")


class HttpServer:
    """Serves a handler on a listening socket, one task for each connection.

    Parameters
    ----------
    header_timeout_s : float
        Longest time in seconds for a request's headers to arrive.
    body_limit_bytes : int
        Largest body that is read.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        *,
        connection_limit: int,
        header_timeout_s: float,
        body_limit_bytes: int,
    ) -> None:
        self._listener = listener
        self._handler = handler
        self._header_timeout_s = header_timeout_s
        self._body_limit_bytes = body_limit_bytes
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
            {"header_timeout_s": self._header_timeout_s},
        )
        wsgi.server(
            self._listener,
            self._application,
            custom_pool=self._pool,
            protocol=protocol,
            log=logging.getLogger("poplarspar.wsgi"),
            log_output=False,
            minimum_chunk_size=1,
            socket_timeout=WRITE_TIMEOUT_S,
            url_length_limit=URL_LIMIT_BYTES,
            debug=False,
        )

    def _application(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = self._respond(environ)
        status_text = STATUS_TEXT.get(response.status, OTHER_STATUS_TEXT)
        headers = [("Content-Type", response.content_type), *response.headers.items()]
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
            environ[CONNECTION_KEY].shutdown(socket.SHUT_RD)
            return self._problem(413 if isinstance(error, BodyTooLarge) else 400, error)
        try:
            return self._handler(request)
        except InvalidRequest as error:
            return self._problem(400, error)
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
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        return Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            self._read_body(environ),
            headers,
            environ.get("QUERY_STRING", ""),
        )

    def _read_body(self, environ: dict) -> bytes:
        limit = self._body_limit_bytes
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit():
            raise InvalidRequest("header Content-Length: must be a whole number")
        if int(length) > limit:
            raise BodyTooLarge(f"body: {length} bytes; the bound is {limit}")
        chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
        if not chunked and int(length) == 0:
            return b""
        late = InvalidRequest("body: did not arrive in time")
        with eventlet.Timeout(self._header_timeout_s, late):
            try:
                body = environ["wsgi.input"].read(limit + 1 if chunked else int(length))
            except (OSError, ValueError) as error:
                raise InvalidRequest("body: broke off or is malformed") from error
        if len(body) > limit:
            raise BodyTooLarge(f"body: more than the bound of {limit} bytes")
        if not chunked and len(body) < int(length):
            raise InvalidRequest("body: shorter than Content-Length")
        return body


class _BoundedProtocol(wsgi.HttpProtocol):
    """Closes connections whose request headers take too long."""

    header_timeout_s = 10.0

    def handle_one_request(self, *args, **kwargs):
        """Read one request and answer it."""
        self._header_timer = eventlet.Timeout(self.header_timeout_s)
        try:
            return super().handle_one_request(*args, **kwargs)
        except eventlet.Timeout as timeout:
            if timeout is not self._header_timer:
                raise
            self.close_connection = True
        finally:
            self._header_timer.cancel()

    def get_environ(self):
        """Return the request's environment with its connection."""
        return {**super().get_environ(), CONNECTION_KEY: self.connection}

    def handle_one_response(self):
        """Answer a request whose headers are complete."""
        self._header_timer.cancel()
        return super().handle_one_response()

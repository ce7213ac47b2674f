"""HTTP requests to backend servers and to the platform's services."""

import json
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import urllib3
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from poplarspar.exceptions import ConnectFailed, ConnectionLost, TransportError
from poplarspar.transport.addresses import split_address

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BUFFER_BYTES = 16_384
MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_BYTES = 65_536
KEPT_CONNECTIONS = 8
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]
# A silent connection is found after about three seconds, in seconds and counts.
PROBE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]


@dataclass(frozen=True)
class HttpAnswer:
    """A whole HTTP answer."""

    status: int
    body: bytes
    headers: urllib3.HTTPHeaderDict

    def json(self) -> Any:
        """Return the body's JSON; raises `TransportError` if it is none."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise TransportError("the answer is not JSON") from error


class _ResetAwareSocket(GreenSocket):
    """Raises when the other end resets the connection.

    The library takes a reset for the end of the data, so an answer without a
    length that broke off would look complete.
    """

    def _recv_loop(self, receive, empty, *arguments):
        while True:
            try:
                return receive(*arguments)
            except BlockingIOError:
                self._read_trampoline()


class _Connection(HTTPConnection):
    """A connection whose resets show."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        aware = _ResetAwareSocket(opened.fd)
        # The first wrapper closes the descriptor when it is collected.
        aware.opened = opened
        return aware


class HttpStream:
    """An HTTP answer whose body is read piece by piece on its own connection."""

    def __init__(
        self,
        connection: HTTPConnection,
        sock: socket.socket,
        answer: urllib3.HTTPResponse,
    ) -> None:
        self._connection = connection
        self._sock = sock
        self._answer = answer
        self._aborted = False
        self.status = answer.status
        self.headers = answer.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they come; raises `ConnectionLost`."""
        while True:
            try:
                data = self._answer.read1(READ_BYTES)
            except (HTTPError, HTTPException, OSError) as error:
                raise ConnectionLost(f"the answer broke off: {error}") from error
            if self._aborted:
                # The end of the data is this end's own, also without a length.
                raise ConnectionLost("the answer was broken off here")
            if not data:
                return
            yield data

    def set_read_timeout(self, timeout_s: float) -> None:
        """Bound the time that each further read may wait."""
        self._sock.settimeout(timeout_s)

    def abort(self) -> None:
        """End the connection under a task that reads from it."""
        self._aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other end has closed it already, which serves as well.
            pass

    def close(self) -> None:
        """Close the connection, whatever is left to read."""
        self._answer.close()
        self._connection.close()


def open_stream(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    read_timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    headers: Mapping[str, str] | None = None,
) -> HttpStream:
    """Send a request on a fresh connection and return the answer's stream.

    A fresh connection cannot be one that the other end has forgotten.

    Raises
    ------
    ConnectFailed
        If nothing was sent.
    ConnectionLost
        If the request may have arrived.
    """
    host, port = split_address(address)
    connection = _Connection(
        host, port, timeout=connect_timeout_s, socket_options=SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except (HTTPError, OSError) as error:
        raise ConnectFailed(f"no connection to {address}") from error
    try:
        return _exchange(connection, method, path, body, headers, read_timeout_s)
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        connection.close()
        message = f"no answer from {address}: {type(error).__name__}"
        raise ConnectionLost(message) from error
    except BaseException:
        # The task was ended while it waited; the other end has to notice.
        connection.close()
        raise


def _exchange(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str] | None,
    read_timeout_s: float,
) -> HttpStream:
    sock = connection.sock
    sock.settimeout(read_timeout_s)
    connection.request(
        method,
        path,
        body=body or None,
        headers=headers or {},
        preload_content=False,
        decode_content=False,
    )
    connection.timeout = read_timeout_s
    return HttpStream(connection, sock, connection.getresponse())


def read_body(stream: HttpStream, limit_bytes: int = MAX_ANSWER_BYTES) -> bytes:
    """Return the whole body of an answer; raises `ConnectionLost`."""
    parts = []
    size = 0
    for chunk in stream.chunks():
        size += len(chunk)
        if size > limit_bytes:
            raise ConnectionLost(f"answer larger than {limit_bytes} bytes")
        parts.append(chunk)
    return b"".join(parts)


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    read_timeout_s: float,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Send a request on a fresh connection and return the whole answer."""
    stream = open_stream(
        address,
        method,
        path,
        body,
        read_timeout_s=read_timeout_s,
        headers=headers,
    )
    try:
        return HttpAnswer(stream.status, read_body(stream), stream.headers)
    finally:
        stream.close()


class HttpClient:
    """Requests to one address over connections that are kept open.

    Parameters
    ----------
    probe_silence : bool
        Whether connections that fell silent are found within seconds while an
        answer is awaited.
    """

    def __init__(self, address: str, tcp_keepalive: bool = False) -> None:
        host, port = split_address(address)
        options = SOCKET_OPTIONS + (PROBE_OPTIONS if tcp_keepalive else [])
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=KEPT_CONNECTIONS, retries=False, socket_options=options
        )

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        read_timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request and return the whole answer."""
        pool = self._pool
        try:
            answer = pool.urlopen(
                method,
                path,
                body=body or None,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, read_timeout_s), read=read_timeout_s
                ),
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise ConnectFailed(f"no connection to {pool.host}:{pool.port}") from error
        except (HTTPError, OSError) as error:
            message = f"no answer from {pool.host}:{pool.port}: {type(error).__name__}"
            raise ConnectionLost(message) from error
        return HttpAnswer(answer.status, answer.data, answer.headers)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

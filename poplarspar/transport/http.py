"""HTTP client for backend servers, stewards and the platform's services."""

import json
import socket
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any, TypeVar

import eventlet
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from poplarspar.events import Event
from poplarspar.exceptions import (
    ConnectFailed,
    ConnectionLost,
    MalformedAnswer,
    PeerDisconnected,
    TransportError,
    UnreadableAnswer,
)
from poplarspar.logs import log_event
from poplarspar.transport.addresses import split_address
from poplarspar.transport.bodies import COLLECTOR, MAX_ANSWER_BYTES
from poplarspar.transport.strict_sockets import (
    StrictConnection,
    StrictHeadConnection,
    StrictSocket,
)
from poplarspar.transport.turns import TURNS

T = TypeVar("T")
CONNECT_TIMEOUT_S = 1.0
RECEIVE_BUFFER_BYTES = 16_384
CHUNK_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 8
# What the libraries and `StrictResponse` raise when an exchange breaks.
EXCHANGE_ERRORS = (HTTPError, HTTPException, OSError, ValueError, MalformedAnswer)
# Time for the rest of a large answer after its first part. A peer that sends a byte now
# and then would otherwise never end it.
MAX_ANSWER_S = 5.0
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]
# TCP keepalive detects a dead connection after about 3 s; the times are in seconds.
KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]


@dataclass(frozen=True)
class HttpAnswer:
    """An HTTP answer with its complete body."""

    status: int
    body: bytes
    headers: urllib3.HTTPHeaderDict

    def json(self) -> Any:
        """Return the decoded body; raises `TransportError` if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise TransportError("the answer is not JSON") from error


class HttpStream:
    """An HTTP answer whose body is read in chunks, on a connection of its own."""

    def __init__(
        self,
        address: str,
        connection: HTTPConnection,
        sock: StrictSocket,
        answer: urllib3.HTTPResponse,
        read_timeout_s: float,
    ) -> None:
        self._address = address
        self._connection = connection
        self._sock = sock
        self._answer = answer
        self._read_timeout_s = read_timeout_s
        self._reads_end_at: float | None = None
        self._aborted = False
        self.status = answer.status
        self.headers = answer.headers

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks, or none, so its end is certain."""
        answer = self._answer
        return answer.length_remaining is not None or answer.chunked

    def chunks(self) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive; raises `ConnectionLost`."""
        while True:
            self._sock.deadline = (
                time.monotonic() + self._read_timeout_s
                if self._reads_end_at is None
                else self._reads_end_at
            )
            try:
                data = self._answer.read1(CHUNK_BYTES)
            except EXCHANGE_ERRORS as error:
                self._check_aborted()
                message = f"connection lost while reading the answer: {error}"
                raise _connection_error(self._address, message, error) from error
            self._check_aborted()
            if not data:
                return
            yield data

    def items(self, split: Callable[[Iterable[bytes]], Iterator[T]]) -> Iterator[T]:
        """Yield what `split` makes of the chunks, of which one may have thousands."""
        for item in split(self.chunks()):
            TURNS.check()
            yield item

    def _check_aborted(self) -> None:
        """Raise `ConnectionLost` after `abort`, which also ends the data."""
        if self._aborted:
            raise ConnectionLost("the answer was aborted by this process")

    def set_read_timeout(self, timeout_s: float) -> None:
        """Limit the time in seconds of all reads until the next call.

        Before the first call, the read time-out applies to each chunk.
        """
        self._sock.settimeout(timeout_s)
        self._reads_end_at = time.monotonic() + timeout_s

    def abort(self) -> None:
        """Shut the connection down while another task reads from it."""
        self._aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed the connection already.
            pass

    def close(self) -> None:
        """Close the connection and discard unread data."""
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
    """Send a request on a new connection and return the answer's stream.

    A reused connection might be one that the peer has already dropped.

    Parameters
    ----------
    read_timeout_s : float
        Longest time until the head of the answer is complete, and then until each
        chunk of its body is.

    Raises
    ------
    ConnectFailed
        If nothing was sent.
    ConnectionLost
        If the request may have arrived.
    """
    host, port = split_address(address)
    connection = StrictConnection(
        host, port, timeout=connect_timeout_s, socket_options=SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except (HTTPError, OSError, OverflowError) as error:
        # A port beyond the valid range raises `OverflowError`.
        raise ConnectFailed(f"no connection to {address}") from error
    try:
        return _exchange(
            address, connection, method, path, body, headers, read_timeout_s
        )
    except EXCHANGE_ERRORS as error:
        connection.close()
        raise _no_answer(address, error) from error
    except BaseException:
        # The task was killed while it waited. Closing the connection cancels the
        # request at the peer.
        connection.close()
        raise


def _no_answer(address: str, error: Exception) -> ConnectionLost:
    """Return the error of an exchange without a complete answer."""
    message = f"no answer from {address}: {type(error).__name__}"
    return _connection_error(address, message, error)


def _connection_error(address: str, message: str, error: Exception) -> ConnectionLost:
    """Return the error of a broken exchange, which tells disconnections apart."""
    match error:
        case MalformedAnswer():
            log_event(Event.ANSWER_MALFORMED, peer=address, cause=str(error))
            return UnreadableAnswer(f"malformed answer from {address}: {error}")
        case ReadTimeoutError() | TimeoutError():
            return ConnectionLost(message)
        case OSError() | HTTPError():
            return PeerDisconnected(message)
        case _:
            # The library could not send the request.
            return ConnectionLost(message)


def _exchange(
    address: str,
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str] | None,
    read_timeout_s: float,
) -> HttpStream:
    sock = connection.sock
    sock.settimeout(read_timeout_s)
    sock.deadline = time.monotonic() + read_timeout_s
    connection.request(
        method,
        path,
        body=body or None,
        headers=headers or {},
        preload_content=False,
        decode_content=False,
    )
    connection.timeout = read_timeout_s
    answer = connection.getresponse()
    return HttpStream(address, connection, sock, answer, read_timeout_s)


def read_body(stream: HttpStream, limit_bytes: int = MAX_ANSWER_BYTES) -> bytes:
    """Return the complete body of an answer.

    Raises `ConnectionLost` if the connection breaks or the body is too large.
    """
    return COLLECTOR.collect(stream.chunks(), limit_bytes)


def _chunks(answer: urllib3.HTTPResponse) -> Iterator[bytes]:
    """Yield chunks of a pooled answer's body."""
    while data := answer.read1(CHUNK_BYTES):
        yield data


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    read_timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Send a request on a new connection and return the complete answer.

    Parameters
    ----------
    read_timeout_s : float
        Longest time until the head of the answer is complete, and then its body.
    """
    stream = open_stream(
        address,
        method,
        path,
        body,
        read_timeout_s=read_timeout_s,
        connect_timeout_s=connect_timeout_s,
        headers=headers,
    )
    try:
        stream.set_read_timeout(read_timeout_s)
        return HttpAnswer(stream.status, read_body(stream), stream.headers)
    finally:
        stream.close()


class HttpClient:
    """Sends requests to one address over persistent connections.

    Parameters
    ----------
    tcp_keepalive : bool
        Whether TCP keepalive detects a dead connection within seconds while the
        client waits for an answer.
    """

    def __init__(self, address: str, tcp_keepalive: bool = False) -> None:
        host, port = split_address(address)
        options = SOCKET_OPTIONS + (KEEPALIVE_OPTIONS if tcp_keepalive else [])
        self._pool = urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
            socket_options=options,
        )
        self._pool.ConnectionCls = StrictHeadConnection

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        read_timeout_s: float,
        answer_timeout_s: float | None = None,
        limit_bytes: int = MAX_ANSWER_BYTES,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request and return the complete answer.

        Parameters
        ----------
        read_timeout_s : float
            Longest wait for any part of the answer.
        answer_timeout_s : float or None
            Longest time until the answer is complete, by default `MAX_ANSWER_S` more
            than the wait for its first part.
        limit_bytes : int
            Largest body; a larger one raises `ConnectionLost`.
        """
        pool = self._pool
        if answer_timeout_s is None:
            answer_timeout_s = read_timeout_s + MAX_ANSWER_S
        late = ConnectionLost(f"no whole answer from {pool.host}:{pool.port} in time")
        with eventlet.Timeout(answer_timeout_s, late):
            return self._send(method, path, body, read_timeout_s, limit_bytes, headers)

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        read_timeout_s: float,
        limit_bytes: int,
        headers: Mapping[str, str] | None,
    ) -> HttpAnswer:
        pool = self._pool
        try:
            answer = pool.urlopen(
                method,
                path,
                body=body or None,
                headers=headers,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, read_timeout_s), read=read_timeout_s
                ),
            )
            with ExitStack() as stack:
                # Closes the connection unless the answer has been read to its end.
                stack.callback(answer.close)
                data = COLLECTOR.collect(_chunks(answer), limit_bytes)
                stack.pop_all()
            answer.release_conn()
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise ConnectFailed(f"no connection to {pool.host}:{pool.port}") from error
        except EXCHANGE_ERRORS as error:
            raise _no_answer(f"{pool.host}:{pool.port}", error) from error
        return HttpAnswer(answer.status, data, answer.headers)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

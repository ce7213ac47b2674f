"""HTTP requests to backend servers and to the platform's services."""

import json
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
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


class HttpStream:
    """An HTTP answer whose body is read piece by piece on its own connection."""

    def __init__(
        self, pool: urllib3.HTTPConnectionPool, answer: urllib3.HTTPResponse
    ) -> None:
        self._pool = pool
        self._answer = answer
        self.status = answer.status
        self.headers = answer.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they come; raises `ConnectionLost`."""
        try:
            yield from self._answer.stream(READ_BYTES)
        except (HTTPError, OSError) as error:
            raise ConnectionLost(f"the answer broke off: {error}") from error

    def close(self) -> None:
        """Close the connection, whatever is left to read."""
        self._answer.close()
        self._pool.close()


def open_stream(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    read_timeout_s: float,
    headers: dict[str, str] | None = None,
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
    pool = _pool(address, read_timeout_s)
    try:
        answer = _send(pool, method, path, body, headers, preload=False)
    except TransportError:
        pool.close()
        raise
    return HttpStream(pool, answer)


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    read_timeout_s: float,
    headers: dict[str, str] | None = None,
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
        parts = []
        size = 0
        for chunk in stream.chunks():
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise ConnectionLost(f"answer larger than {MAX_ANSWER_BYTES} bytes")
            parts.append(chunk)
        return HttpAnswer(stream.status, b"".join(parts), stream.headers)
    finally:
        stream.close()


class HttpClient:
    """Requests to one address over connections that are kept open."""

    def __init__(self, address: str) -> None:
        self._pool = _pool(address, None, connections=8)

    def send(
        self, method: str, path: str, body: bytes = b"", *, read_timeout_s: float
    ) -> HttpAnswer:
        """Send a request and return the whole answer."""
        answer = _send(
            self._pool,
            method,
            path,
            body,
            None,
            preload=True,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
        )
        return HttpAnswer(answer.status, answer.data, answer.headers)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()


def _pool(
    address: str, read_timeout_s: float | None, connections: int = 1
) -> urllib3.HTTPConnectionPool:
    host, port = split_address(address)
    return urllib3.HTTPConnectionPool(
        host,
        port,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
        maxsize=connections,
        retries=False,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        ],
    )


def _send(pool, method, path, body, headers, *, preload, **options):
    try:
        return pool.urlopen(
            method,
            path,
            body=body or None,
            headers=headers,
            redirect=False,
            preload_content=preload,
            **options,
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise ConnectFailed(f"no connection to {pool.host}:{pool.port}") from error
    except (HTTPError, OSError) as error:
        message = f"no answer from {pool.host}:{pool.port}: {type(error).__name__}"
        raise ConnectionLost(message) from error

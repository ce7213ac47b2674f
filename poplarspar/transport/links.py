"""Links between daemons: authenticated frames over TCP, one task for each link.

A frame consists of the length of its data, an HMAC of the data, and the data. The
link verifies the HMAC before it decodes the data, so the decoder receives only
what a daemon of the cluster encoded.
"""

import hmac
import socket
import struct
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass

import eventlet

from poplarspar.events import Event
from poplarspar.exceptions import (
    ConnectFailed,
    ConnectionLost,
    FrameTooLong,
    MalformedFrame,
    ProtocolError,
    TransportError,
)
from poplarspar.logs import log_event
from poplarspar.protocol.peers import Hello, Message, decode, encode
from poplarspar.transport.addresses import split_address
from poplarspar.transport.fair_sockets import FairSocket

FRAME_HEADER = struct.Struct(">I32s")
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_HELLO_BYTES = 1024
HELLO_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_LINKS = 2048


class Link:
    """A connection that carries authenticated messages, one after the other.

    Parameters
    ----------
    token : str
        The cluster's secret, which is the HMAC key.
    """

    def __init__(self, sock: socket.socket, token: str) -> None:
        self._sock = sock
        self._key = token.encode()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message: Message) -> None:
        """Send one message; raises `ConnectionLost`."""
        self.send_frame(self.frame(message))

    def frame(self, message: Message) -> bytes:
        """Return the frame of a message, for any link with the same token."""
        data = encode(message)
        return FRAME_HEADER.pack(len(data), self._digest(data)) + data

    def send_frame(self, frame: bytes) -> None:
        """Send a message that is a frame already; raises `ConnectionLost`."""
        try:
            self._sock.sendall(frame)
        except OSError as error:
            raise ConnectionLost(f"cannot send to peer: {error}") from error

    def receive(
        self, timeout_s: float | None = None, limit_bytes: int = MAX_FRAME_BYTES
    ) -> Message:
        """Return the next message.

        Parameters
        ----------
        timeout_s : float or None
            Longest time in seconds until the message has arrived completely.
        limit_bytes : int
            Largest accepted frame.

        Raises
        ------
        ConnectionLost
            If the connection ends or the message is not complete in time.
        FrameTooLong
            If the frame is larger than `limit_bytes`.
        ProtocolError
            If the digest is wrong or the data cannot be decoded.
        """
        timeout_error = ConnectionLost(
            f"no complete message from peer within {timeout_s} s"
        )
        with eventlet.Timeout(timeout_s, timeout_error):
            length, digest = FRAME_HEADER.unpack(self._read(FRAME_HEADER.size))
            if length > limit_bytes:
                raise FrameTooLong(f"frame of {length} bytes; bound is {limit_bytes}")
            data = self._read(length)
        if not hmac.compare_digest(digest, self._digest(data)):
            raise MalformedFrame("the frame's digest does not match")
        return decode(data)

    def request(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return the answer."""
        self.send(message)
        return self.receive(timeout_s)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _digest(self, data: bytes) -> bytes:
        return hmac.digest(self._key, data, "sha256")

    def _read(self, size: int) -> bytes:
        parts = []
        while size:
            try:
                part = self._sock.recv(min(size, 65536))
            except OSError as error:
                raise ConnectionLost(f"cannot read from peer: {error}") from error
            if not part:
                raise ConnectionLost("peer closed the connection")
            parts.append(part)
            size -= len(part)
        return b"".join(parts)


@dataclass(frozen=True)
class Identity:
    """Name of this process and its cluster's secret."""

    name: str
    token: str


def connect(address: str, identity: Identity) -> Link:
    """Open a link and send a hello; raises `ConnectFailed` or `ConnectionLost`."""
    timeout_error = ConnectFailed(f"no connection to {address} in time")
    try:
        with eventlet.Timeout(CONNECT_TIMEOUT_S, timeout_error):
            sock = FairSocket.wrap(eventlet.connect(split_address(address)))
    except OSError as error:
        raise ConnectFailed(f"no connection to {address}: {error}") from error
    link = Link(sock, identity.token)
    link.send(Hello(identity.name))
    return link


class LinkServer:
    """Accepts links and runs one task for each.

    Parameters
    ----------
    token : str
        The cluster's secret.
    serve : callable
        Serves one link, given the peer's name, until it raises.
    """

    def __init__(
        self,
        listener: socket.socket,
        token: str,
        serve: Callable[[Link, str], None],
    ) -> None:
        self._listener = listener
        self._token = token
        self._serve = serve
        self._pool = eventlet.GreenPool(MAX_LINKS)
        self._task = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting and close all links."""
        self._task.kill()
        self._listener.close()
        for task in list(self._pool.coroutines_running):
            eventlet.kill(task)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                # The process may have run out of file descriptors; other links will
                # free some.
                eventlet.sleep(HELLO_TIMEOUT_S)
                continue
            self._pool.spawn_n(self._run_link, sock)

    def _run_link(self, sock: socket.socket) -> None:
        with closing(Link(sock, self._token)) as link:
            name = ""
            try:
                name = self._receive_hello(link)
                self._serve(link, name)
            except ProtocolError as error:
                log_event(Event.PEER_REFUSED, peer=name, cause=str(error))
            except FrameTooLong as error:
                log_event(Event.PEER_REFUSED, peer=name, cause=str(error))
            except TransportError:
                # The peer disconnected or stopped sending; if it still runs, it
                # reconnects.
                pass
            except Exception as error:
                cause = f"{type(error).__name__}: {error}"
                log_event(Event.TASK_FAILED, task=f"link of {name}", cause=cause)

    def _receive_hello(self, link: Link) -> str:
        match link.receive(HELLO_TIMEOUT_S, MAX_HELLO_BYTES):
            case Hello(name):
                return name
            case _:
                raise ProtocolError("the first message must be a hello")

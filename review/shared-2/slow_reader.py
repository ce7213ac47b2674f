"""A proxy before a backend server, which so reads what it is sent at a set rate."""

import re

import eventlet
from eventlet.green import socket

PIECE_BYTES = 16_384
RECEIVE_BUFFER_BYTES = 65_536
ATTEMPT_ID = re.compile(rb"\r\nAttempt-Id: *([^\r\n]+)", re.IGNORECASE)


class SlowReader:
    """Passes connections on to a backend server.

    Parameters
    ----------
    bytes_per_s : float
        Rate at which each connection is read, 0 for no limit.
    arrived : set of str or None
        Gets the ids of the requests whose heads have arrived.
    """

    def __init__(
        self, upstream: str, bytes_per_s: float, arrived: set[str] | None = None
    ) -> None:
        host, _, port = upstream.partition(":")
        self._upstream = (host, int(port))
        self.bytes_per_s = bytes_per_s
        self._arrived = set() if arrived is None else arrived
        self._listener = socket.socket()
        # Connections inherit it.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(512)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn(self._connect, client)

    def _connect(self, client) -> None:
        try:
            server = socket.create_connection(self._upstream)
        except OSError:
            client.close()
            return
        back = eventlet.spawn(self._pass, server, client, 0.0)
        self._pass(client, server, self.bytes_per_s)
        back.wait()
        client.close()
        server.close()

    def _pass(self, source, target, bytes_per_s: float) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                if found := ATTEMPT_ID.search(data):
                    self._arrived.add(found[1].decode())
                target.sendall(data)
                if bytes_per_s:
                    eventlet.sleep(len(data) / bytes_per_s)
        except OSError:
            pass
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

"""A proxy before the store that can fall silent: it takes bytes and passes none on."""

import eventlet
from eventlet.event import Event
from eventlet.green import socket

PIECE_BYTES = 65_536


class SilentGate:
    """Passes connections on to an upstream address while it is open."""

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.partition(":")
        self._upstream = (host, int(port))
        self._opened = Event()
        self._opened.send()
        listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        eventlet.spawn(self._accept, listener)

    def close(self) -> None:
        """Fall silent."""
        self._opened = Event()

    def open(self) -> None:
        """Pass on again, also what was held up."""
        self._opened.send()

    def _accept(self, listener) -> None:
        while True:
            client, _ = listener.accept()
            eventlet.spawn(self._connect, client)

    def _connect(self, client) -> None:
        self._opened.wait()
        try:
            server = socket.create_connection(self._upstream)
        except OSError:
            client.close()
            return
        eventlet.spawn(self._pass, server, client)
        self._pass(client, server)

    def _pass(self, source, target) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                self._opened.wait()
                target.sendall(data)
        except OSError:
            pass
        self._opened.wait()
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

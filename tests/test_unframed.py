"""Answers without a length: one that is reset on the way is not complete."""

import standins.common  # noqa: F401  # isort: skip

import socket
import struct
import unittest

import eventlet

from poplarspar.exceptions import ConnectionLost
from poplarspar.transport.http import open_stream, read_body

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# Closing with this option resets the connection.
RESET = struct.pack("ii", 1, 0)


class UnframedTest(unittest.TestCase):
    def serve_once(self, reset: bool) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))

        def serve():
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(HEAD + b"half")
            self.read_some.wait()
            if reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                connection.shutdown(socket.SHUT_WR)
            connection.close()

        self.read_some = eventlet.event.Event()
        eventlet.spawn(serve)
        self.addCleanup(listener.close)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def read(self, reset: bool) -> bytes:
        stream = open_stream(self.serve_once(reset), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        chunks = stream.chunks()
        first = next(chunks)
        self.read_some.send()
        return first + b"".join(chunks)

    def test_closed_is_complete(self):
        self.assertEqual(b"half", self.read(reset=False))

    def test_reset_is_not_complete(self):
        with self.assertRaises(ConnectionLost):
            self.read(reset=True)

    def test_broken_off_here_is_not_complete(self):
        stream = open_stream(self.serve_once(False), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        chunks = stream.chunks()
        next(chunks)
        stream.abort()
        with self.assertRaises(ConnectionLost):
            next(chunks)

    def test_reset_before_the_body_is_read(self):
        stream = open_stream(self.serve_once(True), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        self.read_some.send()
        with self.assertRaises(ConnectionLost):
            read_body(stream)


if __name__ == "__main__":
    unittest.main()

"""Tests that an answer without a length is complete only after an orderly close.

A connection that is reset, or aborted locally, would otherwise pass for the end of
the answer, and the caller would get a truncated one.
"""

import standins.common  # noqa: F401  # isort: skip

import socket
import struct
import unittest

import eventlet

from poplarspar.exceptions import ConnectionLost, PeerDisconnected
from poplarspar.transport.http import open_stream, read_body

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# With this SO_LINGER value, closing resets the connection.
RESET = struct.pack("ii", 1, 0)


class UnframedTest(unittest.TestCase):
    def serve_once(self, reset: bool) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))

        def serve():
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(HEAD + b"half")
            self.body_read.wait()
            if reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                connection.shutdown(socket.SHUT_WR)
            connection.close()

        self.body_read = eventlet.event.Event()
        eventlet.spawn(serve)
        self.addCleanup(listener.close)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def read(self, reset: bool) -> bytes:
        stream = open_stream(self.serve_once(reset), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        chunks = stream.chunks()
        first = next(chunks)
        self.body_read.send()
        return first + b"".join(chunks)

    def test_closed_answer_is_complete(self):
        self.assertEqual(b"half", self.read(reset=False))

    def test_reset_answer_is_incomplete(self):
        with self.assertRaises(PeerDisconnected):
            self.read(reset=True)

    def test_time_out_is_no_disconnection(self):
        stream = open_stream(self.serve_once(False), "GET", "/", read_timeout_s=0.2)
        self.addCleanup(stream.close)
        chunks = stream.chunks()
        next(chunks)
        with self.assertRaises(ConnectionLost) as raised:
            next(chunks)
        self.assertNotIsInstance(raised.exception, PeerDisconnected)

    def test_aborted_answer_is_incomplete(self):
        stream = open_stream(self.serve_once(False), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        chunks = stream.chunks()
        next(chunks)
        stream.abort()
        with self.assertRaises(ConnectionLost) as raised:
            next(chunks)
        self.assertNotIsInstance(raised.exception, PeerDisconnected)

    def test_reset_before_reading_is_incomplete(self):
        stream = open_stream(self.serve_once(True), "GET", "/", read_timeout_s=5.0)
        self.addCleanup(stream.close)
        self.body_read.send()
        with self.assertRaises(ConnectionLost):
            read_body(stream)


if __name__ == "__main__":
    unittest.main()

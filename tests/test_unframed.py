"""Tests that an answer without a length is complete only after an orderly close.

A connection that is reset, or aborted locally, would otherwise pass for the end of
the answer, and the caller would get a truncated one.
"""

import standins.common  # noqa: F401  # isort: skip

import socket
import struct
import unittest

import eventlet

from poplarspar.coordination.forwarding import Attempt
from poplarspar.exceptions import BackendFailed, ConnectionLost, PeerDisconnected
from poplarspar.platform.upstream import PlatformUpstream
from poplarspar.transport.http import open_stream, read_body
from tests.test_forwarding import request

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Signature: s\r\n"
)
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


class UnframedStreamTest(unittest.TestCase):
    """Streams whose connection the backend server closes in an orderly way."""

    def read(self, head, body):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(STREAM_HEAD + head + b"\r\n" + body)
            connection.close()

        eventlet.spawn(serve)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        attempt = Attempt(request(), "w", "s1", address, 5.0, 5.0, 1.0, None, None)
        exchange = PlatformUpstream().send(attempt)
        self.addCleanup(exchange.close)
        return [event.number for event in exchange.events()]

    def test_stream_without_length_or_chunks_is_complete_at_its_end(self):
        self.assertEqual([1, 2], self.read(b"", b"id: 1\n\nid: 2\n\n"))

    # Guards against an empty stream for the caller when the backend server crashes.
    def test_stream_that_ends_before_its_first_event_has_broken_off(self):
        with self.assertRaises(BackendFailed) as raised:
            self.read(b"", b"")
        self.assertTrue(raised.exception.disconnected)

    def test_stream_that_ends_inside_an_event_has_broken_off(self):
        with self.assertRaises(BackendFailed):
            self.read(b"", b"id: 1\n\nid: 2\n")

    def test_empty_stream_with_chunks_is_complete(self):
        self.assertEqual([], self.read(b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()

"""Peers that send faster than a task can decode, so that it never waits for them.

They send from threads of the system, which run whatever the tasks of the process do.
"""

import standins.common  # noqa: F401  # isort: skip

import time
import tracemalloc
import unittest
from contextlib import contextmanager

import eventlet
from eventlet.patcher import original

from poplarspar.exceptions import BackendFailed, CoordinationError
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.store import PlatformStore
from poplarspar.protocol.peers import Hello
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.backends import HttpReportReader
from poplarspar.transport.bodies import BodyCollector
from poplarspar.transport.http import send_request
from poplarspar.transport.links import Identity, LinkServer, connect
from poplarspar.transport.server import HttpServer, Response, ServerLimits
from poplarspar.transport.turns import TURNS
from tests.test_endless_answers import AttemptTestCase
from tests.test_forwarding import backend

socket = original("socket")
threading = original("threading")

# A request counts as unanswered half a second after its time-out.
LONGEST_PAUSE_S = 0.5
READ_S = 1.5
# A report is asked for several times a second.
LONGEST_WORK_S = 0.05
PIECES_BYTES = 120_000
TOKEN = "secret"
MAX_BODY_BYTES = 4_000_000
SOUND_REQUESTS = 10
SOUND_STREAMS = 30
SOUND_EVENTS = 20
# A task may be paused by the system in its turn.
MOST_ENDED_SHARE = 0.1

SIGNED = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes before the endless ones, and the endless ones.
BODIES = {
    "chunks of one byte": (SIGNED + CHUNKED, b"1\r\nx\r\n"),
    "chunks of two bytes": (SIGNED + CHUNKED, b"2\r\nxy\r\n"),
    "chunks with extensions": (SIGNED + CHUNKED, b"1;a=b\r\nx\r\n"),
    "chunk extension": (SIGNED + CHUNKED + b"1", b";a=b"),
    "trailers": (SIGNED + CHUNKED + b"0\r\n", b"a: b\r\n"),
    "no length": (SIGNED + b"\r\n", b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 C\r\n\r\n"),
}
STREAMS = {
    "chunks of one byte": (STREAM + CHUNKED, b"1\r\nx\r\n"),
    "chunks with comments": (STREAM + CHUNKED, b"3\r\n:\n\n\r\n"),
    "comments": (STREAM + b"\r\n", b":\n\n"),
    "one event": (STREAM + b"\r\n", b"id:1\n\n"),
    "trailers": (STREAM + CHUNKED + b"0\r\n", b"a: b\r\n"),
}
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
REQUESTS = {
    "chunks of one byte": (POST + CHUNKED, b"1\r\nx\r\n"),
    "chunks with extensions": (POST + CHUNKED, b"1;a=b\r\nx\r\n"),
    "chunk extension": (POST + CHUNKED + b"1", b";a=b"),
    "trailers": (POST + CHUNKED + b"0\r\n", b"a: b\r\n"),
    "requests": (b"", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
}


def flood(connection, first, rest):
    """Send `rest` until the connection is closed, and read what comes."""

    def discard():
        try:
            while connection.recv(65_536):
                pass
        except OSError:
            pass

    threading.Thread(target=discard, daemon=True).start()
    pieces = rest * (PIECES_BYTES // len(rest) + 1)
    try:
        connection.sendall(first)
        while True:
            connection.sendall(pieces)
    except OSError:
        connection.close()


class FloodingServer:
    """Answers each connection with bytes without end."""

    def __init__(self, first, rest):
        self._answer = first, rest
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        try:
            while True:
                connection, _ = self._listener.accept()
                self._connections.append(connection)
                connection.recv(65_536)
                arguments = (connection, *self._answer)
                threading.Thread(target=flood, args=arguments, daemon=True).start()
        except OSError:
            pass

    def close(self):
        for sock in (*self._connections, self._listener):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class BusyPeerTestCase(AttemptTestCase):
    timeout_s = READ_S

    @contextmanager
    def others_run(self):
        """Check that a task that only waits for its turn runs all the while."""
        pauses = []

        def run():
            while True:
                began_at = time.monotonic()
                eventlet.sleep(0.005)
                pauses.append(time.monotonic() - began_at)

        task = eventlet.spawn(run)
        eventlet.sleep(0.05)
        yield
        eventlet.sleep(0.05)
        task.kill()
        self.assertLess(max(pauses), LONGEST_PAUSE_S)

    def flooding_server(self, first, rest):
        server = FloodingServer(first, rest)
        self.addCleanup(server.close)
        return server.address

    def check(self, cases, receive, count=1):
        """Check that `count` tasks with `receive` don't hold up the others."""
        for name, (first, rest) in cases.items():
            with self.subTest(case=name), self.others_run():
                address = self.flooding_server(first, rest)
                tasks = [eventlet.spawn(receive, address) for _ in range(count)]
                for task in tasks:
                    task.wait()


class AnswerTest(BusyPeerTestCase):
    def read_failing_body(self, address):
        with self.assertRaises(BackendFailed):
            self.read_body(address)

    def read_failing_events(self, address):
        with self.assertRaises(BackendFailed):
            exchange = self.send(address)
            exchange.set_read_timeout(self.timeout_s)
            for _ in exchange.events():
                pass

    # Guards against a node that hangs while it reads one answer.
    def test_answer_in_small_pieces_does_not_hold_up_others(self):
        self.check(BODIES, self.read_failing_body)

    def test_many_answers_in_small_pieces_do_not_hold_up_others(self):
        cases = {"chunks of one byte": BODIES["chunks of one byte"]}
        self.check(cases, self.read_failing_body, count=20)

    def test_stream_in_small_pieces_does_not_hold_up_others(self):
        self.check(STREAMS, self.read_failing_events)

    # Guards against a planner that hangs while it reads one report.
    def test_report_in_small_pieces_does_not_hold_up_others(self):
        def read(address):
            with self.assertRaises(BackendFailed):
                PlatformReportReader().read(backend("s1", address=address), READ_S)

        self.check(BODIES, read)

    # Guards against a planner that hangs while it lists thousands of problems.
    def test_large_malformed_report_does_not_hold_up_others(self):
        for count in (2_000_000, 15_000):
            body = b'{"models": [' + b"0," * count + b"0]}"
            head = SIGNED + b"Content-Length: %d\r\n\r\n" % len(body)
            with self.subTest(count=count), self.others_run():
                server = backend("s1", address=self.flooding_server(head + body, b" "))
                began_s = time.process_time()
                with self.assertRaises(BackendFailed):
                    PlatformReportReader().read(server, READ_S)
                self.assertLess(time.process_time() - began_s, LONGEST_WORK_S)

    def test_reports_of_a_stream_do_not_hold_up_others(self):
        def read(address):
            with eventlet.Timeout(READ_S, False):
                with self.assertRaises(CoordinationError):
                    list(HttpReportReader().reports("vm", address))

        self.check({"events": (STREAM + b"\r\n", b"data: {}\n\n")}, read)
        self.check({"comments": (STREAM + b"\r\n", b":\n\n")}, read)

    # Guards against a node that hangs while the store answers.
    def test_store_does_not_hold_up_others(self):
        def read(address):
            with self.assertRaises(CoordinationError):
                PlatformStore(address).read("a")

        self.check(BODIES, read)

    # Guards against small parts of bodies that take many times their size.
    def test_answers_in_small_pieces_take_little_memory(self):
        count = 500_000
        pieces = (number.to_bytes(4, "big") for number in range(count))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = BodyCollector().collect(pieces)
        self.assertEqual((4 * count, b"\0\0\0\1"), (len(body), body[4:8]))
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * len(body))


class CallerTest(BusyPeerTestCase):
    """Callers of a server that send two connections full of small pieces."""

    def setUp(self):
        listener = listen("127.0.0.1:0")
        limits = ServerLimits(MAX_BODY_BYTES, READ_S, idle_timeout_s=15.0)
        server = HttpServer(
            listener,
            lambda request: Response(200, b"done", "text/plain"),
            connection_limit=64,
            limits=lambda: limits,
        )
        self.addCleanup(server.close)
        self.address = bound_address(listener)

    def flood(self, first, rest):
        host, port = self.address.split(":")
        connection = socket.create_connection((host, int(port)))
        self.addCleanup(self.end, connection)
        arguments = (connection, first, rest)
        threading.Thread(target=flood, args=arguments, daemon=True).start()
        return connection

    @staticmethod
    def end(connection):
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def send_sound_requests(self):
        for _ in range(SOUND_REQUESTS):
            began_at = time.monotonic()
            answer = send_request(
                self.address, "POST", "/", b"ask", read_timeout_s=2 * READ_S
            )
            self.assertEqual((200, b"done"), (answer.status, answer.body))
            self.assertLess(time.monotonic() - began_at, LONGEST_PAUSE_S)
            eventlet.sleep(0.05)

    # Guards against two connections of one caller that stop a node for all others.
    def test_request_in_small_pieces_does_not_hold_up_others(self):
        for name, (first, rest) in REQUESTS.items():
            with self.subTest(case=name), self.others_run():
                connections = [self.flood(first, rest) for _ in range(2)]
                eventlet.sleep(0.1)
                self.send_sound_requests()
                for connection in connections:
                    self.end(connection)

    # Guards against a body that takes a hundred times its size.
    def test_request_in_small_pieces_takes_little_memory(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(2):
            self.flood(POST + CHUNKED, b"2\r\nxy\r\n")
        eventlet.sleep(READ_S)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * MAX_BODY_BYTES)

    # Guards against a body in another coding that is taken for a request.
    def test_other_transfer_codings_are_refused(self):
        hidden = b"5\r\nGET /\r\n0\r\n\r\n"
        for coding in (b"gzip, chunked", b"chunked, chunked", b"identity", b"x"):
            with self.subTest(coding=coding):
                self.assertEqual(
                    [b"400"], self.statuses(b"Transfer-Encoding: " + coding, hidden)
                )

    def test_malformed_chunks_are_refused(self):
        for body in (b"0x1\r\nx\r\n0\r\n\r\n", b"1\r\nxy\r\n0\r\n\r\n", b"-1\r\n"):
            with self.subTest(body=body):
                statuses = self.statuses(b"Transfer-Encoding: chunked", body)
                self.assertEqual([b"400"], statuses)

    def test_requests_follow_each_other_after_chunks(self):
        body = b"3;a=b\r\nask\r\n0\r\na: b\r\n\r\n"
        request = POST + CHUNKED + body
        statuses = self.statuses(b"Transfer-Encoding: chunked", body + 2 * request)
        self.assertEqual([b"200"] * 3, statuses)

    def statuses(self, header, body):
        """Send a request, and what follows it, and return the answers' statuses."""
        host, port = self.address.split(":")
        with eventlet.connect((host, int(port))) as caller:
            caller.sendall(POST + header + b"\r\n\r\n" + body)
            caller.shutdown(socket.SHUT_WR)
            data = b""
            while piece := caller.recv(65_536):
                data += piece
        return [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]


class LinkTest(BusyPeerTestCase):
    # Guards against a peer whose messages follow each other without a pause.
    def test_messages_without_a_pause_do_not_hold_up_others(self):
        received = []

        def serve(link, name):
            while True:
                received.append(link.receive(5.0))

        listener = listen("127.0.0.1:0")
        server = LinkServer(listener, TOKEN, serve)
        self.addCleanup(server.close)
        address = bound_address(listener)
        link = connect(address, Identity("n1", TOKEN))
        frame = link.frame(Hello("n1"))
        link.close()
        host, port = address.split(":")
        connection = socket.create_connection((host, int(port)))
        with self.others_run():
            arguments = (connection, frame, frame)
            threading.Thread(target=flood, args=arguments, daemon=True).start()
            eventlet.sleep(READ_S)
            CallerTest.end(connection)
        self.assertGreater(len(received), 1000)


class SoundPeerTest(BusyPeerTestCase):
    # Guards against turns that delay those who do wait for their peers.
    def test_body_of_a_sound_answer_is_read_whole(self):
        body = bytes(range(256)) * 4_000
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(body[i : i + 700]), body[i : i + 700])
            for i in range(0, len(body), 700)
        )
        address = self.flooding_server(SIGNED + CHUNKED + chunks + b"0\r\n\r\n", b" ")
        exchange = self.send(address)
        exchange.set_read_timeout(READ_S)
        self.assertEqual(body, exchange.read_body())

    # Guards against tasks that wait for timers or events, not for their sockets, and
    # have to wait for each other.
    def test_tasks_that_wait_for_timers_keep_their_turns(self):
        def events():
            for _ in range(SOUND_EVENTS):
                eventlet.sleep(0.01)
                yield b"data: a\n\n"

        listener = listen("127.0.0.1:0")
        server = HttpServer(
            listener,
            lambda request: Response(200, events(), "text/event-stream"),
            connection_limit=64,
            limits=lambda: ServerLimits(1_000, READ_S, idle_timeout_s=15.0),
        )
        self.addCleanup(server.close)
        address = bound_address(listener)
        ended = TURNS.ended
        tasks = [
            eventlet.spawn(send_request, address, "GET", "/", read_timeout_s=10.0)
            for _ in range(SOUND_STREAMS)
        ]
        for task in tasks:
            self.assertEqual(SOUND_EVENTS * b"data: a\n\n", task.wait().body)
        count = SOUND_STREAMS * SOUND_EVENTS
        self.assertLess(TURNS.ended - ended, MOST_ENDED_SHARE * count)


if __name__ == "__main__":
    unittest.main()

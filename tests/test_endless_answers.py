"""Backend servers that send bytes without end until the node closes the connection."""

import standins.common  # noqa: F401  # isort: skip

import tracemalloc
import unittest

import eventlet

from poplarspar.coordination.forwarding import (
    STALL_CHECK_INTERVAL_S,
    Attempt,
    DemandMeter,
    Forwarder,
    Sender,
    StallDetector,
)
from poplarspar.coordination.timers import TimerService
from poplarspar.exceptions import BackendFailed
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.upstream import PlatformUpstream
from poplarspar.state.serving import RouteKind
from tests.test_forwarding import ForwardingTestCase, backend, request, route

TIMEOUT_S = 0.4
# Delays of the test's own process count too.
LATEST_S = 2.0
# Enough for a maximal plain answer, and far below a node's memory.
MOST_BYTES = 24 * 1024 * 1024
# The same for many answers at once; the smallest machines have 160 MB.
MOST_BYTES_OF_ALL = 64 * 1024 * 1024
CONCURRENT_ANSWERS = 40
SOUND_BYTES = 400_000
FAST_BYTES = 16_384
SLOW_S = 0.02

SIGNED = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"

# Bytes before the endless ones, and the endless ones.
HEADS = {
    "no status line": (b"", b"x"),
    "line ends": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "one header line": (b"HTTP/1.1 200 OK\r\nA: ", b"b"),
}
BODIES = {
    "no length": (SIGNED + b"\r\n", b"x"),
    "chunks": (SIGNED + CHUNKED, CHUNK),
    "chunk size": (SIGNED + CHUNKED, b"0"),
    "chunk extension": (SIGNED + CHUNKED + b"1;", b"x"),
    "trailers": (SIGNED + CHUNKED + b"0\r\n", b"A: b\r\n"),
}
STREAMS = {
    "no event end": (STREAM + b"\r\n", b"x"),
    "event ends": (STREAM + b"\r\n", b"\n\n"),
    "no fields": (STREAM + b"\r\n", b"x\n\n"),
    "chunk size": (STREAM + CHUNKED, b"0"),
    "trailers": (STREAM + CHUNKED + b"0\r\n", b"A: b\r\n"),
}


class EndlessServer:
    """Answers each connection with `first`, and then with `rest` until it is closed."""

    def __init__(self, first, rest, slow):
        self._first = first
        self._rest = rest if slow else rest * (FAST_BYTES // len(rest) + 1)
        self._slow = slow
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent_bytes = 0
        self.closed = eventlet.event.Event()
        self._task = eventlet.spawn(self._serve)

    def _serve(self):
        connection, _ = self._listener.accept()
        connection.recv(65536)
        try:
            connection.sendall(self._first)
            while True:
                connection.sendall(self._rest)
                self.sent_bytes += len(self._rest)
                eventlet.sleep(SLOW_S if self._slow else 0)
        except OSError:
            self.closed.send()

    def close(self):
        self._task.kill()
        self._listener.close()


class AttemptTestCase(unittest.TestCase):
    """Sends single attempts to an address and reads the answers."""

    timeout_s = TIMEOUT_S

    def send(self, address):
        received = request("/look/1")
        exchange = PlatformUpstream().send(
            Attempt(
                request=received,
                workspace="w",
                backend_id="s1",
                address=address,
                remaining_s=self.timeout_s,
                response_timeout_s=self.timeout_s,
                connect_timeout_s=self.timeout_s,
                last_event=None,
                priority=None,
            )
        )
        self.addCleanup(exchange.close)
        return exchange

    def read_body(self, address):
        exchange = self.send(address)
        try:
            exchange.set_read_timeout(self.timeout_s)
            exchange.read_body()
        finally:
            exchange.close()

    def read_events(self, address):
        exchange = self.send(address)
        try:
            exchange.set_read_timeout(self.timeout_s)
            for _ in exchange.events():
                exchange.set_read_timeout(self.timeout_s)
        finally:
            exchange.close()


class EndlessAnswerTest(AttemptTestCase):
    def check(self, cases, receive):
        """Check that `receive` fails, soon, and closes the connection."""
        for name, (first, rest) in cases.items():
            for slow in (False, True):
                with self.subTest(case=name, slow=slow):
                    server = EndlessServer(first, rest, slow)
                    self.addCleanup(server.close)
                    late = AssertionError("still reading")
                    with eventlet.Timeout(LATEST_S, late):
                        with self.assertRaises(BackendFailed):
                            receive(server.address)
                        server.closed.wait()
                    self.assertLess(server.sent_bytes, MOST_BYTES)

    # Guards against a task that reads an endless head past the request's deadline.
    def test_endless_head_fails_the_attempt(self):
        self.check(HEADS, self.send)

    # Guards against an endless plain answer that fills the node's memory.
    def test_endless_body_fails_the_attempt(self):
        self.check(BODIES, self.read_body)

    # Guards against forwarding bytes that are no events.
    def test_endless_stream_fails_the_attempt(self):
        self.check(STREAMS, self.read_events)

    # Guards against a planner whose probe of such a backend server never ends.
    def test_endless_report_fails_the_probe(self):
        def read(address):
            PlatformReportReader().read(backend("s1", address=address), TIMEOUT_S)

        self.check({**HEADS, **BODIES}, read)


class MemoryTest(AttemptTestCase):
    """Many endless answers at the same moment."""

    # Enough for all answers to reach the limit of a single one.
    timeout_s = 6.0

    def peak_bytes(self, first, rest, receive):
        """Return the peak of memory while `receive` reads all the answers."""
        servers = [
            EndlessServer(first, rest, slow=False) for _ in range(CONCURRENT_ANSWERS)
        ]
        for server in servers:
            self.addCleanup(server.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        readers = [
            eventlet.spawn(self.assertRaises, BackendFailed, receive, server.address)
            for server in servers
        ]
        for reader in readers:
            reader.wait()
        return tracemalloc.get_traced_memory()[1]

    # Guards against a node that runs out of memory, which ends the requests of all its
    # callers, since it keeps what many endless answers have sent so far.
    def test_endless_bodies_together_stay_within_a_bound(self):
        peak = self.peak_bytes(*BODIES["no length"], self.read_body)
        self.assertLess(peak, MOST_BYTES_OF_ALL)

    def test_endless_heads_together_stay_within_a_bound(self):
        line = b"A: " + b"x" * 60_000 + b"\r\n"
        peak = self.peak_bytes(b"HTTP/1.1 200 OK\r\n", line, self.send)
        self.assertLess(peak, MOST_BYTES_OF_ALL)

    # Guards against failing sound answers while others are endless.
    def test_sound_answers_are_read_beside_endless_ones(self):
        endless = [
            EndlessServer(*BODIES["no length"], slow=False)
            for _ in range(CONCURRENT_ANSWERS)
        ]
        readers = []
        for server in endless:
            self.addCleanup(server.close)
            reader = self.assertRaises, BackendFailed, self.read_body, server.address
            readers.append(eventlet.spawn(*reader))
        body = b"x" * SOUND_BYTES
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % len(body)
        for _ in range(5):
            server = EndlessServer(head + body, b" ", slow=True)
            self.addCleanup(server.close)
            exchange = self.send(server.address)
            exchange.set_read_timeout(LATEST_S)
            self.assertEqual(body, exchange.read_body())
        for reader in readers:
            reader.wait()


class EndlessEventsTest(ForwardingTestCase):
    routes = (route("draft", RouteKind.STREAM, "llm", timeout_s=20.0),)

    # Guards against a stream that is held until its deadline by repeated events.
    def test_stream_of_events_without_progress_breaks_off(self):
        timers = TimerService()
        self.addCleanup(timers.close)
        timers.every(STALL_CHECK_INTERVAL_S, StallDetector(self.targets).check)
        for rest in (b"id: 1\ndata: x\n\n", b": alive\n\n"):
            with self.subTest(rest=rest):
                servers = [
                    EndlessServer(STREAM + b"\r\nid: 1\ndata: x\n\n", rest, slow=True)
                    for _ in range(2)
                ]
                for id, server in zip(("h1", "h2"), servers, strict=True):
                    self.addCleanup(server.close)
                    self.fleet.backends_by_id[id] = backend(
                        id, "llm", address=server.address
                    )
                self.update()
                forwarder = Forwarder(
                    lambda: self.fleet.configuration,
                    self.targets,
                    Sender(self.targets, PlatformUpstream()),
                    self.budget,
                    DemandMeter(),
                    self.quarantine,
                )
                late = AssertionError("still reading")
                with eventlet.Timeout(2 * LATEST_S, late):
                    received = request("/draft/1", model="m0", timeout_s=20.0)
                    answer = self.answered(forwarder.serve(received))
                    with self.assertRaises(BackendFailed):
                        list(answer.events)
                answer.events.close()


if __name__ == "__main__":
    unittest.main()

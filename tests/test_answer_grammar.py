"""Answers that do not follow the grammar of HTTP/1.1, and unusual ones that do.

Each case plays a backend server, the store or a steward on its own socket.
"""

import standins.common  # noqa: F401  # isort: skip

import unittest
from unittest import mock

from poplarspar.coordination.ports import GenerationRequest, ServiceCall
from poplarspar.events import Event
from poplarspar.exceptions import (
    BackendFailed,
    ConnectionLost,
    CoordinationError,
    MalformedAnswer,
    PeerDisconnected,
    StoreUnavailable,
    TransportError,
    UnreadableAnswer,
)
from poplarspar.logs import EventRateLimiter
from poplarspar.platform.backends import PlatformOrderSender, PlatformReportReader
from poplarspar.platform.duties import PlatformDutyCaller
from poplarspar.platform.store import PlatformStore
from poplarspar.protocol.http_answers import (
    Chunked,
    Sized,
    UntilClose,
    parse_chunk_size,
    parse_head,
)
from poplarspar.protocol.operators import ServingRequest
from poplarspar.state.backends import BackendServer
from poplarspar.state.duties import DutyTerm, NotAnswered, UsageReport
from poplarspar.state.orders import Leave, Unanswered
from poplarspar.state.replicas import Member, ReplicaGroup
from poplarspar.transport.backends import (
    HttpBackends,
    HttpOrderSender,
    HttpReportReader,
)
from poplarspar.transport.http import open_stream, read_body, send_request
from poplarspar.transport.operator_client import OperatorClient
from poplarspar.transport.platform import HttpStore, HttpVmList
from standins.platform import configuration
from tests import test_platform
from tests.test_foreign_answers import (
    KeptConnectionServer,
    RawServer,
    RawServerTestCase,
    json_answer,
    report_document,
)

OK = b"HTTP/1.1 200 OK\r\n"
# The headers without which a node takes no answer for the one to its request.
SIGNED = b"Attempt-Id: a1\r\nResponse-Signature: s\r\n"
STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
BODY = b"paid"
LENGTH = b"Content-Length: 4\r\n"

# Each replaces the line that tells the length of `BODY`.
MALFORMED_LENGTHS = [
    b"Content-Length: x",
    b"Content-Length: 4x",
    b"Content-Length: 4 4",
    b"Content-Length: -4",
    b"Content-Length: +4",
    b"Content-Length: 0x4",
    b"Content-Length: 4_0",
    b"Content-Length: 4.0",
    b"Content-Length: \xb2",
    b"Content-Length:",
    b"Content-Length: ,",
    b"Content-Length: 4,",
    b"Content-Length: 4, 5",
    b"Content-Length: 4\r\nContent-Length: 5",
    b"Content-Length: 4\r\nContent-Length:",
    b"Content-Length: " + b"9" * 5000,
    b"Content-Length: 4\x00",
    b"Content-Length 4",
    b"Content-Length",
    b"Transfer-Encoding: chunke",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding:",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked, gzip",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunked\r\nContent-Length: 4",
]
# Each stands beside sound headers.
NO_FIELDS = [
    b"no field",
    b"Server-Load",
    b"=",
    b": x",
    b" ",
    b" folded: x",
    b"\tfolded: x",
    b"\x00",
    b"\xff\xfe",
    b"X-Own: a\x00b",
    b"X-Own: a\x1bb",
    b"X-Own: a\rb",
    b"X-Own: a\x7fb",
    b"\rX-Own: a",
    b"HTTP/1.1 200 OK",
]
MALFORMED_NAMES = [
    b"X Own: a",
    b"X-Own : a",
    b"X-Own\t: a",
    b"X\tOwn: a",
    b"X\x00Own: a",
    b"X\x01Own: a",
    b"X\x0bOwn: a",
    b"X\x1fOwn: a",
    b"X\x7fOwn: a",
    b"X\x80Own: a",
    b"X\rOwn: a",
    b'X"Own": a',
    b"X(Own): a",
    b"Content Length: 4",
    b"Content-Length : 4",
    b"Transfer-Encoding : chunked",
]
MALFORMED_STATUS_LINES = [
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 000",
    b"HTTP/1.1 000 ",
    b"HTTP/1.1 099 OK",
    # Valid to the grammar, but without a class: RFC 9110, section 15.
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 699",
    b"HTTP/1.1 700 ",
    b"HTTP/1.1 800 OK",
    b"HTTP/1.1 900 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 20x OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 OK",
    b"HTTP/1. 200 OK",
    b"HTTP/1.1x 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"200 OK",
    b"HTTP/1.1 101 Switching Protocols",
]
# Each is a body with chunks that do not follow the grammar.
MALFORMED_CHUNKS = [
    b"x\r\npaid\r\n0\r\n\r\n",
    b"\r\npaid\r\n0\r\n\r\n",
    b"0x4\r\npaid\r\n0\r\n\r\n",
    b"+4\r\npaid\r\n0\r\n\r\n",
    b"-4\r\npaid\r\n0\r\n\r\n",
    b"0_4\r\npaid\r\n0\r\n\r\n",
    b" 4\r\npaid\r\n0\r\n\r\n",
    b"4 \r\npaid\r\n0\r\n\r\n",
    b"4\npaid\r\n0\r\n\r\n",
    b"4;\r\npaid\r\n0\r\n\r\n",
    b"4;a b\r\npaid\r\n0\r\n\r\n",
    b"4;a=\x00\r\npaid\r\n0\r\n\r\n",
    b'4;a="b\r\npaid\r\n0\r\n\r\n',
    b"3\r\npaid\r\n0\r\n\r\n",
    b"4\r\npaid0\r\n\r\n",
    b"4\r\npaid\n0\r\n\r\n",
    b"4\r\npaid\r\nx\r\n\r\n",
    b"4\r\npaid\r\n-0\r\n\r\n",
    b"4\r\npaid\r\n0\r\nno field\r\n\r\n",
    b"4\r\npaid\r\n0\r\nX Own: a\r\n\r\n",
    b"4\r\npaid\r\n0\r\nX-Own: a\x00\r\n\r\n",
]

# Each tells the length of `BODY`, or replaces the line that does.
SOUND_LENGTHS = [
    b"Content-Length:4",
    b"Content-Length: \t 4 \t ",
    b"CONTENT-length: 4",
    b"Content-Length: 0004",
    b"Content-Length: 4, 4",
    b"Content-Length: 4\r\nContent-Length: 4",
    b"Connection: close",
    b"Connection: keep-alive\r\nContent-Length: 4",
    b"Content-Length: 4\nX-Bare: line feed",
]
SOUND_STATUS_LINES = [
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 O K\t\xc3\xa4",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
]
# Values as they are written and as they are understood.
SOUND_VALUES = [
    (b"", ""),
    (b" ", ""),
    (b"\t", ""),
    (b"a", "a"),
    (b" \t a \t ", "a"),
    (b" a b\tc", "a b\tc"),
    (b' a: b, c; d="e"', 'a: b, c; d="e"'),
    (b" \x80\xe9\xff", "\x80\xe9\xff"),
]
# Each is `BODY` in chunks.
SOUND_CHUNKS = [
    b"4\r\npaid\r\n0\r\n\r\n",
    b"2\r\npa\r\n2\r\nid\r\n0\r\n\r\n",
    b"0004\r\npaid\r\n000\r\n\r\n",
    b"4;a\r\npaid\r\n0;b=c\r\n\r\n",
    b"4 ; a = b\t;\tc\r\npaid\r\n0\r\n\r\n",
    b'4;a="b;c \\"\xe9\\\\"\r\npaid\r\n0\r\n\r\n',
    b"4\r\npaid\r\n0\r\nX-Trailer: a\r\nX-Empty:\r\nX-High: \xff\r\n\r\n",
]


def placements(line, headers):
    """Return heads with a line before and after the other headers."""
    return (OK + line + b"\r\n" + headers, OK + headers + line + b"\r\n")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def allow_all_lines(test):
    """Lift the limit on log lines, since cases come faster than it allows."""
    patcher = mock.patch.object(EventRateLimiter, "allow", return_value=True)
    patcher.start()
    test.addCleanup(patcher.stop)


SOUND = OK + SIGNED + LENGTH + b"\r\n" + BODY
SOUND_STREAM = OK + STREAM + b"\r\n" + EVENTS


class AnswerTestCase(RawServerTestCase):
    def setUp(self):
        document = configuration(3)
        look = next(route for route in document["routes"] if route["name"] == "look")
        for name, resumable in (("once", False), ("draft", True)):
            kind = {"kind": "stream", "resumable": resumable}
            prefix = {"name": name, "path_prefix": f"/{name}/"}
            document["routes"].append({**look, **kind, **prefix})
        with mock.patch.object(test_platform, "configuration", lambda _: document):
            super().setUp()
        self.server = self.use_server([])

    def exchange(self, path, *answers):
        """Return the caller's answer; the backend servers send the answers in turn."""
        self.server._answers = list(answers)
        self.server.heads.clear()
        return self.send(path)


class MalformedHeadTest(AnswerTestCase):
    """Heads that leave unknown which headers an answer has, or where it ends."""

    def check(self, heads, body, sound, paths):
        """Check that no answer with such a head reaches a caller.

        Parameters
        ----------
        body : bytes
            What follows the heads, and the body of the sound answer.
        sound : bytes
            A sound answer, with which the requests that may be repeated are served.
        paths : tuple of str
            Path of a request that must not be repeated, and of one that may be.
        """
        once, repeated = paths
        for head in heads:
            with self.subTest(head=head[:200], path=once):
                answer = self.exchange(once, head + b"\r\n" + body, sound)
                # The request may have run, so it isn't sent again.
                self.assertIn(answer.status, (502, 504))
                self.assertEqual("unknown", answer.json()["error"]["ran"])
                self.assertNotIn("Not-Executed", answer.headers)
                self.assertEqual(1, len(self.server.heads))
            with self.subTest(head=head[:200], path=repeated):
                answer = self.exchange(repeated, head + b"\r\n" + body, sound)
                self.assertEqual((200, body), (answer.status, answer.body))
                self.assertEqual(2, len(self.server.heads))
                self.assertNotIn("X-Own", answer.headers)

    def check_unary(self, heads):
        self.check(heads, BODY, SOUND, ("/pay/1", "/look/1"))

    def check_streams(self, heads):
        self.check(heads, EVENTS, SOUND_STREAM, ("/once/1", "/draft/1"))

    def test_unary_answer_with_a_malformed_length(self):
        for line in MALFORMED_LENGTHS:
            self.check_unary(placements(line, SIGNED))

    def test_stream_with_a_malformed_length(self):
        for line in MALFORMED_LENGTHS:
            self.check_streams(placements(line, STREAM))

    def test_unary_answer_with_a_line_that_is_no_field(self):
        for line in NO_FIELDS:
            self.check_unary(placements(line, SIGNED + LENGTH))

    def test_stream_with_a_line_that_is_no_field(self):
        for line in NO_FIELDS:
            self.check_streams(placements(line, STREAM))

    def test_unary_answer_with_a_malformed_name(self):
        for line in MALFORMED_NAMES:
            self.check_unary(placements(line, SIGNED + LENGTH))

    def test_stream_with_a_malformed_name(self):
        for line in MALFORMED_NAMES:
            self.check_streams(placements(line, STREAM))

    def test_unary_answer_with_a_malformed_status_line(self):
        for line in MALFORMED_STATUS_LINES:
            self.check_unary([line + b"\r\n" + SIGNED + LENGTH])

    def test_stream_with_a_malformed_status_line(self):
        for line in MALFORMED_STATUS_LINES:
            self.check_streams([line + b"\r\n" + STREAM])

    # Guards against a promise to the caller that its request has not run.
    def test_refusal_with_a_malformed_head_promises_nothing(self):
        refusal = SIGNED + b"Not-Executed: 1\r\nContent-Length: 0\r\n"
        for line in (b"no field", b"X Own: a", b"Content-Length: x"):
            for head in placements(line, refusal):
                head = head.replace(b"200 OK", b"503 Service Unavailable")
                with self.subTest(head=head):
                    answer = self.exchange("/pay/1", head + b"\r\n", SOUND)
                    self.assertEqual(502, answer.status)
                    self.assertEqual(1, len(self.server.heads))

    def test_log_names_the_backend_server_and_the_reason(self):
        head, _ = placements(b"Content-Length: x", SIGNED)
        allow_all_lines(self)
        with self.assertLogs("poplarspar", "INFO") as logged:
            self.exchange("/pay/1", head + b"\r\n" + BODY)
        malformed, failed = (
            next(line for line in logged.records if line.event == event.number)
            for event in (Event.ANSWER_MALFORMED, Event.ATTEMPT_FAILED)
        )
        self.assertEqual(self.server.address, malformed.peer)
        self.assertEqual("the length of the body is no number", malformed.cause)
        self.assertIn(failed.backend, {worker.id for worker in self.workers})
        self.assertIn(malformed.cause, failed.cause)
        self.assertFalse(failed.disconnected)


class MalformedChunkTest(AnswerTestCase):
    def test_unary_answer_with_a_malformed_chunk(self):
        head = OK + SIGNED + CHUNKED + b"\r\n"
        for body in MALFORMED_CHUNKS:
            with self.subTest(body=body):
                answer = self.exchange("/pay/1", head + body, SOUND)
                self.assertIn(answer.status, (502, 504))
                self.assertEqual(1, len(self.server.heads))
                answer = self.exchange("/look/1", head + body, SOUND)
                self.assertEqual((200, BODY), (answer.status, answer.body))

    # The events before the chunk are the backend server's own.
    def test_stream_with_a_malformed_chunk(self):
        first, second = EVENTS[: len(EVENTS) // 2], EVENTS[len(EVENTS) // 2 :]
        rest = OK + STREAM + b"\r\n" + second
        head = OK + STREAM + CHUNKED + b"\r\n" + chunk(first)
        for body in MALFORMED_CHUNKS:
            body = body.replace(b"paid", second).replace(b"4", b"f")
            with self.subTest(body=body):
                with self.assertRaises(ConnectionLost):
                    self.exchange("/once/1", head + body)
                answer = self.exchange("/draft/1", head + body, rest)
                self.assertEqual((200, EVENTS), (answer.status, answer.body))


class SoundAnswerTest(AnswerTestCase):
    """Unusual answers that the grammar allows."""

    def check(self, path, answer, body):
        """Check that the first answer is served, and return it."""
        with self.subTest(answer=answer):
            received = self.exchange(path, answer)
            self.assertEqual((200, body), (received.status, received.body))
            return received

    def test_unary_answers_with_unusual_lengths(self):
        for line in SOUND_LENGTHS:
            for head in placements(line, SIGNED):
                self.check("/pay/1", head + b"\r\n" + BODY, BODY)

    def test_streams_with_unusual_lengths(self):
        for line in SOUND_LENGTHS:
            line = line.replace(b"4", b"%d" % len(EVENTS))
            for head in placements(line, STREAM):
                self.check("/once/1", head + b"\r\n" + EVENTS, EVENTS)

    def test_unusual_status_lines(self):
        for line in SOUND_STATUS_LINES:
            head = line + b"\r\n"
            self.check("/pay/1", head + SIGNED + LENGTH + b"\r\n" + BODY, BODY)
            self.check("/once/1", head + STREAM + b"\r\n" + EVENTS, EVENTS)

    def test_unusual_names_and_values(self):
        names = (b"X-Own", b"!#$%&'*+-.^_`|~09AZaz")
        for name in names:
            for written, value in SOUND_VALUES:
                for head in placements(name + b":" + written, SIGNED + LENGTH):
                    answer = self.check("/pay/1", head + b"\r\n" + BODY, BODY)
                    self.assertEqual(value, answer.headers[name.decode()])

    def test_unusual_chunks(self):
        for coding in (b"chunked", b"Chunked", b" \tchunked\t"):
            head = OK + b"Transfer-Encoding:" + coding + b"\r\n"
            for body in SOUND_CHUNKS:
                self.check("/pay/1", head + SIGNED + b"\r\n" + body, BODY)
                whole = body.replace(b"4", b"1e").replace(b"paid", EVENTS)
                if EVENTS in whole:
                    self.check("/once/1", head + STREAM + b"\r\n" + whole, EVENTS)

    def test_answers_without_a_body(self):
        for head in (b"HTTP/1.1 204 \r\n", b"HTTP/1.1 304 \r\nContent-Length: 9\r\n"):
            with self.subTest(head=head):
                answer = self.exchange("/pay/1", head + SIGNED + b"\r\n")
                self.assertEqual(b"", answer.body)


class EveryReaderTest(unittest.TestCase):
    """All that read answers take a malformed one for none, and log it."""

    HEADS = (
        b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n",
        b"HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Own: a\r\n",
    )
    CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\n{}\r\n0\r\n"

    def setUp(self):
        allow_all_lines(self)

    def answers(self):
        return [*(head + b"\r\n{}" for head in self.HEADS), self.CHUNKS + b"\r\n"]

    def serve(self, *answers):
        server = RawServer(answers)
        self.addCleanup(server.close)
        return server

    def check(self, use, error=None, result=None):
        """Check that `use(address)` raises an error or returns a result."""
        for answer in self.answers():
            with self.subTest(answer=answer):
                address = self.serve(answer).address
                with self.assertLogs("poplarspar", "INFO") as logged:
                    if error is None:
                        self.assertEqual(result, use(address))
                    else:
                        self.assertRaises(error, use, address)
                lines = [
                    record
                    for record in logged.records
                    if record.event == Event.ANSWER_MALFORMED.number
                ]
                self.assertEqual([address], [line.peer for line in lines])
                self.assertLess(len(lines[0].cause), 200)

    def backend(self, address):
        return BackendServer("i-1", 5, "llm", address, "a", False, 4, 0.0, None)

    def test_reports_and_orders_on_the_platform(self):
        self.check(
            lambda address: PlatformReportReader().read(self.backend(address), 1.0),
            BackendFailed,
        )
        self.check(
            lambda address: PlatformOrderSender().send(
                self.backend(address),
                Leave("g1", 5),
                fence=1,
                accepted_before=None,
                timeout_s=1.0,
            ),
            result=Unanswered(),
        )

    def test_duties(self):
        report = UsageReport(1, {"pilots": 1})
        self.check(
            lambda address: PlatformDutyCaller(address).report_usage(
                DutyTerm("front-1", 1), report
            ),
            result=NotAnswered(),
        )

    def test_calls_of_the_store_and_its_watches(self):
        def check(client, call):
            def use(address):
                store = client(address)
                self.addCleanup(store.close)
                call(store)

            self.check(use, StoreUnavailable)

        for client in (PlatformStore, HttpStore):
            check(client, lambda store: store.read("a"))
            check(client, lambda store: store.watch("a", 0, 0.1))
            check(client, lambda store: store.compare_and_swap("a", 0, "x"))
            check(client, lambda store: store.delete("a", 0))
            check(client, lambda store: store.grant_lease(1.0))
            check(client, lambda store: store.renew_lease("0:1"))
        check(PlatformStore, lambda store: store.read_all("a"))
        check(PlatformStore, lambda store: store.changes("a", 0, 0.1))
        check(PlatformStore, lambda store: store.end_lease("0:1"))

    # Guards against leaving all connections to a store because of one answer.
    def test_malformed_answer_of_the_store_is_no_silence(self):
        store = PlatformStore(self.serve(self.answers()[0]).address)
        self.addCleanup(store.close)
        reconnects = []
        store.on_reconnect(lambda: reconnects.append(1))
        self.assertRaises(StoreUnavailable, store.read, "a")
        self.assertEqual([], reconnects)

    def test_list_of_vms(self):
        self.check(lambda address: HttpVmList(address).list(), CoordinationError)

    def test_calls_orders_and_reports_of_the_own_interface(self):
        generation = GenerationRequest("r1", "text", 4, (), 1.0)
        call = ServiceCall("r1", "pay", b"", "", 1.0)
        for use in (
            lambda address: list(HttpBackends().generate(address, generation).tokens()),
            lambda address: HttpBackends().call(address, call),
            lambda address: HttpOrderSender().assign(
                ReplicaGroup("g1", "d", "a", 5, (Member("vm-a1", address),)), 0, 1.0
            ),
        ):
            self.check(use, BackendFailed)
        self.check(
            lambda address: list(HttpReportReader().reports("vm-a1", address)),
            CoordinationError,
        )

    def test_operator_client_and_readiness(self):
        change = ServingRequest(kind="zone", name="a", serving=False, operator="o")
        self.check(
            lambda address: OperatorClient([address], "t").status(), TransportError
        )
        # The steward isn't ready, so no change is sent to it.
        self.check(
            lambda address: OperatorClient([address], "t").set_serving(change),
            UnreadableAnswer,
        )

    # Guards against a report that is read from the rest of a malformed answer.
    def test_connection_with_a_malformed_answer_is_not_used_again(self):
        old, new = (json_answer(report_document(3, running=n)) for n in (1, 2))
        for answer in self.answers():
            with self.subTest(answer=answer):
                server = KeptConnectionServer([(answer + old, old), new])
                self.addCleanup(server.close)
                reader = PlatformReportReader()
                backend = self.backend(server.address)
                self.assertRaises(BackendFailed, reader.read, backend, 1.0)
                self.assertEqual(2, reader.read(backend, 1.0).running)
                self.assertEqual(2, server.connections)


class EndingTest(unittest.TestCase):
    """A malformed answer is told from one that is cut off."""

    def read(self, answer):
        server = RawServer([answer])
        self.addCleanup(server.close)
        return send_request(server.address, "GET", "/", read_timeout_s=5.0).body

    def test_answer_that_is_cut_off_in_a_chunk_or_a_trailer(self):
        head = OK + CHUNKED + b"\r\n"
        body = b"4;a\r\npaid\r\n0\r\nX-Trailer: a\r\n\r\n"
        self.assertEqual(BODY, self.read(head + body))
        for size in range(len(body)):
            with self.subTest(body=body[:size]):
                with self.assertRaises(PeerDisconnected):
                    self.read(head + body[:size])

    def test_malformed_chunk_is_no_disconnection(self):
        for body in MALFORMED_CHUNKS:
            with self.subTest(body=body):
                with self.assertRaises(UnreadableAnswer):
                    self.read(OK + CHUNKED + b"\r\n" + body)

    def test_long_lines_and_many_fields(self):
        field = b"X-Own: " + b"a" * 60_000 + b"\r\n"
        end = LENGTH + b"\r\n" + BODY
        self.assertEqual(BODY, self.read(OK + 2 * field + end))
        self.assertEqual(BODY, self.read(OK + 99 * b"A: b\r\n" + end))
        for head in (3 * field, field.replace(b"a", b"aa"), 100 * b"A: b\r\n"):
            with self.subTest(head=head[:20]), self.assertRaises(UnreadableAnswer):
                self.read(OK + head + end)

    def test_answer_to_head_has_no_body(self):
        for line in (LENGTH, CHUNKED, b"X-Own: a\r\n"):
            server = RawServer([OK + line + b"\r\n" + BODY])
            self.addCleanup(server.close)
            stream = open_stream(server.address, "HEAD", "/", read_timeout_s=5.0)
            self.addCleanup(stream.close)
            self.assertEqual(b"", read_body(stream))


class ParserTest(unittest.TestCase):
    def test_framing(self):
        def framing(*lines, method="GET", status=b"HTTP/1.1 200 OK"):
            return parse_head([status, *lines]).framing(method)

        self.assertEqual(Sized(4), framing(b"Content-Length: 4"))
        self.assertEqual(Sized(0), framing(b"Content-Length: 4", method="HEAD"))
        self.assertEqual(Sized(0), framing(status=b"HTTP/1.1 204 "))
        self.assertEqual(Chunked(), framing(b"Transfer-Encoding: chunked"))
        self.assertEqual(UntilClose(), framing())
        # Versions before 1.1 have no transfer codings.
        with self.assertRaises(MalformedAnswer):
            framing(b"Transfer-Encoding: chunked", status=b"HTTP/1.0 200 OK")
        # A malformed length counts also where no body follows.
        with self.assertRaises(MalformedAnswer):
            framing(b"Content-Length: x", status=b"HTTP/1.1 204 ")

    def test_connection_is_kept(self):
        for keeps, version, options in (
            (True, b"1.1", b""),
            (True, b"1.1", b"closed"),
            (False, b"1.1", b"keep-alive, Close"),
            (False, b"1.0", b""),
            (True, b"1.0", b"Keep-Alive"),
        ):
            head = [b"HTTP/" + version + b" 200 OK", b"Connection: " + options]
            with self.subTest(head=head):
                self.assertEqual(keeps, parse_head(head).keeps_connection)

    def test_size_of_a_chunk(self):
        self.assertEqual(0x1A, parse_chunk_size(b"001a;x=y\r\n"))
        # Such a line must not take time that grows with the square of its length.
        for line in (
            b"1;" + b"a" * 60_000,
            b"1;a" + b" " * 60_000,
            b"1" + b";a" * 30_000,
        ):
            with self.assertRaises(MalformedAnswer):
                parse_chunk_size(line + b"\x00\r\n")


if __name__ == "__main__":
    unittest.main()

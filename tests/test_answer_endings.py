"""How an answer ends, and what that says of the request and its backend server."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest
from unittest import mock

from poplarspar.exceptions import BackendFailed
from tests.test_endless_answers import AttemptTestCase
from tests.test_foreign_answers import RawServer
from tests.test_forwarding import FakeExchange, ForwardingTestCase, backend, request

HEAD = "HTTP/1.1 {status}\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
FIRST_EVENT = "id: 1\ndata: a\n\n"


def answer(body, framing="", status="200 OK"):
    return (HEAD.format(status=status) + framing + "\r\n" + body).encode()


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


class EndingTest(AttemptTestCase):
    def ending(self, read, data):
        """Return whether the answer broke off by a disconnection; None if complete."""
        server = RawServer([data])
        self.addCleanup(server.close)
        try:
            read(server.address)
        except BackendFailed as failure:
            self.assertTrue(failure.sent)
            return failure.disconnected
        return None

    def check(self, read, expected_by_data):
        for data, expected in expected_by_data.items():
            with self.subTest(data=data):
                self.assertEqual(expected, self.ending(read, data))

    # Guards against a harmful prompt that is never refused, since the backend servers
    # that it crashes have written the beginning of an event.
    def test_unframed_stream_that_ends_inside_an_event_shows_a_crash(self):
        for size in range(len(FIRST_EVENT)):
            for earlier in ("", FIRST_EVENT):
                if not size and earlier:
                    continue
                with self.subTest(size=size, earlier=earlier):
                    data = answer(earlier + FIRST_EVENT[:size])
                    self.assertIs(True, self.ending(self.read_events, data))

    # Guards against sound requests that are refused since faulty backend servers have
    # answered them with other bytes.
    def test_malformed_answers_show_no_crash(self):
        for data in (
            b"no answer\r\n\r\n",
            b"HTTP/1.1 x OK\r\n\r\n",
            b"HTTP/9.9 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 200 + b"\r\n",
            b"HTTP/1.1 200 OK\r\na: " + b"b" * 100_000 + b"\r\n\r\n",
            answer("no event\n\n"),
            answer("id: x\n\n", CHUNKED.replace("chunked", "identity")),
        ):
            with self.subTest(data=data[:40]):
                self.assertIs(False, self.ending(self.read_events, data))

    def test_endings_of_streams(self):
        expected_by_data = {
            answer(FIRST_EVENT): None,
            answer(chunk(FIRST_EVENT), CHUNKED): True,
            answer(chunk(FIRST_EVENT)[:-5], CHUNKED): True,
            # Ended by the backend server, which thus runs.
            answer(chunk("id: 1\nda") + "0\r\n\r\n", CHUNKED): False,
            answer("id: 1\nda", "Content-Length: 8\r\n"): False,
            answer(chunk(FIRST_EVENT) + "0\r\n\r\n", CHUNKED): None,
        }
        self.check(self.read_events, expected_by_data)

    # Guards against an empty answer for the caller when the backend server crashes.
    def test_endings_of_bodies(self):
        expected_by_data = {
            answer(""): True,
            answer("ok"): None,
            answer("", "Content-Length: 0\r\n"): None,
            answer("", status="204 No Content"): None,
            # A failure needs no body.
            answer("", status="500 Internal Server Error"): None,
            answer("ok", "Content-Length: 3\r\n"): True,
            answer(chunk("ok"), CHUNKED): True,
            answer(chunk("ok") + "0\r\n\r\n", CHUNKED): None,
        }
        self.check(self.read_body, expected_by_data)


class CrashingStreamTest(ForwardingTestCase):
    """Streams whose backend servers crash after some events, 0.1 s apart."""

    def setUp(self):
        super().setUp()
        self.now = time.monotonic()
        self.number = 0
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)

    def stream(self, *exchanges, part="x"):
        """Read a stream with the part and return how many events arrived."""
        self.now += 1.0
        self.number += 1
        received = request(
            f"/draft/{self.number}",
            model="m0",
            prompt_parts=("a", part),
            timeout_s=9.0,
            arrived_at=self.now,
        )
        answer = self.answered(self.serve(received, *exchanges))
        count = 0
        try:
            for _ in answer.events:
                self.now += 0.1
                count += 1
        except BackendFailed:
            # The caller sees that its answer broke off.
            pass
        answer.events.close()
        return count

    def crash(self, events=1):
        """Return an answer whose backend server crashes after some events."""
        return FakeExchange(numbers=range(1, 20), break_after=events, disconnected=True)

    def is_convicted(self, part):
        self.quarantine.check()
        self.now += 1.0
        self.quarantine.check()
        return any(part in entry.parts for entry in self.quarantine.entries())

    def add_backends(self):
        """Use other backend servers, since the earlier ones have crashed."""
        for id in ("h1", "h2"):
            old = self.fleet.backends_by_id[id]
            restarted = backend(id, "llm", started_ms=old.started_ms + 1)
            self.fleet.backends_by_id[id] = restarted
        self.update()

    # Guards against a harmful prompt that is never refused, since each backend server
    # that it crashes has written an event.
    def test_crashes_after_the_first_event_convict_a_part(self):
        for _ in range(3):
            self.stream(self.crash(), FakeExchange(numbers=(2, 3)), part="y")
            self.stream(self.crash(), self.crash(events=2))
            self.add_backends()
        self.assertTrue(self.is_convicted("x"))
        self.assertFalse(self.is_convicted("y"))

    def test_suspected_part_is_not_retried_after_its_first_event(self):
        for _ in range(2):
            self.stream(self.crash(), self.crash())
            self.add_backends()
        self.assertEqual(1, self.stream(self.crash(), FakeExchange(numbers=(2, 3))))

    # Guards against blame for a long answer whose backend server is lost.
    def test_stream_that_went_on_for_some_time_blames_nothing(self):
        for _ in range(4):
            self.stream(self.crash(events=5), self.crash(events=1))
            self.add_backends()
        self.assertFalse(self.is_convicted("x"))

    def test_time_that_an_earlier_backend_server_wrote_proves_nothing(self):
        for _ in range(3):
            self.stream(self.crash(events=3), self.crash(events=3))
            self.add_backends()
        self.assertTrue(self.is_convicted("x"))

    # Guards against evidence that an end which may be a crash clears.
    def test_unframed_stream_that_ends_early_proves_nothing(self):
        for _ in range(3):
            self.stream(self.crash(), self.crash())
            self.stream(FakeExchange(numbers=(1,), framed=False))
            self.add_backends()
        self.assertTrue(self.is_convicted("x"))

    def test_long_unframed_stream_clears_its_parts(self):
        for _ in range(3):
            self.stream(self.crash(), self.crash())
            self.stream(FakeExchange(numbers=range(1, 6), framed=False))
            self.add_backends()
        self.assertFalse(self.is_convicted("x"))


if __name__ == "__main__":
    unittest.main()

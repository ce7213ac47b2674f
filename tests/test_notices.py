"""Backend servers that say in their answers that they leave."""

import standins.common  # noqa: F401  # isort: skip

import json
import time
import unittest

from poplarspar.coordination.forwarding import Leaving
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.headers import parse_leaving
from tests.test_foreign_answers import RawServer
from tests.test_forwarding import (
    FakeExchange,
    ForwardingTestCase,
    backend,
    request,
)
from tests.test_platform import NodeTestCase, wait_until

REQUESTS = 40
LEAVING = {"Server-Leaving": "1"}


class LeavingTest(NodeTestCase):
    def setUp(self):
        super().setUp()
        self.leaving, self.other = self.workers
        for worker in self.workers:
            wait_until(
                lambda worker=worker: self.send("/look/0") and worker.requests,
                "each worker is used",
            )

    def tell(self, mode="ok", **headers):
        """Let one worker send headers with its next answer, and only with it."""
        self.leaving.extra_headers = headers or LEAVING
        self.leaving.answer_modes = [mode]
        before = len(self.leaving.requests)
        wait_until(
            lambda: (
                self.send("/look/1")
                and (
                    len(self.leaving.requests) > before or not self.leaving.answer_modes
                )
            ),
            "the worker has answered",
        )
        self.leaving.extra_headers = {}
        self.leaving.answer_modes = []

    def assert_left_alone(self):
        before = len(self.leaving.requests)
        for number in range(REQUESTS):
            path = "/pay/1" if number % 2 else "/look/1"
            self.assertEqual(200, self.send(path).status)
        self.assertEqual(before, len(self.leaving.requests))

    def assert_used(self):
        before = len(self.leaving.requests)
        for _ in range(REQUESTS):
            self.send("/look/1")
        self.assertGreater(len(self.leaving.requests), before)

    # Guards against requests to a server that has told this node that it leaves.
    def test_server_that_leaves_gets_no_more_requests(self):
        self.tell()
        self.assert_left_alone()

    def test_refusals_and_errors_count_too(self):
        self.tell("shed")
        self.assert_left_alone()

    # Guards against an older entry that is taken for the newer word, also while the
    # store is away.
    def test_entry_and_outage_of_the_store_undo_nothing(self):
        self.tell()
        self.store.put(f"servers/{self.leaving.id}", self.leaving.entry("ledger"))
        time_before = time.monotonic()
        self.assert_left_alone()
        self.store.down = True
        while time.monotonic() < time_before + 2.0:
            self.assert_left_alone()

    # Guards against a server that gets nothing after it has started again.
    def test_next_incarnation_gets_requests(self):
        self.tell()
        restarted = self.leaving.entry("ledger", born=1_700_000_000_001)
        self.store.put(f"servers/{self.leaving.id}", restarted)
        incarnation = (self.leaving.id, 1_700_000_000_001)
        targets = self.node._targets
        wait_until(lambda: incarnation in targets.by_key, "it is listed again")
        self.assert_used()

    # Guards against another server at the address that speaks for this one.
    def test_misdirected_answer_says_nothing(self):
        self.tell("misdirected")
        self.assert_used()

    def test_malformed_values_are_ignored(self):
        for value in ("0", "true", "", "11", "1, 0", "-1", "9" * 400):
            with self.subTest(value=value):
                self.assertFalse(parse_leaving(value))
        self.tell(**{"Server-Leaving": "yes"})
        self.assert_used()

    def test_repeated_header_in_another_case_counts(self):
        self.assertTrue(parse_leaving("1, 1"))
        self.tell(**{"SERVER-LEAVING": "1"})
        self.assert_left_alone()

    # Guards against waiting for a server that takes nothing any more.
    def test_request_without_another_server_is_refused_at_once(self):
        self.tell()
        self.other.extra_headers = LEAVING
        self.assertEqual(200, self.send("/look/1").status)
        began = time.monotonic()
        answer = self.send("/pay/1")
        self.assertEqual(503, answer.status)
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertNotIn("Server-Leaving", answer.headers)


class LeavingHeadTest(ForwardingTestCase):
    # Guards against new and resumed streams at the head of a group that leaves.
    def test_head_that_leaves_gets_no_streams(self):
        broken = FakeExchange(numbers=(1, 2), break_after=1, notices=(Leaving(),))
        resumed = FakeExchange(numbers=(2,))
        result = self.serve(request("/draft/1", model="m0"), broken, resumed)
        events = self.answered(result).events
        self.assertEqual(2, len(list(events)))
        events.close()
        leaving, other = (attempt.backend_id for attempt in self.upstream.attempts)
        self.assertNotEqual(leaving, other)
        # An older entry and plan list it as before.
        self.update()
        for _ in range(REQUESTS):
            stream = FakeExchange(numbers=(1,))
            result = self.serve(request("/draft/1", model="m0"), stream)
            events = self.answered(result).events
            list(events)
            events.close()
            self.assertEqual([other], [a.backend_id for a in self.upstream.attempts])


class LeavingMemberTest(unittest.TestCase):
    # Guards against a planner that learns of it only from the store.
    def test_report_says_that_the_server_leaves(self):
        body = json.dumps({"born": 1, "models": [], "seq": 0}).encode()
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n"
        for header, leaving in ((b"Server-Leaving: 1\r\n", True), (b"", False)):
            server = RawServer([head % (header, len(body)) + body])
            self.addCleanup(server.close)
            report = PlatformReportReader().read(
                backend("s1", "llm", address=server.address), 1.0
            )
            self.assertEqual(leaving, report.leaving)


if __name__ == "__main__":
    unittest.main()

"""Backend servers that say in their answers that they leave, or ask for a pause."""

import standins.common  # noqa: F401  # isort: skip

import json
import time
import unittest
from dataclasses import replace
from unittest import mock

import eventlet

from poplarspar.coordination.forwarding import Leaving, Pause
from poplarspar.coordination.forwarding.notices import ServerNotices
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.headers import MAX_PAUSE_S, parse_leaving, parse_pause
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


class LeavingTestCase(NodeTestCase):
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

    def is_used(self):
        before = len(self.leaving.requests)
        return self.send("/look/1") and len(self.leaving.requests) > before


class LeavingTest(LeavingTestCase):
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
                self.assertIsNone(parse_leaving(value))
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

    # Guards against streams at a leader that has asked for a pause.
    def test_head_that_asks_for_a_pause_gets_no_streams(self):
        refused = FakeExchange(503, not_executed=True, notices=(Pause(30.0),))
        sound = FakeExchange(numbers=(1,))
        result = self.serve(request("/draft/1", model="m0"), refused, sound)
        self.answered(result).events.close()
        paused, other = (attempt.backend_id for attempt in self.upstream.attempts)
        for _ in range(REQUESTS):
            result = self.serve(
                request("/draft/1", model="m0"), FakeExchange(numbers=(1,))
            )
            self.answered(result).events.close()
            self.assertEqual([other], [a.backend_id for a in self.upstream.attempts])
        self.assertNotEqual(paused, other)


class PauseTest(LeavingTestCase):
    def test_server_gets_nothing_until_its_pause_ends(self):
        self.tell("shed", **{"Retry-After": "1.5"})
        refused_at = self.leaving.arrivals[-1][1]
        while time.monotonic() < refused_at + 1.6:
            self.assertEqual(200, self.send("/look/1").status)
        early = [
            at - refused_at
            for _, at, _ in self.leaving.arrivals
            if refused_at < at < refused_at + 1.5
        ]
        self.assertEqual([], early)
        wait_until(
            lambda: self.send("/look/1") and self.is_used(),
            "it is used after the pause",
        )

    # Guards against a time to come back at which the request is refused again.
    def test_request_is_refused_at_once_until_the_first_pause_ends(self):
        self.other.extra_headers = {"Retry-After": "9"}
        self.other.answer_modes = ["shed"]
        wait_until(lambda: self.send("/look/1") and self.paused() == 1, "one pauses")
        self.tell("shed", **{"Retry-After": "1.2"})
        wait_until(lambda: self.send("/look/1") and self.paused() == 2, "both pause")
        began = time.monotonic()
        answer = self.send("/pay/1")
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertEqual(429, answer.status)
        retry_after_s = float(answer.headers["Retry-After"])
        self.assertTrue(0.3 < retry_after_s <= 1.2, retry_after_s)
        eventlet.sleep(retry_after_s + 0.1)
        self.assertEqual(200, self.send("/pay/1").status)

    def paused(self):
        return self.node._targets.notices.paused_count()

    def test_retry_after_with_other_statuses_says_nothing(self):
        self.tell(**{"Retry-After": "30"})
        self.assertEqual(0, self.paused())
        self.assert_used()

    # Guards against a pause that is ignored since a program prints it with many digits.
    def test_pauses_of_any_length_are_read(self):
        self.assertEqual(4 / 3, parse_pause(str(4 / 3)))
        self.assertEqual(MAX_PAUSE_S, parse_pause("9" * 400))
        self.assertEqual(30.0, parse_pause("0" * 400 + "30"))
        self.tell("shed", **{"Retry-After": "30.3333333333333333"})
        self.assertEqual(1, self.paused())

    def test_malformed_pauses_are_ignored(self):
        for value in (
            *("-1", "1e3", "", "5, 5", "inf", "nan", "0x5", "1.", "\u00b2"),
            "Wed, 21 Oct 2026 07:28:00 GMT",
        ):
            with self.subTest(value=value):
                self.assertIsNone(parse_pause(value))
        self.tell("shed", **{"Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT"})
        self.assertEqual(0, self.paused())
        self.assert_used()


class ServerNoticesTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.notices = ServerNotices()
        self.server = backend("s1")

    def pause(self, duration_s):
        self.notices.record(self.server, Pause(duration_s), 503)

    def rest(self):
        return self.notices.paused_s(self.server, self.now)

    # Guards against a server that takes itself out of use for good.
    def test_pause_is_bounded(self):
        self.pause(999_999_999.0)
        self.assertEqual(300.0, self.rest())

    # Guards against a pause that an answer from before it ends.
    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.pause(5.0)
        self.pause(1.0)
        self.assertEqual(5.0, self.rest())

    # Guards against a burst of all that waited when a pause ends.
    def test_requests_return_step_by_step(self):
        self.pause(2.0)
        admitted = []
        for at in (0.0, 1.9, 2.1, 2.5, 2.9, 3.1):
            self.now = 1000.0 + at
            admitted.append(self.notices.admitted_in_flight(self.server, 10, self.now))
        self.assertEqual([0, 0, 2, 5, 9, None], admitted)

    def test_pause_is_of_one_incarnation(self):
        self.pause(5.0)
        restarted = replace(self.server, started_ms=2)
        self.assertEqual(0.0, self.notices.paused_s(restarted, self.now))

    def test_what_is_not_listed_any_more_is_dropped_after_a_while(self):
        self.notices.record(self.server, Leaving(), 200)
        self.notices.retain(set())
        self.assertTrue(self.notices.is_leaving(self.server))
        self.now += 61.0
        self.notices.retain({self.server.incarnation})
        self.assertTrue(self.notices.is_leaving(self.server))
        self.notices.retain(set())
        self.assertFalse(self.notices.is_leaving(self.server))


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

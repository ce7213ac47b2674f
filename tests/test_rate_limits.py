"""Limits that backend servers name in their answers."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest
from unittest import mock

import eventlet

from poplarspar.coordination.forwarding.rate_limits import (
    NamedLimit,
    NoLimit,
    RateLimits,
    UnreadableLimit,
)
from poplarspar.coordination.pools.plan_exchange import PlanExchange
from poplarspar.coordination.sharing import even_share
from poplarspar.platform.headers import (
    MAX_REQUESTS_PER_S,
    IgnoredHeaders,
    parse_rate_limit,
)
from poplarspar.state.plan import NodeLoad
from poplarspar.state.rate_limits import RateLimit
from poplarspar.state.refusals import Ran, Reason
from tests.test_forwarding import FakeExchange, ForwardingTestCase, backend, request
from tests.test_platform import NodeTestCase, wait_until

NODES = 3
LIMIT_PER_S = 2.0
# The users' bound: in any window, one and a half times the limit and some more.
WINDOW_S = 4.0
MOST_IN_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5
LEARNING_S = 1.0


class HeaderTest(unittest.TestCase):
    # Guards against a limit that is ignored since a program prints it with many digits.
    def test_decimal_numbers_of_any_length_are_limits(self):
        limits_by_text = {
            "2.4": 2.4,
            "3": 3.0,
            "0": 0.0,
            str(1 / 3): 1 / 3,
            "0." + "3" * 400: 1 / 3,
            "0" * 400 + "2.5": 2.5,
            "0." + "0" * 400 + "1": 0.0,
            "9" * 99: MAX_REQUESTS_PER_S,
            "9" * 5000: MAX_REQUESTS_PER_S,
        }
        for text, limit in limits_by_text.items():
            with self.subTest(text=text[:30]):
                self.assertEqual(NamedLimit(limit), parse_rate_limit(text))

    def test_other_texts_are_unreadable(self):
        self.assertEqual(NoLimit(), parse_rate_limit(None))
        for text in ("", "nan", "inf", "-1", "1e9", "2.4 a second", ".", "\u00b2"):
            with self.subTest(text=text):
                self.assertEqual(UnreadableLimit(), parse_rate_limit(text))

    def test_malformed_value_is_logged_once(self):
        ignored = IgnoredHeaders()
        with mock.patch("poplarspar.platform.headers.log_event") as log:
            for value in ("x", "x", "y", "y", "x"):
                ignored.record("s1", "Server-Limit", value)
            ignored.record("s2", "Server-Limit", "x")
        self.assertEqual(4, log.call_count)


class UnreadableLimitTest(unittest.TestCase):
    # Guards against a value that can't be read and ends a limit that is known.
    def test_unreadable_limit_changes_nothing(self):
        limits, server = RateLimits(lambda total, subject: total), backend("s1")
        limits.observe(server, UnreadableLimit(), time.monotonic())
        self.assertEqual(0, limits.count())
        limits.observe(server, NamedLimit(0.0), time.monotonic())
        limits.observe(server, UnreadableLimit(), time.monotonic() + 1)
        self.assertEqual(1, limits.count())
        limits.observe(server, NoLimit(), time.monotonic() + 1)
        self.assertEqual(0, limits.count())


class SharesTest(unittest.TestCase):
    """Several nodes' shares of one limit, on a simulated time of day."""

    def setUp(self):
        self.now = 1_700_000_000.0
        patcher = mock.patch("time.time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.backend = backend("s1")

    def start(self, count, limit):
        names = [f"n-{index}" for index in range(count)]
        self.nodes = [self.node(name, names) for name in names]
        for node in self.nodes:
            node.merge((RateLimit("s1", 1, limit, time.monotonic()),))

    @staticmethod
    def node(name, names):
        return RateLimits(
            lambda total, subject: even_share(total, name, names, len(names), subject)
        )

    def send(self, node):
        if not node.may_send(self.backend):
            return False
        node.record_sent(self.backend)
        return True

    def test_greedy_nodes_stay_within_the_bound_in_each_window(self):
        for count, limit in ((9, 2.4), (84, 2.4), (3, 0.3), (9, 40.0), (360, 7.5)):
            self.start(count, limit)
            times = []
            for _ in range(200):
                self.now += 0.1
                times += [self.now for node in self.nodes if self.send(node)]
            most = max(sum(at <= t < at + WINDOW_S for t in times) for at in times)
            with self.subTest(nodes=count, limit=limit):
                self.assertLessEqual(most, 1.5 * WINDOW_S * limit + 5)
                self.assertGreaterEqual(len(times), 0.8 * 20 * limit)

    # Guards against a burst when nodes that were idle all begin to send.
    def test_nodes_that_were_idle_stay_within_the_bound(self):
        self.start(9, 2.4)
        self.now += 60.0
        times = []
        for _ in range(60):
            self.now += 0.1
            times += [self.now for node in self.nodes for _ in "ab" if self.send(node)]
        most = max(sum(at <= t < at + WINDOW_S for t in times) for at in times)
        self.assertLessEqual(most, 1.5 * WINDOW_S * 2.4 + 5)

    def test_unused_share_is_carried_to_the_next_slot_only(self):
        self.start(1, 2.0)
        self.assertEqual(4, sum(self.send(self.nodes[0]) for _ in range(9)))
        self.now += 1.0
        self.assertEqual(2, sum(self.send(self.nodes[0]) for _ in range(9)))
        self.now += 5.0
        self.assertEqual(4, sum(self.send(self.nodes[0]) for _ in range(9)))

    def test_limit_of_zero_still_admits_a_request_now_and_then(self):
        self.start(1, 0.0)
        sent = 0
        for _ in range(40):
            self.now += 1.0
            sent += self.send(self.nodes[0])
        self.assertIn(sent, (3, 4, 5))


class ObservationTest(unittest.TestCase):
    def setUp(self):
        self.limits = RateLimits(lambda total, subject: total)
        self.backend = backend("s1")

    def test_limit_ends_with_an_answer_without_it(self):
        self.limits.observe(self.backend, NamedLimit(2.0), time.monotonic())
        self.assertEqual(1, self.limits.count())
        self.limits.observe(self.backend, NoLimit(), time.monotonic())
        self.assertEqual(0, self.limits.count())

    # Guards against lifting a limit by a late answer to an earlier request.
    def test_answer_to_an_earlier_request_does_not_end_a_limit(self):
        sent_at = time.monotonic()
        self.limits.observe(self.backend, NamedLimit(2.0), sent_at)
        self.limits.observe(self.backend, NoLimit(), sent_at - 0.1)
        self.assertEqual(1, self.limits.count())

    def test_newer_observation_of_another_node_applies(self):
        self.limits.observe(self.backend, NamedLimit(2.0), time.monotonic())
        now = time.monotonic()
        self.limits.merge((RateLimit("s1", 1, None, now - 5.0),))
        self.assertEqual(1, self.limits.count())
        self.limits.merge((RateLimit("s1", 1, None, now + 0.1),))
        self.assertEqual(0, self.limits.count())

    def test_restarted_backend_server_has_no_limit(self):
        self.limits.observe(self.backend, NamedLimit(0.0), time.monotonic())
        self.assertTrue(self.limits.may_send(backend("s1", started_ms=2)))

    # Guards against a table that grows with each backend server that ever had a limit.
    def test_limits_of_ended_backend_servers_are_dropped(self):
        for number in range(50):
            self.limits.observe(
                backend(f"s{number}"), NamedLimit(2.0), time.monotonic()
            )
        self.limits.retain({("s1", 1)})
        self.assertEqual(50, self.limits.count())
        later = time.monotonic() + 31.0
        with mock.patch("time.monotonic", lambda: later):
            self.limits.retain({("s1", 1)})
        self.assertEqual(1, self.limits.count())

    def test_reports_are_bounded(self):
        for number in range(100):
            self.limits.observe(
                backend(f"s{number}"), NamedLimit(2.0), time.monotonic()
            )
        self.assertEqual(64, len(self.limits.reports()))


class PlanExchangeTest(unittest.TestCase):
    # Guards against a new node that sends freely until each backend server tells it.
    def test_plan_has_the_newest_limits_that_nodes_reported(self):
        exchange = PlanExchange(lambda head: None)
        exchange.publish((), ())
        now = time.monotonic()
        old, new = (RateLimit("s1", 1, limit, now + limit) for limit in (1.0, 2.0))
        exchange.exchange("n1", NodeLoad(0, rate_limits=(new,)))
        plan = exchange.exchange("n2", NodeLoad(0, rate_limits=(old,)))
        self.assertEqual((new,), plan.rate_limits)


class RefusalTest(ForwardingTestCase):
    def limit_all(self):
        for id in ("s1", "s2", "s3"):
            limits = self.targets.rate_limits
            backend = self.fleet.backends_by_id[id]
            limits.observe(backend, NamedLimit(0.0), time.monotonic())
            while limits.may_send(self.fleet.backends_by_id[id]):
                limits.record_sent(self.fleet.backends_by_id[id])

    # Guards against holding requests that no backend server will take.
    def test_request_that_all_limits_exclude_is_refused_with_a_retry_time(self):
        with mock.patch("time.time", lambda: 1_700_000_000.2):
            self.limit_all()
            started_at = time.monotonic()
            refusal = self.refused(self.serve(request()))
            self.assertLess(time.monotonic() - started_at, 0.04)
        self.assertEqual((Reason.QUEUE_FULL, Ran.NO), (refusal.reason, refusal.ran))
        self.assertAlmostEqual(0.8, refusal.retry_after_s, places=3)

    def test_unlimited_backend_server_gets_the_requests(self):
        self.limit_all()
        s2 = self.fleet.backends_by_id["s2"]
        self.targets.rate_limits.observe(s2, NoLimit(), time.monotonic())
        for _ in range(4):
            self.answered(self.serve(request(), FakeExchange()))
            self.assertEqual("s2", self.upstream.attempts[0].backend_id)


class SeveralNodesTest(NodeTestCase):
    def setUp(self):
        super().setUp()
        self.nodes = [self.node, *(self.start_node() for _ in range(NODES - 1))]
        for node in self.nodes:
            wait_until(node.is_ready, "node is ready")
        self.limited, self.other = self.workers
        self.limited.rate_limit = LIMIT_PER_S

    def send_for(self, duration_s):
        """Send fifteen requests a second to all nodes in turn; return the statuses."""
        tasks = []
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            node = self.nodes[len(tasks) % NODES]
            tasks.append(eventlet.spawn(self.send, "/look/1", node=node))
            eventlet.sleep(1 / 15)
        return [task.wait().status for task in tasks]

    def most_in_window(self, since):
        times = [run.started_at for run in self.limited.runs if run.started_at > since]
        return max(
            (sum(at <= other < at + WINDOW_S for other in times) for at in times),
            default=0,
        )

    # Guards against nodes that ignore the limit, or that each use all of it.
    def test_all_nodes_together_keep_to_the_limit_of_a_backend_server(self):
        started_at = time.monotonic()
        statuses = self.send_for(LEARNING_S + WINDOW_S + 1.0)
        self.assertEqual({200}, set(statuses))
        count = self.most_in_window(started_at + LEARNING_S)
        self.assertLessEqual(count, MOST_IN_WINDOW)
        self.assertGreaterEqual(count, 0.5 * WINDOW_S * LIMIT_PER_S)


if __name__ == "__main__":
    unittest.main()

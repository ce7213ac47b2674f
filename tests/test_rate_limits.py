"""Limits that backend servers name in their answers."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest

import eventlet

from poplarspar.platform.headers import parse_rate_limit
from tests.test_platform import NodeTestCase, wait_until

NODES = 3
LIMIT_PER_S = 2.0
# The users' bound: in any window, one and a half times the limit and some more.
WINDOW_S = 4.0
MOST_IN_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5
LEARNING_S = 1.0


class HeaderTest(unittest.TestCase):
    def test_decimal_numbers_are_limits_and_other_texts_are_none(self):
        self.assertEqual([2.4, 3.0, 0.0], [*map(parse_rate_limit, ("2.4", "3", "0"))])
        for text in (None, "", "nan", "inf", "-1", "1e9", "2.4 a second", "9" * 99):
            with self.subTest(text=text):
                self.assertIsNone(parse_rate_limit(text))


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

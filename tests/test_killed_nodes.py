"""Harmful and sound prompt parts after all nodes were killed at the same moment.

What nodes know of answers ends with them; their evidence stays in the store.
"""

import time
import unittest

import eventlet

from tests.test_platform import wait_until
from tests.test_quarantine import (
    ALLOWED_AFTERWARDS,
    NODES,
    STABLE_WINDOW_S,
    CrashingBackend,
    CrashingBackendTestCase,
    LargeFleetTestCase,
)

ROUNDS = 3
# Backend servers that crashed last are back only after the nodes have read, and
# weighed, the evidence.
SILENT_S = 2.0
JUDGED_S = 8.0


class KilledNodesTest(CrashingBackendTestCase):
    # Too few for crashes at one moment to make a part suspected, which nodes would
    # tell each other.
    backend_count = 3
    number = 1000

    def ask(self, *parts):
        """Send a request that no other one equals to the next node."""
        self.number += 1
        body = b"%d" % self.number
        return self.send_parts(self.number, *parts, body=body)

    def crash_pool(self):
        """Let all backend servers crash under sound requests, and come back."""
        for worker in self.workers:
            worker.work_s = 0.2
            worker.answer_modes = ["lost"] * 4
        tasks = [eventlet.spawn(self.ask, "aa0") for _ in range(3 * NODES)]
        for task in tasks:
            task.wait()
        started_by_id = {}
        for worker in self.workers:
            worker.work_s = 0.0
            worker.answer_modes = []
            worker._started_ms += 1
            worker.register()
            started_by_id[worker.id] = worker._started_ms
        for node in self.nodes:
            wait_until(
                lambda node=node: self.started_by_id(node) == started_by_id,
                "node knows that the backend servers have started again",
            )

    @staticmethod
    def started_by_id(node):
        backends = node._fleet_updater.fleet.backends_by_id.values()
        return {backend.id: backend.started_ms for backend in backends}

    def replace_nodes(self):
        """Kill all nodes and start new ones, which know nothing but the store."""
        for node in self.nodes:
            node.close()
        self.nodes = [self.start_node() for _ in range(NODES)]
        self.node = self.nodes[0]
        for node in self.nodes:
            wait_until(node.is_ready, "node is ready")
        eventlet.sleep(SILENT_S)

    def play(self, is_harmful):
        """Crash the pool several times between answers, then kill the nodes."""
        for _ in range(ROUNDS):
            for _ in range(2 * NODES):
                self.assertEqual(200, self.ask("aa0"))
            if is_harmful:
                self.ask("aa0", "bad0")
            self.crash_pool()
        self.replace_nodes()

    def ask_in_turn(self, is_harmful):
        """Return the statuses of sound and of harmful requests, sent in turn."""
        ends_at = time.monotonic() + JUDGED_S
        sound, harmful = [], []
        while time.monotonic() < ends_at:
            if is_harmful:
                harmful.append(self.ask("aa0", "bad0"))
            sound += [self.ask("aa0"), self.ask("aa0", "cc0")]
            eventlet.sleep(0.1)
        return sound, harmful

    # Guards against sound requests that restarted nodes refuse, since the crashes of
    # before count against their common part although answers have cleared it.
    def test_common_part_is_served(self):
        self.play(is_harmful=False)
        sound, _ = self.ask_in_turn(is_harmful=False)
        self.assertEqual({200}, set(sound))

    # Guards against clearing too much: the harmful part must still be found.
    def test_harmful_part_is_refused_while_the_common_one_is_served(self):
        self.play(is_harmful=True)
        began_at = time.monotonic()
        sound, harmful = self.ask_in_turn(is_harmful=True)
        fifth_at = max(began_at, CrashingBackend.crashes[4])
        late = [at for at in CrashingBackend.crashes if at > fifth_at + STABLE_WINDOW_S]
        self.assertLessEqual(len(late), ALLOWED_AFTERWARDS)
        self.assertEqual({503}, set(harmful[-10:]))
        self.assertEqual({200}, set(sound))


class LargeFleetTest(LargeFleetTestCase, KilledNodesTest):
    """The same where the planner reads the evidence for the other nodes."""


if __name__ == "__main__":
    unittest.main()

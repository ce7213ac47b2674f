"""Connections to the store that go silent without a reset, while new ones work."""

import standins.common  # noqa: F401  # isort: skip

import os
import tempfile
import time
import unittest
from pathlib import Path

import eventlet

from poplarspar.coordination.session import PLANNER_KEY
from poplarspar.exceptions import TransportError
from poplarspar.transport.http import send_request
from soak.environment import HOST, KEYS, Environment
from soak.nodes import Node
from standins.cluster import wait_for

NODE_COUNT = 4
READY_TIMEOUT_S = 60.0
# A version must be in force this long after its acknowledgement, at machines whose
# connections have not been disturbed for the stable window.
APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
PROBE_INTERVAL_S = 0.03
# Longer than all times that nodes need to follow each other again.
SETTLE_S = 6.0
GAPS_S = (0.7, 0.1, 1.2)


class NodeProcessesTest(unittest.TestCase):
    """Real node processes whose connections to the store go silent together."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.environment = Environment()
        self.addCleanup(self.environment.close)
        host = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}"
        self.nodes = []
        for index in range(NODE_COUNT):
            path = self.environment.open_store_path()
            node = Node(index, f"{host}.{index + 1}", Path(folder.name), path)
            self.addCleanup(node.close)
            self.nodes.append(node)
            checker = eventlet.spawn(node.check_readiness)
            self.addCleanup(checker.kill)
        self.wait_settled()

    def wait_settled(self):
        wait_for(
            lambda: all(node.in_rotation for node in self.nodes),
            "all nodes are ready",
            READY_TIMEOUT_S,
        )
        eventlet.sleep(SETTLE_S)

    def silence(self, nodes):
        for node in nodes:
            self.environment.set_path(node.store_address, "forget")

    def check_rounds(self, silenced, kills_planner):
        """Check that versions are in force in time after connections went silent.

        Parameters
        ----------
        silenced : callable
            Returns the nodes whose connections go silent, given the planner.
        kills_planner : bool
            Whether the planner is killed at the same moment.
        """
        for gap_s in GAPS_S:
            with self.subTest(gap_s=gap_s):
                planner = self.planner()
                self.silence(silenced(planner))
                silent_at = time.monotonic()
                if kills_planner:
                    planner.kill()
                eventlet.sleep(gap_s)
                late_nodes = self.late_nodes(silent_at)
                if kills_planner:
                    planner.start()
                self.wait_settled()
                self.assertEqual(set(), late_nodes)

    def late_nodes(self, silent_at):
        """Publish a version; return nodes that don't apply it when they must."""
        self.environment.publish()
        due_at = max(time.monotonic() + APPLY_S, silent_at + STABLE_WINDOW_S)
        probes = {
            node.name: eventlet.spawn(self.wait_applied, node, due_at)
            for node in self.nodes
            if node.running
        }
        return {name for name, probe in probes.items() if not probe.wait()}

    def wait_applied(self, node, due_at):
        while True:
            sent_at = time.monotonic()
            if self.has_newest_route(node):
                return True
            if sent_at > due_at:
                return False
            eventlet.sleep(PROBE_INTERVAL_S)

    def has_newest_route(self, node):
        headers = {
            "Host": HOST,
            "Attempt-Id": f"probe-{time.monotonic()}",
            "Authorization": f"Token {KEYS['pilots']}",
        }
        path = f"/v{self.environment.version}/"
        try:
            answer = send_request(
                node.address, "GET", path, read_timeout_s=1.0, headers=headers
            )
        except TransportError:
            return False
        return answer.status == 200

    def planner(self):
        """Return the node whose process holds the planner's key."""
        name = self.environment.store.text(PLANNER_KEY).partition(".")[0]
        return next(node for node in self.nodes if node.name == name)

    def others(self, planner):
        return [node for node in self.nodes if node is not planner]

    # Guards against requests that nodes handle as only an older configuration allows,
    # for seconds after their connections to the store have gone silent.
    def test_versions_are_in_force_in_time_after_connections_went_silent(self):
        self.check_rounds(lambda planner: self.nodes, kills_planner=False)

    # Guards against the same while the planner, which announces versions to the
    # others, is replaced.
    def test_versions_are_in_force_in_time_while_the_planner_is_replaced(self):
        self.check_rounds(lambda planner: self.nodes, kills_planner=True)

    # Guards against the same at one node, whose own connections alone are silent.
    def test_node_with_silent_connections_follows_while_the_planner_is_replaced(self):
        self.check_rounds(lambda planner: self.others(planner)[:1], kills_planner=True)

    # Guards against seconds without a planner, whose lease ends since its renewal waits
    # on a silent connection.
    def test_planner_keeps_its_lease_when_its_connection_goes_silent(self):
        for _ in GAPS_S:
            key = self.environment.store.text(PLANNER_KEY)
            self.silence(self.nodes)
            self.wait_settled()
            self.assertEqual(key, self.environment.store.text(PLANNER_KEY))


if __name__ == "__main__":
    unittest.main()

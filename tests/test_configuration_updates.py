"""How versions of the configuration reach a node, and what its logs tell of it."""

import standins.common  # noqa: F401  # isort: skip

import unittest

import eventlet

from poplarspar.state.plan import StoreRevisions
from standins.platform import configuration
from tests.test_platform import NodeTestCase, wait_until

APPLY_S = 2.0
STABLE_WINDOW_S = 3.0


class LogTest(NodeTestCase):
    def lines(self, event):
        return [record for record in self.records if record.event == event]

    def test_lines_tell_the_version_of_each_decision_and_how_it_was_learnt(self):
        with self.assertLogs("poplarspar", "INFO") as logs:
            self.records = logs.records
            self.store.put("op/config", configuration(8))
            wait_until(lambda: self.lines(220), "the version is in effect")
            self.send("/pay/7", Attempt_Id="served")
            self.send("/nowhere/", Attempt_Id="refused")
        (applied,) = self.lines(220)
        self.assertEqual((8, 3), (applied.version, applied.before))
        (read,) = self.lines(222)
        self.assertEqual(self.store.revision_of("op/config"), read.newest)
        self.assertIn(read.way, ("watch", "read"))
        for event in (413, 410):
            (line,) = self.lines(event)
            self.assertEqual(8, line.version)
            self.assertLess(line.version_age_ms, 5000)
            self.assertLess(line.store_answered_ms, 5000)


class OmittedChangeTest(NodeTestCase):
    # Guards against a version that stays hidden behind a newer change of another key,
    # since a node that knows the newest revision takes itself for up to date.
    def test_version_that_a_watch_omits_is_not_hidden_by_a_later_evacuation(self):
        wait_until(lambda: self.node._planning.may_plan(), "first node plans")
        self.node._planning._plan_exchange.publish((), ())
        follower = self.start_node()
        wait_until(follower._follows_plan, "second node follows the plan")
        eventlet.sleep(1.0)
        self.store.omitted_revisions.add(self.store.revision + 1)
        self.store.put("op/config", configuration(8))
        self.store.put("op/evacuate/z-b", {})
        nodes = (self.node, follower)
        with eventlet.Timeout(STABLE_WINDOW_S, False):
            while any(self.version_at(node) != 8 for node in nodes):
                eventlet.sleep(0.02)
        self.assertEqual([8, 8], [self.version_at(node) for node in nodes])

    @staticmethod
    def version_at(node):
        return node._fleet_updater.fleet.configuration.version


class PlannerLossTest(NodeTestCase):
    # Guards against a watch that waits for 2.2 s on a silent connection while no
    # planner announces versions.
    def test_node_watches_on_new_connections_once_its_planner_is_lost(self):
        store = self.node._adapters.store
        operator = self.node._announcements.watchers.operator
        wait_until(lambda: operator._watching_task, "the node watches")
        earlier_client = store._client
        announcements = self.node._announcements
        announcements.receive(StoreRevisions(operator=1))
        with self.assertLogs("poplarspar", "INFO") as logs:
            announcements.lose_planner()
            self.store.put("op/config", configuration(8))
            wait_until(
                lambda: OmittedChangeTest.version_at(self.node) == 8, "version in force"
            )
        abandoned = {line.prefix for line in logs.records if line.event == 310}
        self.assertIn("op/", abandoned)
        self.assertIsNot(earlier_client, store._client)
        # Links to a planner that no longer is one end each time.
        later_client = store._client
        announcements.lose_planner()
        self.assertIs(later_client, store._client)


class StoppingNodeTest(NodeTestCase):
    # Guards against a stopping node that answers its last callers by an old version.
    def test_versions_are_in_force_while_the_node_stops(self):
        stopping = eventlet.spawn(self.node.shut_down)
        self.addCleanup(stopping.kill)
        eventlet.sleep(0.5)
        self.store.put("op/config", configuration(8, routes=[]))
        with eventlet.Timeout(APPLY_S, AssertionError("the route is still served")):
            while self.send("/pay/7").status != 404:
                eventlet.sleep(0.05)


if __name__ == "__main__":
    unittest.main()

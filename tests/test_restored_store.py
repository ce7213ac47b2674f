"""A store that is restored from an older copy, and what nodes remember of it."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest
from unittest import mock

import eventlet

from poplarspar.coordination.pools.fencing import TOKENS_PER_TERM
from poplarspar.coordination.session import MEMBER_PREFIX, PLANNER_KEY
from poplarspar.exceptions import HistoryLost, RevisionConflict, StoreUnavailable
from poplarspar.platform.store import PlatformStore
from standins.platform import Store, configuration
from tests.test_platform import NodeTestCase, wait_until

# Of which the store loses more than are written until the checks have ended.
LOST_CHANGES = 300
# Within which changes must be in effect.
APPLY_S = 2.0


def write_others(store, count=LOST_CHANGES):
    """Change keys that no node reads."""
    for number in range(count):
        store.put("others/key", number)


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.client = PlatformStore(self.store.address)
        self.addCleanup(self.client.close)
        self.store.put("op/a", 1)

    # Guards against a node that takes the restored store for a faulty one, and reads
    # nothing until as many revisions have been given out again.
    def test_revisions_grow_over_a_restore(self):
        copy = self.store.copy()
        write_others(self.store)
        before = self.client.read_all("op/")
        for _ in range(3):
            self.store.restore(copy)
            after = self.client.read_all("op/")
            self.assertEqual(["1"], [item.text for item in after.items])
            self.assertGreater(after.as_of, before.as_of)
            self.assertGreater(after.items[0].revision, before.as_of)
            before = after
        written = self.client.compare_and_swap(
            "op/a", before.items[0].revision, "2", ""
        )
        self.assertGreater(written, before.as_of)

    def test_parts_are_told_once_of_a_restore(self):
        calls = []
        self.client.on_restore(lambda: calls.append(self.client.era))
        copy = self.store.copy()
        self.client.read("op/a")
        self.assertEqual([], calls)
        self.store.restore(copy)
        self.client.read("op/a")
        self.client.read("op/a")
        self.assertEqual([1], calls)

    # Guards against a watch that starts at a revision that was given out again.
    def test_watch_from_before_a_restore_finds_no_history(self):
        copy = self.store.copy()
        self.store.put("op/b", 1)
        known = self.client.read_all("op/").as_of
        self.store.restore(copy)
        self.store.put("op/c", 1)
        self.store.put("op/d", 1)
        with self.assertRaises(HistoryLost):
            self.client.changes("op/", known, 0.1)
        with self.assertRaises(HistoryLost):
            self.client.changes("op/", known, 0.1)

    # Guards against a write over a value that was never read, at its revision.
    def test_compare_and_swap_from_before_a_restore_conflicts(self):
        copy = self.store.copy()
        expected = self.client.compare_and_swap("op/b", 0, "1")
        self.store.restore(copy)
        self.store.put("op/b", 2)
        self.client.read("op/a")
        with self.assertRaises(RevisionConflict):
            self.client.compare_and_swap("op/b", expected, "3")
        self.assertEqual("2", self.client.read("op/b").text)

    # Guards against the loss of another node's keys, or of this one's.
    def test_lease_number_that_is_granted_again_is_another_lease(self):
        copy = self.store.copy()
        lease = self.client.grant_lease(5.0)
        self.store.restore(copy)
        other = PlatformStore(self.store.address)
        self.addCleanup(other.close)
        other.compare_and_swap("op/b", 0, "1", other.grant_lease(5.0))
        self.assertFalse(self.client.renew_lease(lease))
        self.client.end_lease(lease)
        self.assertEqual("1", other.read("op/b").text)

    # Guards against an earlier answer that counts as the newest state.
    def test_answer_of_an_earlier_era_is_rejected(self):
        copy = self.store.copy()
        self.client.read_all("op/")
        self.store.restore(copy)
        self.client.read_all("op/")
        self.store.era = 0
        with self.assertRaises(StoreUnavailable):
            self.client.read("op/a")

    def test_malformed_eras_are_ignored(self):
        for era in ("", "x", "-1", "1.5", "9" * 30):
            self.store.era = era
            self.assertEqual("1", self.client.read("op/a").text)
            self.assertEqual(0, self.client.era)

    # Guards against restores that go unnoticed, or tokens that backend servers can't
    # read, since eras began with the time of day.
    def test_eras_may_begin_with_a_large_number(self):
        self.store.era = 1_765_000_000_000
        revision = self.client.read_all("op/").as_of
        copy = self.store.copy()
        self.store.put("op/b", 2)
        self.store.restore(copy)
        newer_revision = self.client.read_all("op/").as_of
        self.assertEqual(1_765_000_000_001, self.client.era)
        self.assertGreater(newer_revision, revision)
        self.assertLess(newer_revision * TOKENS_PER_TERM, 2**63)
        with self.assertRaises(HistoryLost):
            self.client.changes("op/", revision, 0.1)


class RestoredNodeTest(NodeTestCase):
    @property
    def fleet(self):
        return self.node._fleet_updater.fleet

    def wait_in_time(self, condition, description):
        with eventlet.Timeout(APPLY_S, AssertionError(f"not in time: {description}")):
            while not condition():
                eventlet.sleep(0.02)

    def lose_changes(self):
        """Make changes that a restore will undo; the node writes the last one."""
        write_others(self.store)
        # The node reads that its key is gone, and writes it again.
        self.store.remove(PLANNER_KEY)
        self.wait_in_time(lambda: PLANNER_KEY in self.store.items, "the planner's key")

    # Guards against a configuration that is confirmed, and not in effect in time.
    def test_configuration_written_after_a_restore_is_in_effect_in_time(self):
        copy = self.store.copy()
        self.lose_changes()
        self.store.put("op/config", configuration(5))
        self.wait_in_time(lambda: self.fleet.configuration.version == 5, "version 5")
        self.store.restore(copy)
        self.store.put("op/config", configuration(5))
        self.store.put("op/config", configuration(6))
        self.wait_in_time(lambda: self.fleet.configuration.version == 6, "version 6")

    # Guards against changes that are hidden by revisions that were given out again.
    def test_changes_at_revisions_that_are_given_out_again_are_read(self):
        copy = self.store.copy()
        self.store.put("op/evacuate/z-b", {})
        self.wait_in_time(lambda: "z-b" in self.fleet.evacuated_zones, "z-b evacuated")
        self.store.restore(copy)
        self.store.put("op/evacuate/z-a", {})
        write_others(self.store, 5)
        self.store.put("op/evacuate/z-b", {})
        self.wait_in_time(lambda: "z-a" in self.fleet.evacuated_zones, "z-a evacuated")

    # Guards against a configuration that comes back older.
    def test_older_configuration_of_the_copy_is_not_in_effect(self):
        copy = self.store.copy()
        self.store.put("op/config", configuration(5))
        self.wait_in_time(lambda: self.fleet.configuration.version == 5, "version 5")
        self.store.restore(copy)
        wait_until(lambda: self.node._adapters.store.era == 1, "the restore is noticed")
        eventlet.sleep(0.5)
        self.assertEqual(5, self.fleet.configuration.version)

    # Guards against orders that backend servers refuse, since the planner before the
    # restore had a higher revision.
    def test_next_planner_after_a_restore_orders_with_higher_tokens(self):
        copy = self.store.copy()
        self.lose_changes()
        first, second = self.node, self.start_node()
        wait_until(first._planning.may_plan, "the first node plans")
        wait_until(lambda: first._planning.fencing.last > 0, "tokens of the first node")
        first.close()
        self.store.restore(copy)
        wait_until(second._planning.may_plan, "the second node plans")
        fencing = second._planning.fencing
        wait_until(lambda: fencing.last > 0, "tokens of the second node")
        self.assertGreater(fencing.last, first._planning.fencing.last)
        self.assertLess(fencing.last, 2**63)


class KeysTest(NodeTestCase):
    def holds_key(self, node):
        item = self.store.items.get(MEMBER_PREFIX + node.name)
        return item is not None and item["lease"] in self.store.leases

    # Guards against a node that is missing in the list of nodes, and so divides limits
    # by too few.
    def test_nodes_are_listed_again_after_a_restore(self):
        copy = self.store.copy()
        second = self.start_node()
        nodes = (self.node, second)
        wait_until(lambda: all(map(self.holds_key, nodes)), "both nodes are listed")
        self.store.restore(copy)
        wait_until(lambda: self.store.era == 1, "restored")
        wait_until(lambda: all(map(self.holds_key, nodes)), "both are listed again")
        # Longer than a lease that nobody renews.
        for _ in range(14):
            eventlet.sleep(0.5)
            self.assertTrue(all(map(self.holds_key, nodes)))

    # Guards against limits that are divided by fewer nodes than use them.
    def test_nodes_that_the_copy_lacks_still_divide_limits(self):
        copy = self.store.copy()
        second = self.start_node()
        wait_until(lambda: self.node._node_count() == 2, "two nodes")
        counts = []
        self.node._nodes_changed = lambda: counts.append(self.node._node_count())
        self.node._session._on_change = self.node._nodes_changed
        with mock.patch.object(second._session, "_write_member_key"):
            self.store.restore(copy)
            wait_until(lambda: self.node._adapters.store.era == 1, "noticed")
            eventlet.sleep(1.0)
        self.assertEqual({2}, set(counts))
        wait_until(lambda: self.holds_key(second), "the second node is listed again")

    # Guards against seconds without a planner after a restore.
    def test_planner_keeps_its_role_over_a_restore(self):
        wait_until(lambda: PLANNER_KEY in self.store.items, "the planner's key")
        wait_until(self.node._planning.may_plan, "the node plans")
        copy = self.store.copy()
        write_others(self.store)
        self.store.restore(copy)
        wait_until(lambda: self.node._adapters.store.era == 1, "the restore is noticed")
        item = self.store.items[PLANNER_KEY]
        # Before the lease of the copy ends, 1.5 s after its last renewal.
        with eventlet.Timeout(
            1.0, AssertionError("the planner's key has no new lease")
        ):
            while self.store.items[PLANNER_KEY]["lease"] == item["lease"]:
                eventlet.sleep(0.02)
        for _ in range(15):
            eventlet.sleep(0.2)
            self.assertIn(PLANNER_KEY, self.store.items)
        self.assertTrue(self.node._planning.may_plan())


class WithdrawalsTest(NodeTestCase):
    def restore(self, copy):
        self.store.restore(copy)
        wait_until(lambda: self.node._adapters.store.era == 1, "the restore is noticed")

    def assert_unused(self, worker, seconds=2.5):
        """Send requests, none of which may reach the worker."""
        before = len(worker.requests)
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.assertEqual(200, self.send("/look/1").status)
        self.assertEqual(before, len(worker.requests))

    def wait_used(self, worker):
        before = len(worker.requests)
        wait_until(
            lambda: self.send("/look/1") and len(worker.requests) > before,
            "the worker gets requests",
        )

    # Guards against requests to a backend server that drains, and is listed as ready in
    # the copy.
    def test_draining_backend_server_gets_no_requests_after_a_restore(self):
        worker = self.workers[0]
        copy = self.store.copy()
        self.store.put(f"servers/{worker.id}", worker.entry("ledger", state="draining"))
        wait_until(
            lambda: self.node._fleet_updater.fleet.backends_by_id[worker.id].draining,
            "draining",
        )
        self.restore(copy)
        self.assert_unused(worker)
        restarted = worker.entry("ledger", born=1_700_000_000_001)
        self.store.put(f"servers/{worker.id}", restarted)
        self.wait_used(worker)

    # Guards against requests to a backend server that has left, and is listed in the
    # copy.
    def test_gone_backend_server_gets_no_requests_after_a_restore(self):
        worker = self.workers[0]
        copy = self.store.copy()
        self.store.remove(f"servers/{worker.id}")
        wait_until(
            lambda: worker.id not in self.node._fleet_updater.fleet.backends_by_id,
            "the worker is gone",
        )
        self.restore(copy)
        self.assert_unused(worker)
        self.store.put(f"servers/{worker.id}", worker.entry("ledger"))
        self.wait_used(worker)

    # Guards against a backend server that nobody uses, since nothing changes its entry.
    def test_backend_server_that_stays_listed_after_a_restore_is_used(self):
        worker = self.workers[0]
        copy = self.store.copy()
        self.store.remove(f"servers/{worker.id}")
        wait_until(
            lambda: worker.id not in self.node._fleet_updater.fleet.backends_by_id,
            "the worker is gone",
        )
        self.restore(copy)
        self.wait_used(worker)

    # Guards against requests to a zone whose evacuation the copy lacks.
    def test_evacuated_zone_gets_no_requests_after_a_restore(self):
        fleet = self.node._fleet_updater.fleet
        copy = self.store.copy()
        self.store.put("op/evacuate/z-a", {})
        wait_until(lambda: fleet.evacuated_zones, "z-a evacuated")
        self.restore(copy)
        ends_at = time.monotonic() + 1.5
        while time.monotonic() < ends_at:
            self.assertEqual(503, self.send("/look/1").status)
        self.store.put("op/evacuate/z-a", {})
        self.store.remove("op/evacuate/z-a")
        wait_until(lambda: self.send("/look/1").status == 200, "z-a is back")

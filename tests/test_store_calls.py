"""Calls to the store: how many a node makes, and what each tells it."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest
from unittest import mock

import eventlet

from poplarspar.coordination import announcements
from poplarspar.coordination.announcements import StoreReader
from poplarspar.coordination.entry_confirmations import EntryConfirmations
from poplarspar.coordination.prefix_watcher import PrefixWatcher
from poplarspar.coordination.session import MEMBER_PREFIX, PLANNER_KEY, Session
from poplarspar.coordination.store_calls import StoreCalls
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.store_ports import CallKind, Change, Changes
from poplarspar.platform.store import PlatformStore
from standins.platform import Store
from tests.test_following import FakeStore
from tests.test_platform import NodeTestCase, wait_until

# A server that leaves must get no more requests this long after its acknowledgement.
DRAIN_S = 2.0
READ_INTERVAL_S = 1.4


class CountsTest(NodeTestCase):
    # Guards against a price that no operator can trace to its cause.
    def test_metrics_tell_calls_by_kind_and_part(self):
        counts = self.node.metrics.count_by_name
        wait_until(lambda: counts["store_write_nodes_calls"], "the node is listed")
        for name in ("read_all_operator", "read_all_backends", "lease_grant"):
            self.assertGreaterEqual(counts[f"store_{name}_calls"], 1, name)

    def test_refused_calls_count(self):
        counts = self.node.metrics.count_by_name
        self.store.down = True
        before = counts["store_read_all_operator_calls"]
        wait_until(
            lambda: counts["store_read_all_operator_calls"] > before + 2,
            "the node tries the store again",
        )

    def test_keys_outside_of_all_parts_count_too(self):
        names = []
        calls = StoreCalls(names.append, {"op/": "operator", "a/": "nodes"})
        for kind, key in (
            (CallKind.WRITE, "a-spares"),
            (CallKind.READ_ALL, "op/"),
            (CallKind.READ, "a/planner"),
            (CallKind.LEASE_RENEWAL, ""),
        ):
            calls.record(kind, key)
        self.assertEqual(
            [
                "store_write_other_calls",
                "store_read_all_operator_calls",
                "store_read_nodes_calls",
                "store_lease_renewal_calls",
            ],
            names,
        )


class EntryConfirmationsTest(unittest.TestCase):
    """Whether a node needs a read of its own, by the planner's word."""

    def setUp(self):
        self.now = 100.0
        self.confirmations = EntryConfirmations(lambda: self.now)
        self.confirmations.interval_s = READ_INTERVAL_S

    # Guards against knowledge that seems newer by the time its answer was on the way.
    def test_age_counts_from_the_moment_of_asking(self):
        self.now = 101.0
        self.confirmations.record(500, asked_at=100.0)
        self.assertAlmostEqual(READ_INTERVAL_S - 1.5, self.confirmations.left_s())

    def test_read_is_due_when_confirmations_end(self):
        self.confirmations.record(100, asked_at=100.0)
        self.assertGreater(self.confirmations.left_s(), 1.2)
        self.now = 101.31
        self.assertLess(self.confirmations.left_s(), 0.0)

    def test_planner_that_names_no_age_confirms_nothing(self):
        self.confirmations.record(0, asked_at=100.0)
        self.assertLess(self.confirmations.left_s(), 0.0)

    def test_interval_too_short_for_the_plan_is_never_confirmed(self):
        self.confirmations.interval_s = 0.2
        self.confirmations.record(1, asked_at=100.0)
        self.assertLess(self.confirmations.left_s(), 0.0)
        self.assertEqual(0.2, self.confirmations.planner_pause_s())
        self.assertEqual(1.0, self.confirmations.planner_wait_s(1.0))


class SmallFleetTest(NodeTestCase):
    """The planner of a small fleet reads the entries of backend servers for all."""

    def setUp(self):
        patch = mock.patch.object(announcements, "MIN_HEALTHY_S", 0.3)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
        wait_until(lambda: self.node._planning.may_plan(), "first node plans")
        # Without a service of models, the planner has nothing to publish by itself.
        self.node._planning._plan_exchange.publish((), ())
        self.follower = self.start_node()
        wait_until(
            lambda: (
                self.follower._announcements.reader_of_backends()
                is StoreReader.FOLLOWER
            ),
            "second node follows",
        )
        eventlet.sleep(1.5)

    def drain(self):
        worker = self.workers[0]
        self.store.put(
            f"servers/{worker.id}", {**worker.entry("ledger"), "state": "draining"}
        )

    def check_noticed(self, within_s):
        backends = self.follower._fleet_updater.fleet.backends_by_id
        with eventlet.Timeout(within_s, AssertionError("not noticed in time")):
            while not backends[self.workers[0].id].draining:
                eventlet.sleep(0.01)

    def test_follower_with_a_fresh_plan_hardly_reads_entries(self):
        counts = self.follower.metrics.count_by_name
        before = counts["store_watch_backends_calls"]
        eventlet.sleep(5.0)
        self.assertLessEqual(counts["store_watch_backends_calls"] - before, 1)

    def test_follower_learns_of_a_draining_server_sooner_than_by_its_own_reads(self):
        for _ in range(2):
            self.drain()
            self.check_noticed(READ_INTERVAL_S)
            self.store.put(
                f"servers/{self.workers[0].id}", self.workers[0].entry("ledger")
            )
            eventlet.sleep(1.2)

    # Guards against requests to a server that leaves while the planner, whose plans go
    # on, gets no answers from the store.
    def test_follower_reads_entries_while_the_planner_gets_no_answers(self):
        store = self.node._adapters.store
        changes = store.changes

        def silent_changes(prefix, after, wait_s):
            if prefix == "servers/":
                eventlet.sleep(10.0)
            return changes(prefix, after, wait_s)

        with mock.patch.object(store, "changes", silent_changes):
            eventlet.sleep(0.3)
            self.drain()
            self.check_noticed(DRAIN_S)
            self.assertTrue(self.follower._planning.is_plan_fresh())

    # Guards against the same while the planner is gone.
    def test_follower_reads_entries_when_plans_cease(self):
        exchange = self.node._planning._plan_exchange
        with mock.patch.object(
            exchange, "_update_since", side_effect=lambda base: eventlet.sleep(5.0)
        ):
            eventlet.sleep(0.3)
            self.drain()
            self.check_noticed(DRAIN_S)

    # Guards against reads of all parts on new connections, since one of them is empty.
    def test_empty_part_of_the_store_is_read_once(self):
        counts = self.follower.metrics.count_by_name
        self.assertEqual(1, counts["store_read_all_quarantine_calls"])


class CandidatesTest(unittest.TestCase):
    """Claims of the planner's key by several nodes."""

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.kinds = []

    def candidate(self, name, capacity, others=()):
        """Return a session that finds the planner's key vacant."""
        client = PlatformStore(self.store.address)
        self.addCleanup(client.close)
        client.on_call(lambda kind, key: self.kinds.append(kind))
        session = Session(client, name, "a:1", "s", capacity, 0.5, lambda: None)
        session.apply(
            tuple(Change(MEMBER_PREFIX + other, 1, "1.07") for other in others)
        )
        session._vacant_since = time.monotonic() - 10.0
        return session

    # Guards against nodes that all claim the key at the same moment.
    def test_equal_nodes_claim_in_turn_whatever_the_digits_of_their_capacity(self):
        last = self.candidate("n3", 1.074, ["n1", "n2", "n3"])
        first = self.candidate("n1", 1.074, ["n1", "n2", "n3"])
        self.assertAlmostEqual(0.2, last._stagger_s())
        self.assertEqual(0.0, first._stagger_s())

    def test_candidate_that_comes_later_reads_the_key_first(self):
        first = self.candidate("n1", 1.07)
        first._claim_planner_key()
        self.assertTrue(first.is_planner)
        self.kinds.clear()
        later = self.candidate("n2", 1.07, ["n1", "n2"])
        later._claim_planner_key()
        self.assertEqual([CallKind.READ], self.kinds)
        self.assertEqual(first.planner_endpoint(), later.planner_endpoint())

    def test_vacant_key_is_claimed_by_a_later_candidate(self):
        later = self.candidate("n2", 1.07, ["n1", "n2"])
        later._claim_planner_key()
        self.assertTrue(later.is_planner)

    # Guards against a wait for the very node whose key has ended.
    def test_no_candidate_waits_for_the_last_planner(self):
        session = self.candidate("n2", 1.07, ["n1", "n2"])
        session.apply(
            (Change(PLANNER_KEY, 5, "n1 a:1 s"), Change(PLANNER_KEY, 6, None))
        )
        self.assertEqual(0.0, session._stagger_s())


class InformedWatcherTest(unittest.TestCase):
    """A node that hears what it must read from another one."""

    def setUp(self):
        self.store = FakeStore()
        self.store.put("op/a", "1")
        self.health = StoreHealth()
        self.values = {}
        self.watcher = PrefixWatcher(
            self.store,
            "op/",
            self.health,
            watch_timeout_s=lambda: 60.0,
            watch_interval_s=lambda: 0.0,
            resync_interval_s=lambda: 60.0,
            replace=self.replace,
            apply=lambda items: self.values.update({i.key: i.text for i in items}),
            is_informed=lambda: True,
            is_small=True,
            is_urgent=True,
        )
        self.addCleanup(eventlet.spawn(self.watcher.run).kill)
        self.wait_for_value("1")
        wait_until(lambda: self.watcher._watching_task, "the node watches")

    def replace(self, items):
        self.values = {item.key: item.text for item in items}

    def wait_for_value(self, text):
        wait_until(lambda: self.values.get("op/a") == text, f"the value is {text}")

    def test_waiting_watch_is_renewed_with_a_cheap_read(self):
        self.watcher.renew_watch("test")
        wait_until(lambda: self.store.old_reads == 1, "the node has read")
        self.assertEqual(2, self.store.reads)

    # Guards against a change that is late since a read that may be old lacks it.
    def test_watch_after_an_old_read_reports_what_it_lacks(self):
        self.store.old_state = Changes(tuple(self.store.items.values()), 2)
        self.store.put("op/a", "2")
        self.watcher.renew_watch("test")
        with eventlet.Timeout(0.3, AssertionError("late")):
            while self.values.get("op/a") != "2":
                eventlet.sleep(0.005)

    # Guards against withdrawn values in use again, and against an outage that is taken
    # for its end since another copy of the store answers.
    def test_values_after_an_outage_or_restore_are_the_newest(self):
        self.store.old_state = Changes((), 1000)
        self.watcher.read_again()
        wait_until(lambda: self.store.reads == 2, "the node has read")
        self.store.unavailable = True
        wait_until(lambda: self.watcher._watching_task, "the node watches")
        self.watcher.read_again()
        wait_until(lambda: not self.health.is_available, "the outage is noticed")
        self.store.unavailable = False
        wait_until(lambda: self.health.is_available, "the outage has ended")
        self.assertEqual((0, "1"), (self.store.old_reads, self.values["op/a"]))

    # Guards against refused calls of each node that the store turns away.
    def test_informed_node_tries_an_unavailable_store_rarely(self):
        self.store.unavailable = True
        self.watcher.read_again()
        eventlet.sleep(2.0)
        before = self.store.calls
        for _ in range(40):
            self.watcher.catch_up_to(self.store.revision + 5)
            eventlet.sleep(0.1)
        # One every 0.8 to 1.6 s.
        self.assertLessEqual(self.store.calls - before, 6)
        self.store.unavailable = False
        self.store.put("op/a", "2")
        self.wait_for_value("2")


if __name__ == "__main__":
    unittest.main()

"""Watching the store: missed changes, lost history, expired entries."""

import standins.common  # noqa: F401  # isort: skip

import unittest
from unittest import mock

import eventlet

from poplarspar.coordination.fleet import FleetUpdater, NewConfiguration, ZoneEvacuated
from poplarspar.coordination.prefix_watcher import PrefixWatcher
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.store_ports import (
    Change,
    Changes,
)
from poplarspar.exceptions import (
    CallInterrupted,
    HistoryLost,
    MalformedDocument,
    StoreUnavailable,
)
from poplarspar.state.backends import EngineState, MemberPhase, Membership
from poplarspar.state.serving import CallerLimits, ServingConfiguration
from tests.test_forwarding import backend

# A version must be in force this long after its acknowledgement.
APPLY_S = 2.0


class FakeStore:
    """A store with outages, lost history, and watches that omit changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.log = []
        self.omits_changes = False
        self.unavailable = False
        self.unreadable_prefix = None
        self.interruptions = 0
        self.reconnections = 0
        self.oldest_known = 0
        self.reads = 0
        self.old_reads = 0
        self.calls = 0
        # What reads that may be old return, None for the current state.
        self.old_state = None

    def put(self, key, text):
        self.revision += 1
        change = Change(key, self.revision, text)
        self.log.append(change)
        self.items[key] = change
        if text is None:
            del self.items[key]

    def read_all(self, prefix, *, may_be_old=False):
        self.reads += 1
        self.calls += 1
        self.old_reads += may_be_old
        self.check_available(prefix)
        if may_be_old and self.old_state is not None:
            return self.old_state
        return Changes(tuple(self.items.values()), self.revision)

    def reconnect(self):
        self.reconnections += 1

    def check_available(self, prefix):
        if self.interruptions and prefix != self.unreadable_prefix:
            self.interruptions -= 1
            raise CallInterrupted("closed")
        if self.unavailable or prefix == self.unreadable_prefix:
            raise StoreUnavailable("down")

    def changes(self, prefix, after, wait_s):
        self.calls += 1
        self.check_available(prefix)
        if after < self.oldest_known:
            raise HistoryLost("forgotten")
        found = (
            ()
            if self.omits_changes
            else tuple(c for c in self.log if c.revision > after)
        )
        if not found:
            eventlet.sleep(wait_s)
        return Changes(found, self.revision)


class PrefixWatcherTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.values = {}
        self.wait_s = 0.01
        self.interval_s = 0.0
        self.health = StoreHealth()
        self.watcher = watcher = PrefixWatcher(
            self.store,
            "op/",
            self.health,
            watch_timeout_s=lambda: self.wait_s,
            watch_interval_s=lambda: self.interval_s,
            resync_interval_s=lambda: 10.0,
            replace=self.replace,
            apply=self.apply,
            is_urgent=True,
        )
        self.watcher_task = eventlet.spawn(watcher.run)
        self.addCleanup(self.watcher_task.kill)

    def replace(self, items):
        self.values = {item.key: item.text for item in items}

    def apply(self, items):
        self.values.update({item.key: item.text for item in items})

    def wait_for_value(self, key, text):
        with eventlet.Timeout(5, AssertionError(f"{key} is {self.values.get(key)}")):
            while self.values.get(key) != text:
                eventlet.sleep(0.005)

    def wait_for_calls(self, times):
        """Wait until the store has received this many further calls."""
        until = self.store.calls + times
        with eventlet.Timeout(5, AssertionError("the store received no calls")):
            while self.store.calls < until:
                eventlet.sleep(0)

    def interrupt(self, times):
        """Let the next calls be interrupted, and wait until all have been."""
        self.store.interruptions = times
        with eventlet.Timeout(5, AssertionError("no call was interrupted")):
            while self.store.interruptions:
                eventlet.sleep(0.005)

    # Guards against requests to servers that are gone, which nodes keep in use for
    # seconds after a failure of the store.
    def test_interrupted_watch_says_nothing_of_the_store(self):
        self.wait_for_calls(3)
        healthy_s = self.health.healthy_s()
        for _ in range(3):
            self.interrupt(1)
            self.wait_for_calls(3)
        self.assertGreater(self.health.healthy_s(), healthy_s)

    def test_all_values_are_read_after_an_interrupted_watch(self):
        self.wait_for_calls(3)
        self.store.omits_changes = True
        self.store.put("op/a", "1")
        self.interrupt(1)
        self.wait_for_value("op/a", "1")

    # Guards against a store that closes each connection and passes for available.
    def test_interrupted_calls_in_a_row_are_a_failure(self):
        self.wait_for_calls(3)
        self.interrupt(2)
        self.assertEqual(0.0, self.health.healthy_s())

    # Guards against many more calls than are needed to notice that the store is back.
    def test_one_of_several_watchers_tries_an_unavailable_store(self):
        others = [
            PrefixWatcher(
                self.store,
                f"other-{number}/",
                self.health,
                watch_timeout_s=lambda: self.wait_s,
                watch_interval_s=lambda: 0.0,
                resync_interval_s=lambda: 10.0,
                replace=lambda items: None,
                apply=lambda items: None,
            )
            for number in range(3)
        ]
        for watcher in others:
            self.addCleanup(eventlet.spawn(watcher.run).kill)
        self.wait_for_calls(8)
        self.store.unavailable = True
        eventlet.sleep(0.5)
        calls_before = self.store.calls
        eventlet.sleep(2.4)
        # One every 0.2 to 0.4 s, and two of each of the others.
        self.assertLessEqual(self.store.calls - calls_before, 12 + 6)
        self.store.put("op/a", "1")
        self.store.unavailable = False
        with eventlet.Timeout(0.5, AssertionError("not applied in time")):
            while self.values.get("op/a") != "1":
                eventlet.sleep(0.005)

    # Guards against a configuration that is late since another prefix can't be read.
    def test_operator_does_not_wait_while_another_prefix_can_not_be_read(self):
        other = PrefixWatcher(
            self.store,
            "servers/",
            self.health,
            watch_timeout_s=lambda: self.wait_s,
            watch_interval_s=lambda: 0.0,
            resync_interval_s=lambda: 10.0,
            replace=lambda items: None,
            apply=lambda items: None,
        )
        self.wait_for_calls(3)
        self.store.unreadable_prefix = "servers/"
        self.addCleanup(eventlet.spawn(other.run).kill)
        eventlet.sleep(0.5)
        self.interrupt(2)
        self.store.put("op/config", "2")
        with eventlet.Timeout(APPLY_S, AssertionError("not applied in time")):
            while self.values.get("op/config") != "2":
                eventlet.sleep(0.005)

    # Guards against refused calls by hundreds of nodes; the planner tries more often.
    def test_followers_try_an_unavailable_store_rarely(self):
        watchers = [
            PrefixWatcher(
                self.store,
                f"other-{number}/",
                self.health,
                watch_timeout_s=lambda: self.wait_s,
                watch_interval_s=lambda: 60.0,
                resync_interval_s=lambda: 90.0,
                replace=lambda items: None,
                apply=lambda items: None,
                is_follower=lambda: True,
            )
            for number in range(4)
        ]
        self.watcher_task.kill()
        self.store.unavailable = True
        for watcher in watchers:
            self.addCleanup(eventlet.spawn(watcher.run).kill)
        eventlet.sleep(2.0)
        calls_before = self.store.calls
        eventlet.sleep(4.0)
        # One every 0.8 to 1.6 s, and one of each of the others.
        self.assertLessEqual(self.store.calls - calls_before, 5 + 3)
        self.store.unavailable = False
        with eventlet.Timeout(2.0, AssertionError("not noticed in time")):
            while not self.health.is_available:
                eventlet.sleep(0.005)

    def use_follower(self):
        """Replace the watcher by one of a node that follows another one's plan."""
        self.watcher_task.kill()
        self.wait_s, self.interval_s = 0.01, 60.0
        self.watcher = PrefixWatcher(
            self.store,
            "op/",
            self.health,
            watch_timeout_s=lambda: self.wait_s,
            watch_interval_s=lambda: self.interval_s,
            resync_interval_s=lambda: 90.0,
            replace=self.replace,
            apply=self.apply,
            is_follower=lambda: True,
            is_hurried=lambda: False,
            is_small=True,
        )
        self.store.put("op/a", "1")
        self.addCleanup(eventlet.spawn(self.watcher.run).kill)
        self.wait_for_value("op/a", "1")
        eventlet.sleep(0.3)

    def test_follower_reads_announced_changes_at_the_lower_price(self):
        self.use_follower()
        self.assertEqual(0, self.store.old_reads)
        # Deletions have no value whose revision could be read.
        for text in ("2", None):
            calls = self.store.calls
            self.store.put("op/a", text)
            self.watcher.watch_until(self.store.revision)
            self.wait_for_value("op/a", text)
            eventlet.sleep(0.3)
            self.assertEqual(calls + 1, self.store.calls)
            self.assertEqual(self.store.revision, self.watcher.newest_revision)
        self.assertEqual(2, self.store.old_reads)

    # Guards against withdrawn values in use again after a read of an earlier state.
    def test_old_state_of_the_store_is_not_applied(self):
        self.use_follower()
        old_state = Changes(tuple(self.store.items.values()), self.store.revision)
        self.store.put("op/a", "2")
        self.store.put("op/b", "1")
        self.watcher.watch_until(self.store.revision)
        self.wait_for_value("op/b", "1")
        self.store.old_state = old_state
        applied = []
        self.watcher._replace = applied.append
        for outage in (False, True):
            self.store.unavailable = outage
            self.store.put("op/b", None)
            self.watcher.watch_until(self.store.revision)
            eventlet.sleep(0.6)
            self.store.unavailable = False
            self.wait_for_value("op/b", None)
            self.assertEqual("2", self.values["op/a"])
            self.store.put("op/b", "1")
            self.watcher.watch_until(self.store.revision)
            self.wait_for_value("op/b", "1")
        self.assertEqual([], applied)

    # Guards against a node that learns of a draining server only at its next read.
    def test_announced_revision_ends_the_pause(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.interval_s = 60.0
        eventlet.sleep(0.5)
        self.store.put("op/a", "2")
        self.watcher.watch_until(self.store.revision)
        with eventlet.Timeout(0.5, AssertionError("not read in time")):
            while self.values.get("op/a") != "2":
                eventlet.sleep(0.005)
        calls = self.store.calls
        self.watcher.watch_until(self.store.revision)
        eventlet.sleep(0.1)
        self.assertEqual(calls, self.store.calls)

    def test_wanted_revision_that_a_watch_omits_is_read(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.interval_s = 60.0
        self.store.omits_changes = True
        eventlet.sleep(0.5)
        self.store.put("op/a", "2")
        self.watcher.watch_until(self.store.revision)
        with eventlet.Timeout(1.5, AssertionError("not read in time")):
            while self.values.get("op/a") != "2":
                eventlet.sleep(0.005)

    def test_repeated_wishes_do_not_multiply_the_calls(self):
        self.interval_s = 60.0
        eventlet.sleep(0.5)
        calls = self.store.calls
        for _ in range(100):
            self.watcher.watch_now()
            eventlet.sleep(0.01)
        self.assertLessEqual(self.store.calls - calls, 8)

    def test_pause_ends_when_the_interval_becomes_shorter(self):
        self.interval_s = 60.0
        eventlet.sleep(0.5)
        self.store.put("op/a", "1")
        self.interval_s = 0.0
        with eventlet.Timeout(1.0, AssertionError("still in the long pause")):
            while self.values.get("op/a") != "1":
                eventlet.sleep(0.005)

    def test_changes_are_applied(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.store.put("op/a", "2")
        self.wait_for_value("op/a", "2")

    def test_change_omitted_from_a_watch_is_applied_later(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.store.omits_changes = True
        self.wait_for_calls(2)
        self.store.put("op/a", "2")
        self.wait_for_calls(2)
        self.store.omits_changes = False
        self.wait_for_value("op/a", "2")

    def test_newer_revision_of_another_node_reveals_omitted_changes(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.store.omits_changes, self.wait_s = True, 60.0
        self.wait_for_calls(1)
        self.store.put("op/a", "2")
        reads = self.store.reads
        self.watcher.catch_up_to(self.store.revision)
        self.wait_for_value("op/a", "2")
        # The same revision again starts no further read.
        self.watcher.catch_up_to(self.store.revision)
        eventlet.sleep(0)
        self.assertEqual(reads + 1, self.store.reads)

    # Guards against nodes that wait in a watch whose answer never arrives.
    def test_waiting_watch_is_renewed_at_once(self):
        self.wait_s = 60.0
        self.wait_for_calls(2)
        self.store.put("op/config", "2")
        calls = self.store.calls
        self.watcher.renew_watch("test")
        self.wait_for_value("op/config", "2")
        self.assertLessEqual(self.store.calls, calls + 2)
        self.assertTrue(self.health.is_available)

    # Guards against a read that waits on a connection which is silent like the watch's.
    def test_omitted_change_is_read_on_a_new_connection(self):
        self.wait_s = 60.0
        self.wait_for_calls(2)
        self.store.put("op/config", "2")
        self.watcher.catch_up_to(self.store.revision)
        self.wait_for_value("op/config", "2")
        self.assertEqual(1, self.store.reconnections)

    def test_all_values_are_read_again_after_lost_history(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        self.store.omits_changes = True
        self.store.put("op/a", "2")
        self.store.put("op/b", "1")
        self.store.oldest_known = self.store.revision
        self.wait_for_value("op/a", "2")

    def test_change_during_an_outage_is_applied_afterwards(self):
        self.store.put("op/a", "1")
        self.wait_for_value("op/a", "1")
        reads = self.store.reads
        self.store.unavailable = True
        self.store.put("op/a", "2")
        self.wait_for_calls(1)
        # While the store is unavailable, the watcher reads all values instead of
        # watching, since a watch request would wait.
        with eventlet.Timeout(5, AssertionError("no read of all values")):
            while self.store.reads == reads:
                eventlet.sleep(0.01)
        self.assertEqual(0.0, self.health.healthy_s())
        self.store.unavailable = False
        self.wait_for_value("op/a", "2")
        self.assertGreater(self.health.healthy_s(), 0.0)


def configuration(version):
    limits = CallerLimits(1, 1, 1, 1)
    return ServingConfiguration(version, {}, {}, {}, True, limits)


class FakeDocuments:
    def decode_operator_change(self, change):
        if change.key.startswith("zone/"):
            return ZoneEvacuated(change.key[5:], change.text is not None)
        if not change.text.isdigit():
            raise MalformedDocument("not a number")
        return NewConfiguration(configuration(int(change.text)))

    def decode_backend(self, change):
        if not change.text.isdigit():
            raise MalformedDocument("not a number")
        return backend(change.key, started_ms=int(change.text))

    def backend_id(self, key):
        return key


class FleetUpdaterTest(unittest.TestCase):
    def setUp(self):
        self.health = StoreHealth()
        self.updater = FleetUpdater(FakeDocuments(), self.health, lambda: None)
        self.fleet = self.updater.fleet

    def test_older_configuration_is_ignored(self):
        self.updater.apply_operator_changes((Change("config", 5, "7"),))
        self.updater.replace_operator_values((Change("config", 4, "6"),))
        self.assertEqual(7, self.fleet.configuration.version)

    def test_malformed_configuration_keeps_the_previous_one(self):
        self.updater.apply_operator_changes((Change("config", 5, "7"),))
        self.updater.apply_operator_changes((Change("config", 6, "seven"),))
        self.assertEqual(7, self.fleet.configuration.version)

    def test_zone_is_evacuated_and_restored(self):
        self.updater.apply_operator_changes((Change("zone/a", 5, "{}"),))
        self.assertEqual({"a"}, self.fleet.evacuated_zones)
        self.updater.apply_operator_changes((Change("zone/a", 6, None),))
        self.assertEqual(frozenset(), self.fleet.evacuated_zones)

    def test_malformed_entry_lists_no_backend_server(self):
        self.updater.replace_backend_entries(
            (Change("s1", 5, "1"), Change("s2", 6, "x"))
        )
        self.assertEqual({"s1"}, set(self.fleet.backends_by_id))

    def test_entry_of_an_earlier_start_is_ignored(self):
        self.updater.apply_backend_changes((Change("s1", 5, "2"), Change("s1", 6, "1")))
        self.assertEqual(2, self.fleet.backends_by_id["s1"].started_ms)

    def test_deleted_entry_is_removed_when_the_store_is_healthy(self):
        self.updater.replace_backend_entries((Change("s1", 5, "1"),))
        self.health.healthy_s = lambda: 10.0
        self.updater.apply_backend_changes((Change("s1", 6, None),))
        self.assertEqual({}, self.fleet.backends_by_id)

    # Guards against requests to a server whose entry went long after the outage.
    def test_entry_that_expires_after_the_grace_period_is_removed_at_once(self):
        self.updater.replace_backend_entries((Change("s1", 5, "1"),))
        self.health.healthy_s = lambda: 2.6
        self.updater.apply_backend_changes((Change("s1", 6, None),))
        self.assertEqual({}, self.fleet.backends_by_id)
        self.assertFalse(self.updater.has_overdue())

    def test_overdue_entry_is_known_until_it_is_back_or_removed(self):
        self.updater.replace_backend_entries((Change("s1", 5, "1"),))
        self.health.healthy_s = lambda: 0.5
        self.updater.apply_backend_changes((Change("s1", 6, None),))
        self.assertFalse(self.updater.has_overdue())
        self.health.healthy_s = lambda: 2.6
        self.assertTrue(self.updater.has_overdue())
        self.updater.replace_backend_entries((Change("s1", 7, "1"),))
        self.assertFalse(self.updater.has_overdue())
        self.assertIn("s1", self.fleet.backends_by_id)

    def test_entry_that_expired_in_an_outage_has_a_grace_period(self):
        self.updater.replace_backend_entries(
            (Change("s1", 5, "1"), Change("s2", 5, "1"))
        )
        self.health.healthy_s = lambda: 0.5
        self.updater.replace_backend_entries(())
        self.assertEqual({"s1", "s2"}, set(self.fleet.backends_by_id))
        self.updater.apply_backend_changes((Change("s1", 9, "1"),))
        self.health.healthy_s = lambda: 3.5
        self.updater.apply_backend_changes(())
        self.assertEqual({"s1"}, set(self.fleet.backends_by_id))


class NeededChangesTest(unittest.TestCase):
    """Changes of entries that each node of a large fleet must read at once."""

    def needed(self, before, after):
        documents = mock.Mock()
        documents.backend_id.side_effect = lambda key: key
        documents.decode_backend.side_effect = lambda change: change.text
        updater = FleetUpdater(documents, StoreHealth(), lambda: None)
        updater.apply_backend_changes((Change("h1", 2, before),))
        counted = updater.needed_changes
        updater.apply_backend_changes((Change("h1", 3, after),))
        return updater.needed_changes - counted

    def member(self, rank, **changes):
        membership = Membership("g", 4, rank, MemberPhase.OPEN)
        return backend(
            "h1",
            "llm",
            engine_state=EngineState("m0", (), "d0", membership, 1),
            **changes,
        )

    # Guards against reads of all nodes for each member that a release replaces.
    def test_draining_members_that_get_no_requests_are_not_announced(self):
        for rank, needed in ((0, 1), (1, 0), (7, 0)):
            with self.subTest(rank=rank):
                after = self.member(rank, draining=True)
                self.assertEqual(needed, self.needed(self.member(rank), after))

    def test_restarts_and_cold_members_are_announced(self):
        for changes in ({"started_ms": 2}, {"address": "h9:1"}, {"cold_s": 2.0}):
            with self.subTest(changes=changes):
                after = self.member(1, **changes)
                self.assertEqual(1, self.needed(self.member(1), after))


if __name__ == "__main__":
    unittest.main()

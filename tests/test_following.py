"""Following the store: missed changes, lost history, lapsed entries."""

import standins.common  # noqa: F401  # isort: skip

import unittest

import eventlet

from poplarspar.coordination.fleet import FleetUpdater, NewConfiguration, ZoneEvacuated
from poplarspar.coordination.ports import Change, Changes
from poplarspar.coordination.prefix_watcher import PrefixWatcher, StoreHealth
from poplarspar.exceptions import HistoryLost, MalformedDocument, StoreUnavailable
from poplarspar.state.serving import CallerLimits, ServingConfiguration
from tests.test_forwarding import backend


class FakeStore:
    """A store whose watches can be deaf."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.log = []
        self.deaf = False
        self.down = False
        self.forgotten = 0
        self.reads = 0
        self.asked = 0

    def put(self, key, text):
        self.revision += 1
        change = Change(key, self.revision, text)
        self.log.append(change)
        self.items[key] = change
        if text is None:
            del self.items[key]

    def read_all(self, prefix):
        self.reads += 1
        self.asked += 1
        if self.down:
            raise StoreUnavailable("down")
        return Changes(tuple(self.items.values()), self.revision)

    def changes(self, prefix, after, wait_s):
        self.asked += 1
        if self.down:
            raise StoreUnavailable("down")
        if after < self.forgotten:
            raise HistoryLost("forgotten")
        found = () if self.deaf else tuple(c for c in self.log if c.revision > after)
        if not found:
            eventlet.sleep(wait_s)
        return Changes(found, self.revision)


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.seen = {}
        self.wait_s = 0.01
        self.health = StoreHealth()
        self.follower = follower = PrefixWatcher(
            self.store,
            "op/",
            self.health,
            watch_timeout_s=lambda: self.wait_s,
            watch_interval_s=0.0,
            resync_interval_s=10.0,
            replace=self.replace,
            apply=self.apply,
        )
        self.addCleanup(eventlet.spawn(follower.run).kill)

    def replace(self, items):
        self.seen = {item.key: item.text for item in items}

    def apply(self, items):
        self.seen.update({item.key: item.text for item in items})

    def wait_seen(self, key, text):
        with eventlet.Timeout(5, AssertionError(f"{key} is {self.seen.get(key)}")):
            while self.seen.get(key) != text:
                eventlet.sleep(0.005)

    def wait_asked(self, times):
        """Wait until the store was asked so many times more."""
        until = self.store.asked + times
        with eventlet.Timeout(5, AssertionError("the store is not asked")):
            while self.store.asked < until:
                eventlet.sleep(0)

    def test_change_is_seen(self):
        self.store.put("op/a", "1")
        self.wait_seen("op/a", "1")
        self.store.put("op/a", "2")
        self.wait_seen("op/a", "2")

    def test_change_during_deafness_is_seen_afterwards(self):
        self.store.put("op/a", "1")
        self.wait_seen("op/a", "1")
        self.store.deaf = True
        self.wait_asked(2)
        self.store.put("op/a", "2")
        self.wait_asked(2)
        self.store.deaf = False
        self.wait_seen("op/a", "2")

    def test_word_of_another_node_ends_deafness(self):
        self.store.put("op/a", "1")
        self.wait_seen("op/a", "1")
        self.store.deaf, self.wait_s = True, 60.0
        self.wait_asked(1)
        self.store.put("op/a", "2")
        reads = self.store.reads
        self.follower.catch_up_to(self.store.revision)
        self.wait_seen("op/a", "2")
        # The same word again is no news.
        self.follower.catch_up_to(self.store.revision)
        eventlet.sleep(0)
        self.assertEqual(reads + 1, self.store.reads)

    def test_lost_history_is_read_anew(self):
        self.store.put("op/a", "1")
        self.wait_seen("op/a", "1")
        self.store.deaf = True
        self.store.put("op/a", "2")
        self.store.put("op/b", "1")
        self.store.forgotten = self.store.revision
        self.wait_seen("op/a", "2")

    def test_outage(self):
        self.store.put("op/a", "1")
        self.wait_seen("op/a", "1")
        reads = self.store.reads
        self.store.down = True
        self.store.put("op/a", "2")
        self.wait_asked(1)
        # Nothing that waits is asked of a store that does not answer.
        with eventlet.Timeout(5, AssertionError("asked to wait")):
            while self.store.reads == reads:
                eventlet.sleep(0.01)
        self.assertEqual(0.0, self.health.healthy_s())
        self.store.down = False
        self.wait_seen("op/a", "2")
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


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.health = StoreHealth()
        self.keeper = FleetUpdater(FakeDocuments(), self.health, lambda: None)
        self.fleet = self.keeper.fleet

    def test_configuration_never_goes_back(self):
        self.keeper.apply_operator_changes((Change("config", 5, "7"),))
        self.keeper.replace_operator_values((Change("config", 4, "6"),))
        self.assertEqual(7, self.fleet.configuration.version)

    def test_malformed_configuration_keeps_the_last(self):
        self.keeper.apply_operator_changes((Change("config", 5, "7"),))
        self.keeper.apply_operator_changes((Change("config", 6, "seven"),))
        self.assertEqual(7, self.fleet.configuration.version)

    def test_zones_come_and_go(self):
        self.keeper.apply_operator_changes((Change("zone/a", 5, "{}"),))
        self.assertEqual({"a"}, self.fleet.evacuated_zones)
        self.keeper.apply_operator_changes((Change("zone/a", 6, None),))
        self.assertEqual(frozenset(), self.fleet.evacuated_zones)

    def test_entry_of_another_writer_names_no_backend_server(self):
        self.keeper.replace_backend_entries(
            (Change("s1", 5, "1"), Change("s2", 6, "x"))
        )
        self.assertEqual({"s1"}, set(self.fleet.backends_by_id))

    def test_entry_of_an_earlier_life_is_ignored(self):
        self.keeper.apply_backend_changes((Change("s1", 5, "2"), Change("s1", 6, "1")))
        self.assertEqual(2, self.fleet.backends_by_id["s1"].started_ms)

    def test_entry_removed_by_a_steady_store_is_gone(self):
        self.keeper.replace_backend_entries((Change("s1", 5, "1"),))
        self.health.healthy_s = lambda: 10.0
        self.keeper.apply_backend_changes((Change("s1", 6, None),))
        self.assertEqual({}, self.fleet.backends_by_id)

    def test_entry_that_lapsed_in_an_outage_has_time_to_come_back(self):
        self.keeper.replace_backend_entries(
            (Change("s1", 5, "1"), Change("s2", 5, "1"))
        )
        self.health.healthy_s = lambda: 0.5
        self.keeper.replace_backend_entries(())
        self.assertEqual({"s1", "s2"}, set(self.fleet.backends_by_id))
        self.keeper.apply_backend_changes((Change("s1", 9, "1"),))
        self.health.healthy_s = lambda: 3.5
        self.keeper.apply_backend_changes(())
        self.assertEqual({"s1"}, set(self.fleet.backends_by_id))


if __name__ == "__main__":
    unittest.main()

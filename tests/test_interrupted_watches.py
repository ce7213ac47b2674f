"""Watches that the store cuts while it answers all other calls."""

import standins.common  # noqa: F401  # isort: skip

import unittest

import eventlet

from poplarspar.exceptions import CallInterrupted, StoreUnavailable
from poplarspar.platform.store import PlatformStore
from standins.platform import Store
from tests.test_foreign_answers import RawServer
from tests.test_platform import NodeTestCase, wait_until

# The bound on requests after the store has acknowledged that a server is gone.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0


class InterruptedWatchTest(NodeTestCase):
    # Guards against requests to a server whose entry was removed just after the store
    # had cut a watch: nodes took that for an outage, in which entries may lapse.
    def test_server_that_leaves_after_a_cut_watch_gets_no_requests(self):
        wait_until(
            lambda: self.node._store_health.healthy_s() > STABLE_WINDOW_S,
            "the store has been stable",
        )
        self.store.interrupt_watches()
        eventlet.sleep(0.3)
        self.store.remove("servers/i-0")
        eventlet.sleep(DRAIN_S)
        count = len(self.workers[0].requests)
        for number in range(20):
            self.assertEqual(200, self.send(f"/look/{number}").status)
        self.assertEqual(count, len(self.workers[0].requests))
        self.assertGreater(self.node._store_health.healthy_s(), STABLE_WINDOW_S)


class OverdueEntryTest(NodeTestCase):
    # Guards against requests to a server that went in an outage, for as long as the
    # next watch of the entries takes.
    def test_server_that_went_in_an_outage_is_removed_when_the_grace_period_ends(self):
        self.store.down = True
        wait_until(
            lambda: not self.node._store_health.is_available, "the outage is noticed"
        )
        self.store.remove("servers/i-0")
        self.store.down = False
        wait_until(lambda: self.node._store_health.is_available, "the store is back")
        fleet = self.node._fleet_updater.fleet
        with eventlet.Timeout(3.4, AssertionError("the server is still listed")):
            while "i-0" in fleet.backends_by_id:
                eventlet.sleep(0.02)
        self.assertGreater(self.node._store_health.healthy_s(), 2.0)


class ClientTest(unittest.TestCase):
    """What the end of one call says of the store."""

    def test_cut_watch_and_refused_call_are_interruptions(self):
        store = Store()
        self.addCleanup(store.close)
        client = PlatformStore(store.address)
        self.addCleanup(client.close)
        eventlet.spawn_after(0.1, store.interrupt_watches)
        with self.assertRaises(CallInterrupted):
            client.changes("op/", store.revision, 5.0)
        limited = RawServer([b"HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}"])
        self.addCleanup(limited.close)
        with self.assertRaises(CallInterrupted):
            PlatformStore(limited.address).read("op/a")

    def test_silence_and_refusal_show_an_outage(self):
        refusing = RawServer([b"HTTP/1.1 503 Down\r\nContent-Length: 2\r\n\r\n{}"])
        self.addCleanup(refusing.close)
        silent = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        addresses = [
            refusing.address,
            f"127.0.0.1:{silent.getsockname()[1]}",
            "127.0.0.1:1",
        ]
        for address in addresses:
            with self.assertRaises(StoreUnavailable) as raised:
                PlatformStore(address).read("op/a")
            self.assertNotIsInstance(raised.exception, CallInterrupted)


if __name__ == "__main__":
    unittest.main()

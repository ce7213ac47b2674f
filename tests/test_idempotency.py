"""Requests that must not be repeated run at most once, and refusals are true."""

import signal
import threading
from collections import Counter

from standins.cluster import wait_for
from tests.base import ClusterTestCase, service_vms


class AtMostOnceTest(ClusterTestCase):
    vms = service_vms(zones="ab", call_s=0.05)
    groups = 2
    options = {"entry_settings": {"queue_timeout_s": 3}}

    def runs_by_key(self) -> Counter:
        runs = Counter()
        for vm in self.cluster.vm_by_name:
            runs.update(self.cluster.http.get(self.cluster.address(vm), "/runs"))
        # Calls of the repeatable route carry keys too, and may run again.
        return Counter({k: n for k, n in runs.items() if not k.startswith("balance")})

    def assert_at_most_once(self, load) -> None:
        """Check every key's runs, and every "not run" against them."""
        runs = self.runs_by_key()
        self.assertEqual([], [key for key, count in runs.items() if count > 1])
        said_no = [k for k, ran in load.refusals_by_key.items() if ran == "no"]
        self.assertEqual([], [key for key in said_no if runs[key]])
        self.assertNotIn("?", load.refusals_by_key.values())
        self.assertGreaterEqual(sum(runs.values()), load.outcomes["served"])

    def control_store(self, **faults) -> None:
        self.cluster.http.post(self.cluster.address("store"), "/control", faults)

    def fault_services(self, mode: str) -> None:
        for vm in self.cluster.vm_by_name:
            self.cluster.set_fault("any", vm, mode)

    def test_same_key_gets_the_same_answer_everywhere(self):
        first = self.call("entry-1", "payment", {"sum": 5}, "key-1")
        again = self.call("entry-3", "payment", {"sum": 5}, "key-1")
        other = self.call("entry-3", "payment", {"sum": 6}, "key-1")
        self.assertEqual(first.data, again.data)
        self.assertEqual(422, other.status)
        self.assertEqual({"key-1": 1}, self.runs_by_key())

    def test_racing_duplicates(self):
        def send(entry):
            self.call(entry, "payment", {"sum": 5}, "raced")

        names = self.cluster.entry_names * 4
        threads = [threading.Thread(target=send, args=(name,)) for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({"raced": 1}, self.runs_by_key())

    def test_store_outage(self):
        with self.load("payment") as load:
            load.wait_served(30)
            self.control_store(outage=True)
            wait_for(lambda: load.outcomes["refused_unknown"] > 20, "refusals")
            self.control_store(outage=False)
            load.wait_served(30)
        self.assert_at_most_once(load)
        # What was refused for the outage can be sent again with its key.
        refused = next(iter(load.refusals_by_key))
        wait_for(
            lambda: (
                self.call("entry-1", "payment", {"pay": refused}, refused).status == 200
            ),
            "the key is usable again",
        )
        self.assertEqual(1, self.runs_by_key()[refused])

    def test_lost_store_answers(self):
        with self.load("payment", callers=4) as load:
            load.wait_served(10)
            self.control_store(lose_answers=8)
            load.wait_served(60)
        self.assert_at_most_once(load)

    def test_entry_killed(self):
        with self.load("payment") as load:
            load.wait_served(30)
            self.cluster.by_name["entry-2"].stop()
            load.wait_served(20)
            self.cluster.restart("entry-2")
            load.wait_served(60)
        self.assert_at_most_once(load)
        unknown = [p.split()[1] for p in load.problems if p.startswith("entry-2")]
        for key in [part.rstrip(":") for part in unknown[:20]]:
            self.call("entry-1", "payment", {"pay": key}, key)
        self.assertEqual([], [k for k, n in self.runs_by_key().items() if n > 1])

    def test_entry_paused(self):
        with self.load("payment") as load:
            load.wait_served(30)
            self.cluster.by_name["entry-1"].signal(signal.SIGSTOP)
            entries = ["entry-2", "entry-3"]
            with self.load("balance", entries=entries) as others:
                others.wait_served(60)
            self.cluster.by_name["entry-1"].signal(signal.SIGCONT)
            load.wait_served(30)
        self.assert_at_most_once(load)

    def test_service_answers_lost(self):
        with self.load("payment") as load:
            load.wait_served(20)
            for mode in ("cut", "pass", "drop_down", "pass"):
                self.fault_services(mode)
                seen = len(load.refusals_by_key)
                if mode != "pass":
                    wait_for(lambda n=seen: len(load.refusals_by_key) > n, mode)
            self.fault_services("forget")
            load.wait_served(20)
        self.assert_at_most_once(load)

    def test_service_paused(self):
        with self.load("payment") as load:
            load.wait_served(20)
            self.cluster.by_name["svc-a"].signal(signal.SIGSTOP)
            wait_for(lambda: load.outcomes["refused_unknown"] > 0, "unknown outcomes")
            self.cluster.by_name["svc-a"].signal(signal.SIGCONT)
            load.wait_served(40)
        self.assert_at_most_once(load)

"""Bounds of backend servers across handovers, and of their memory."""

import signal

from standins.cluster import wait_for
from tests.base import ONE_COLD_REQUEST, TIDEWATER, ClusterTestCase, engine_vms


class HandoverTest(ClusterTestCase):
    # Requests of 200 tokens take 8 s, longer than an entry is missed.
    vms = engine_vms(cold=1, warm=1, token_s=0.04)
    objects = ONE_COLD_REQUEST.replace("warm_requests = 8", "warm_requests = 1")
    groups = 3

    def test_new_owner_waits_for_requests_of_a_paused_one(self):
        with self.load("draft", 3, max_tokens=200) as load:
            wait_for(lambda: self.running() == 3, "a request at every group")
            self.cluster.by_name["entry-1"].signal(signal.SIGSTOP)
            with self.load("draft", 6, entries=["entry-2", "entry-3"]) as others:
                others.wait_served(20)
            self.cluster.by_name["entry-1"].signal(signal.SIGCONT)
            load.wait_served(3)
        self.assertEqual(0, self.total_count("overloads"))

    def running(self) -> int:
        return sum(self.cluster.counts(vm)["running"] for vm in self.cluster.vm_by_name)


class MemoryTest(ClusterTestCase):
    # Each request may hold 100 tokens of an engine's 400.
    vms = engine_vms(memory_tokens=400, cold=8, warm=8)
    objects = (
        TIDEWATER.replace("cold_requests = 2", "cold_requests = 8")
        .replace("cold_tokens = 8000", "cold_tokens = 400")
        .replace("warm_tokens = 32000", "warm_tokens = 400")
    )
    groups = 3

    def test_tokens_stay_within_memory(self):
        with self.load("draft", callers=24, max_tokens=95) as load:
            load.wait_served(60)
        self.assertEqual(0, self.total_count("overloads"))
        self.assertEqual([], load.problems)
        # More than memory holds is refused at once, and says so.
        document = {"prompt": "x", "max_tokens": 401}
        answer = self.call("entry-1", "draft", document)
        self.assertEqual(400, answer.status)

"""Availability zones and backend servers leave and return under failure."""

import signal

from standins.cluster import wait_for
from tests.base import ClusterTestCase

WITHDRAWN_S = 5.0


class ZonesTest(ClusterTestCase):
    def started_in(self, zone: str) -> int:
        return sum(
            self.cluster.counts(vm.name).get("started", 0)
            for vm in self.cluster.vm_by_name.values()
            if vm.zone == zone
        )

    def settled_in(self, zone: str):
        """Wait until nothing runs in the zone and return what was started there."""
        wait_for(
            lambda: (
                not any(
                    self.cluster.counts(vm.name)["running"]
                    for vm in self.cluster.vm_by_name.values()
                    if vm.zone == zone
                )
            ),
            f"nothing runs in zone {zone}",
        )
        return self.started_in(zone)

    def assert_idle(self, zone: str, load) -> None:
        """Check that the zone gets no new work while the load goes on."""
        before = self.settled_in(zone)
        load.wait_served(30)
        self.assertEqual(before, self.started_in(zone))

    def test_zone_leaves_and_returns_under_load(self):
        with (
            self.load("draft") as drafts,
            self.load("payment") as payments,
        ):
            drafts.wait_served(20)
            revision = self.cluster.set_serving("zone", "a", False)
            self.wait_in_force(revision, WITHDRAWN_S)
            self.assert_idle("a", drafts)
            revision = self.cluster.set_serving("zone", "a", True)
            self.wait_in_force(revision, WITHDRAWN_S)
            started = self.started_in("a")
            drafts.wait_served(60)
            wait_for(lambda: self.started_in("a") > started, "zone a works again")
        self.assertEqual([], drafts.problems + payments.problems)
        self.assertEqual(0, self.total_count("overloads"))

    def test_cold_zone_returns_under_load(self):
        with self.load("draft", callers=12) as drafts:
            drafts.wait_served(20)
            revision = self.cluster.set_serving("zone", "c", False)
            self.wait_in_force(revision, WITHDRAWN_S)
            self.settled_in("c")
            for vm in ("vm-c0", "vm-c1"):
                self.cluster.http.post(self.cluster.address(vm), "/restart")
            self.cluster.set_serving("zone", "c", True)
            started = self.started_in("c")
            wait_for(lambda: self.started_in("c") > started + 20, "zone c works again")
            drafts.wait_served(40)
        self.assertEqual([], drafts.problems)
        self.assertEqual(0, self.total_count("overloads"))

    def test_backend_server_taken_out(self):
        with self.load("draft") as drafts:
            drafts.wait_served(10)
            revision = self.cluster.set_serving("server", "vm-b0", False)
            self.wait_in_force(revision, WITHDRAWN_S)
            wait_for(
                lambda: all(
                    "vm-b0" not in group["members"]
                    for group in self.groups_in_zone("b")
                ),
                "a spare VM in place of vm-b0",
            )
            self.cluster.wait_serving(5)
            drafts.wait_served(30)
        self.assertEqual([], drafts.problems)

    def test_cut_off_steward_and_entry_refuse(self):
        # Entry and steward of zone c lose the store and everybody else.
        for name in ("steward-3", "entry-3"):
            for source, target in self.cluster.path_by_ends:
                names = {source, target}
                inside = names <= {"steward-3", "entry-3"}
                if (
                    name in names
                    and not inside
                    and target not in self.cluster.vm_by_name
                ):
                    self.cluster.set_fault(source, target, "freeze")
        revision = self.cluster.set_serving("zone", "a", False)
        wait_for(
            lambda: not self.cluster.entry_status("entry-3")["fresh"],
            "entry-3 notices",
            WITHDRAWN_S,
        )
        path = f"/v1/in-force/{revision}"
        wait_for(
            lambda: (
                self.cluster.send_as_operator("GET", path)[1]["not_yet_on"]
                == ["steward-3"]
            ),
            "in force on all but steward-3",
            WITHDRAWN_S,
        )
        before = self.settled_in("a")
        refused = self.call("entry-3", "draft", {"prompt": "x", "max_tokens": 3})
        self.assertEqual(503, refused.status)
        self.assertEqual("no", refused.json()["error"]["ran"])
        with self.load("draft", entries=["entry-1", "entry-2"]) as drafts:
            drafts.wait_served(30)
        self.assertEqual(before, self.started_in("a"))

    def test_store_outage_after_accepted_change(self):
        revision = self.cluster.set_serving("zone", "a", False)
        store = self.cluster.address("store")
        self.cluster.http.post(store, "/control", {"outage": True})
        self.wait_in_force(revision, WITHDRAWN_S)
        with self.load("draft") as drafts:
            drafts.wait_served(20)
            self.assert_idle("a", drafts)
        self.assertEqual([], drafts.problems)

    def test_change_reaches_steward_that_the_store_forgot(self):
        # The connections to the store and to peers go silent; new ones work.
        for source, target in list(self.cluster.path_by_ends):
            if source == "steward-2" or target == "steward-2":
                self.cluster.set_fault(source, target, "forget")
        revision = self.cluster.set_serving("zone", "b", False)
        self.wait_in_force(revision, 10.0)
        with self.load("draft") as drafts:
            self.assert_idle("b", drafts)
        self.assertEqual([], drafts.problems)

    def test_change_during_pause_of_steward_and_entry(self):
        for name in ("steward-2", "entry-2"):
            self.cluster.by_name[name].signal(signal.SIGSTOP)
        self.cluster.set_serving("zone", "a", False)
        others = ["entry-1", "entry-3"]
        wait_for(
            lambda: all(
                self.cluster.entry_status(name)["revision"]
                >= self.cluster.status()["revision"]
                for name in others
            ),
            "the change at the other entries",
        )
        with self.load("draft", entries=others) as drafts:
            drafts.wait_served(40)
        before = self.settled_in("a")
        # Requests wait at the entry when it wakes up, and its steward sleeps on.
        with self.load("draft", callers=12, entries=["entry-2"]) as resumed:
            self.cluster.by_name["entry-2"].signal(signal.SIGCONT)
            resumed.wait_served(20)
        self.cluster.by_name["steward-2"].signal(signal.SIGCONT)
        self.assertEqual(before, self.started_in("a"))

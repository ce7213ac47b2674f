"""Zones and backend servers are taken out of service and returned under faults."""

import signal

from standins.cluster import wait_for
from tests.base import ClusterTestCase

WITHDRAWAL_TIMEOUT_S = 5.0


class ZonesTest(ClusterTestCase):
    def started_count(self, zone: str) -> int:
        return sum(
            self.cluster.counts(vm.name).get("started", 0)
            for vm in self.cluster.vm_by_name.values()
            if vm.zone == zone
        )

    def started_count_when_idle(self, zone: str):
        """Wait until the zone runs no request and return its started requests."""
        wait_for(
            lambda: (
                not any(
                    self.cluster.counts(vm.name)["running"]
                    for vm in self.cluster.vm_by_name.values()
                    if vm.zone == zone
                )
            ),
            f"no request runs in zone {zone}",
        )
        return self.started_count(zone)

    def assert_no_new_requests(self, zone: str, load) -> None:
        """Check that the zone receives no requests while the load continues."""
        before = self.started_count_when_idle(zone)
        load.wait_served(30)
        self.assertEqual(before, self.started_count(zone))

    def test_zone_is_withdrawn_and_returned_under_load(self):
        with (
            self.load("draft") as drafts,
            self.load("payment") as payments,
        ):
            drafts.wait_served(20)
            revision = self.cluster.set_serving("zone", "a", False)
            self.wait_in_force(revision, WITHDRAWAL_TIMEOUT_S)
            self.assert_no_new_requests("a", drafts)
            revision = self.cluster.set_serving("zone", "a", True)
            self.wait_in_force(revision, WITHDRAWAL_TIMEOUT_S)
            started = self.started_count("a")
            drafts.wait_served(60)
            wait_for(lambda: self.started_count("a") > started, "zone a serves again")
        self.assertEqual([], drafts.problems + payments.problems)
        self.assertEqual(0, self.total_count("overloads"))

    def test_zone_returned_after_restarts_is_not_overloaded(self):
        with self.load("draft", callers=12) as drafts:
            drafts.wait_served(20)
            revision = self.cluster.set_serving("zone", "c", False)
            self.wait_in_force(revision, WITHDRAWAL_TIMEOUT_S)
            self.started_count_when_idle("c")
            for vm in ("vm-c0", "vm-c1"):
                self.cluster.http.post(self.cluster.address(vm), "/restart")
            self.cluster.set_serving("zone", "c", True)
            started = self.started_count("c")
            wait_for(
                lambda: self.started_count("c") > started + 20, "zone c serves again"
            )
            drafts.wait_served(40)
        self.assertEqual([], drafts.problems)
        self.assertEqual(0, self.total_count("overloads"))

    def test_backend_server_out_of_service_is_replaced(self):
        with self.load("draft") as drafts:
            drafts.wait_served(10)
            revision = self.cluster.set_serving("server", "vm-b0", False)
            self.wait_in_force(revision, WITHDRAWAL_TIMEOUT_S)
            wait_for(
                lambda: all(
                    "vm-b0" not in group["members"]
                    for group in self.groups_in_zone("b")
                ),
                "a spare VM replaces vm-b0",
            )
            self.cluster.wait_serving(5)
            drafts.wait_served(30)
        self.assertEqual([], drafts.problems)

    def test_isolated_zone_refuses_requests(self):
        # The steward and entry of zone c lose the store and all other daemons.
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
            "entry-3 not fresh",
            WITHDRAWAL_TIMEOUT_S,
        )
        path = f"/v1/in-force/{revision}"
        wait_for(
            lambda: (
                self.cluster.send_as_operator("GET", path)[1]["not_yet_on"]
                == ["steward-3"]
            ),
            "in force on all but steward-3",
            WITHDRAWAL_TIMEOUT_S,
        )
        before = self.started_count_when_idle("a")
        refused = self.call("entry-3", "draft", {"prompt": "x", "max_tokens": 3})
        self.assertEqual(503, refused.status)
        self.assertEqual("no", refused.json()["error"]["ran"])
        with self.load("draft", entries=["entry-1", "entry-2"]) as drafts:
            drafts.wait_served(30)
        self.assertEqual(before, self.started_count("a"))

    def test_accepted_change_takes_effect_during_store_outage(self):
        revision = self.cluster.set_serving("zone", "a", False)
        store = self.cluster.address("store")
        self.cluster.http.post(store, "/control", {"outage": True})
        self.wait_in_force(revision, WITHDRAWAL_TIMEOUT_S)
        with self.load("draft") as drafts:
            drafts.wait_served(20)
            self.assert_no_new_requests("a", drafts)
        self.assertEqual([], drafts.problems)

    def test_change_reaches_steward_with_silent_connections(self):
        # The open connections to the store and to peers go silent; new ones work.
        for source, target in list(self.cluster.path_by_ends):
            if source == "steward-2" or target == "steward-2":
                self.cluster.set_fault(source, target, "forget")
        revision = self.cluster.set_serving("zone", "b", False)
        self.wait_in_force(revision, 10.0)
        with self.load("draft") as drafts:
            self.assert_no_new_requests("b", drafts)
        self.assertEqual([], drafts.problems)

    def test_resumed_entry_does_not_act_on_its_old_view(self):
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
            "the change on the other entries",
        )
        with self.load("draft", entries=others) as drafts:
            drafts.wait_served(40)
        before = self.started_count_when_idle("a")
        # Requests already wait at the entry when it resumes; its steward stays paused.
        with self.load("draft", callers=12, entries=["entry-2"]) as resumed:
            self.cluster.by_name["entry-2"].signal(signal.SIGCONT)
            resumed.wait_served(20)
        self.cluster.by_name["steward-2"].signal(signal.SIGCONT)
        self.assertEqual(before, self.started_count("a"))

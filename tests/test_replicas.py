"""Replica groups: whole or not serving, no VM in two, repaired from spares."""

import signal

from standins.cluster import wait_for
from tests.base import TIDEWATER, ClusterTestCase, engine_vms


class ReplicasTest(ClusterTestCase):
    vms = engine_vms()
    groups = 3

    def group_in(self, zone: str) -> dict:
        (group,) = self.groups_in_zone(zone)
        return group

    def started_count(self, vm: str) -> int:
        return self.cluster.counts(vm).get("started", 0)

    def assert_no_vm_in_two_groups(self) -> None:
        members = [
            vm
            for group in self.cluster.status()["groups_by_name"].values()
            for vm in group["members"]
        ]
        self.assertEqual(len(members), len(set(members)))

    def wait_replaced(self, zone: str, lost: str) -> None:
        wait_for(
            lambda: lost not in self.group_in(zone)["members"], f"{lost} is replaced"
        )
        self.cluster.wait_serving(3)

    def planner(self) -> str:
        names = self.cluster.steward_names
        return next((n for n in names if self.cluster.status(n)["planner"]), "")

    def test_member_killed(self):
        with self.load("draft") as load:
            load.wait_served(20)
            lost = self.group_in("a")["members"][1]
            self.cluster.by_name[lost].stop()
            self.wait_replaced("a", lost)
            load.wait_served(40)
        self.assertEqual([], load.problems)
        self.assert_no_vm_in_two_groups()

    def test_group_with_missing_member_gets_no_work(self):
        # No spare is left in zone a, so its group stays broken.
        leader, member = self.group_in("a")["members"]
        spare = ({"vm-a0", "vm-a1", "vm-a2"} - {leader, member}).pop()
        self.cluster.by_name[spare].stop()
        with self.load("draft") as load:
            load.wait_served(20)
            self.cluster.by_name[member].signal(signal.SIGSTOP)
            load.wait_served(40)
            before = self.started_count(leader)
            load.wait_served(60)
            self.assertEqual(before, self.started_count(leader))
            self.cluster.by_name[member].signal(signal.SIGCONT)
            wait_for(
                lambda: self.started_count(leader) > before, "the group serves again"
            )
        self.assertEqual([], load.problems)

    def test_fewer_replicas_are_published(self):
        self.publish(TIDEWATER.replace("replicas = 3", "replicas = 2"))
        with self.load("draft") as load:
            wait_for(
                lambda: len(self.cluster.status()["groups_by_name"]) == 2, "two groups"
            )
            load.wait_served(40)
        self.assertEqual([], load.problems)

    def test_planner_paused_and_resumed(self):
        planner = wait_for(self.planner, "a planner")
        others = [n for n in self.cluster.steward_names if n != planner]
        lost = self.group_in("b")["members"][0]
        self.cluster.by_name[planner].signal(signal.SIGSTOP)
        self.cluster.by_name[lost].stop()
        self.cluster.steward_names.remove(planner)
        wait_for(lambda: self.planner() in others, "another steward plans")
        self.wait_replaced("b", lost)
        self.cluster.steward_names.append(planner)
        self.cluster.by_name[planner].signal(signal.SIGCONT)
        with self.load("draft") as load:
            load.wait_served(40)
        self.assert_no_vm_in_two_groups()
        self.assertEqual([], load.problems)

    def test_fabric_domain_dark_and_back(self):
        with self.load("draft") as load:
            load.wait_served(20)
            for vm in ("vm-a0", "vm-a1", "vm-a2"):
                self.cluster.fault("any", vm, "freeze")
            load.wait_served(40)
            for vm in ("vm-a0", "vm-a1", "vm-a2"):
                self.cluster.fault("any", vm, "pass")
            before = sum(self.started_count(f"vm-a{i}") for i in range(3))
            wait_for(
                lambda: sum(self.started_count(f"vm-a{i}") for i in range(3)) > before,
                "zone a serves again",
            )
        self.assertEqual([], load.problems)
        self.assert_no_vm_in_two_groups()

    def test_store_outage_during_member_loss(self):
        store = self.cluster.address("store")
        with self.load("draft") as load:
            load.wait_served(20)
            self.cluster.http.post(store, "/control", {"outage": True})
            lost = self.group_in("c")["members"][1]
            self.cluster.by_name[lost].stop()
            load.wait_served(60)
            self.cluster.http.post(store, "/control", {"outage": False})
            self.wait_replaced("c", lost)
            load.wait_served(20)
        self.assertEqual([], load.problems)

    def test_leaving_vm_is_replaced_without_a_cut(self):
        leaving = self.group_in("b")["members"][1]
        with self.load("draft", max_tokens=60) as load:
            load.wait_served(10)
            self.cluster.leaving.add(leaving)
            self.cluster.publish_vms()
            self.wait_replaced("b", leaving)
            load.wait_served(20)
        self.assertEqual([], load.problems)
        self.assertEqual(
            0, sum(self.resumed_count(e) for e in self.cluster.entry_names)
        )

    def resumed_count(self, entry: str) -> int:
        return self.cluster.entry_status(entry)["metrics"]["count_by_name"].get(
            "streams_resumed", 0
        )


class PlannerPartitionTest(ClusterTestCase):
    vms = engine_vms()
    groups = 3

    def test_planner_cut_off_from_its_peers(self):
        # The planner reaches the store, but no other steward.
        names = self.cluster.steward_names
        planner = wait_for(
            lambda: next((n for n in names if self.cluster.status(n)["planner"]), ""),
            "a planner",
        )
        others = [name for name in names if name != planner]
        with self.load("draft") as load:
            load.wait_served(20)
            for other in others:
                self.cluster.fault(planner, other, "freeze")
                self.cluster.fault(other, planner, "freeze")
            wait_for(
                lambda: any(self.cluster.status(name)["planner"] for name in others),
                "another steward plans",
            )
            load.wait_served(100)
        self.assertEqual([], load.problems)

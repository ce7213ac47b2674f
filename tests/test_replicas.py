"""Replica groups serve only when complete, share no VM and are refilled by spares."""

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
        wait_for(lambda: lost not in self.group_in(zone)["members"], f"{lost} replaced")
        self.cluster.wait_serving(3)

    def planner_name(self) -> str:
        names = self.cluster.steward_names
        return next((n for n in names if self.cluster.status(n)["planner"]), "")

    def test_killed_member_is_replaced(self):
        with self.load("draft") as load:
            load.wait_served(20)
            lost = self.group_in("a")["members"][1]
            self.cluster.by_name[lost].stop()
            self.wait_replaced("a", lost)
            load.wait_served(40)
        self.assertEqual([], load.problems)
        self.assert_no_vm_in_two_groups()

    def test_group_with_unresponsive_member_receives_no_requests(self):
        # Zone a has no spare VM left, so its group stays incomplete.
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

    def test_replica_count_is_reduced_under_load(self):
        self.publish(TIDEWATER.replace("replicas = 3", "replicas = 2"))
        with self.load("draft") as load:
            wait_for(
                lambda: len(self.cluster.status()["groups_by_name"]) == 2,
                "two replica groups",
            )
            load.wait_served(40)
        self.assertEqual([], load.problems)

    def test_resumed_planner_puts_no_vm_into_two_groups(self):
        planner = wait_for(self.planner_name, "a planner")
        others = [n for n in self.cluster.steward_names if n != planner]
        lost = self.group_in("b")["members"][0]
        self.cluster.by_name[planner].signal(signal.SIGSTOP)
        self.cluster.by_name[lost].stop()
        self.cluster.steward_names.remove(planner)
        wait_for(lambda: self.planner_name() in others, "another steward plans")
        self.wait_replaced("b", lost)
        self.cluster.steward_names.append(planner)
        self.cluster.by_name[planner].signal(signal.SIGCONT)
        with self.load("draft") as load:
            load.wait_served(40)
        self.assert_no_vm_in_two_groups()
        self.assertEqual([], load.problems)

    def test_fabric_domain_is_partitioned_and_returns(self):
        with self.load("draft") as load:
            load.wait_served(20)
            for vm in ("vm-a0", "vm-a1", "vm-a2"):
                self.cluster.set_fault("any", vm, "freeze")
            load.wait_served(40)
            for vm in ("vm-a0", "vm-a1", "vm-a2"):
                self.cluster.set_fault("any", vm, "pass")
            before = sum(self.started_count(f"vm-a{i}") for i in range(3))
            wait_for(
                lambda: sum(self.started_count(f"vm-a{i}") for i in range(3)) > before,
                "zone a serves again",
            )
        self.assertEqual([], load.problems)
        self.assert_no_vm_in_two_groups()

    def test_member_lost_during_store_outage_is_replaced_afterwards(self):
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

    def test_leaving_vm_is_replaced_without_interrupted_streams(self):
        leaving = self.group_in("b")["members"][1]
        with self.load("draft", max_tokens=60) as load:
            load.wait_served(10)
            self.cluster.draining_vms.add(leaving)
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

    def test_planner_isolated_from_its_peers_is_replaced(self):
        # The planner still reaches the store, but no other steward.
        names = self.cluster.steward_names
        planner = wait_for(
            lambda: next((n for n in names if self.cluster.status(n)["planner"]), ""),
            "a planner",
        )
        others = [name for name in names if name != planner]
        with self.load("draft") as load:
            load.wait_served(20)
            for other in others:
                self.cluster.set_fault(planner, other, "freeze")
                self.cluster.set_fault(other, planner, "freeze")
            wait_for(
                lambda: any(self.cluster.status(name)["planner"] for name in others),
                "another steward plans",
            )
            load.wait_served(100)
        self.assertEqual([], load.problems)

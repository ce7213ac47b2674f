"""Unit tests of placement, ownership, freshness, fairness, limits and snapshots."""

import unittest
from unittest import mock

from poplarspar.coordination.fairness import Demand, FairQueue
from poplarspar.coordination.freshness import FRESHNESS_BOUND_S, StewardFreshness
from poplarspar.coordination.owning import OwnerInputs, plan_owners
from poplarspar.coordination.placement import DomainVms, plan_domain
from poplarspar.state import (
    Bounds,
    DomainAssignment,
    EntryStatus,
    Ledger,
    ModelDeployment,
    Ownership,
    OwnerTable,
    ReplicaGroup,
    ServiceDeployment,
    Snapshot,
    StoredValue,
    Vm,
    VmGroup,
)

BOUNDS = Bounds(8, 80)
MODEL = ModelDeployment("m", 2, Bounds(1, 10), BOUNDS)
FLEET = VmGroup("fleet", "m", ("d",), 9)


def vms(*names: str) -> dict[str, Vm]:
    return {name: Vm(name, "a", "d", f"{name}:1") for name in names}


class PlacementTest(unittest.TestCase):
    def plan(self, assignment, reporting, target_count=2, draining=(), idle=()):
        domain_vms = DomainVms(vms(*reporting), frozenset(draining), frozenset(idle))
        return plan_domain(assignment, FLEET, MODEL, domain_vms, target_count)

    def members(self, assignment) -> list[list[str]]:
        return [[m.vm for m in group.members] for group in assignment.groups]

    def two_groups(self) -> DomainAssignment:
        return self.plan(DomainAssignment("d"), "pqrs")

    def test_groups_are_disjoint_and_stable(self):
        first = self.two_groups()
        self.assertEqual([["p", "q"], ["r", "s"]], self.members(first))
        self.assertIs(first, self.plan(first, "pqrs"))

    def test_spare_replaces_lost_member_with_a_new_epoch(self):
        first = self.two_groups()
        second = self.plan(first, "prst")
        self.assertEqual([["p", "t"], ["r", "s"]], self.members(second))
        self.assertEqual([2, 1], [group.epoch for group in second.groups])

    def test_two_broken_groups_are_merged(self):
        second = self.plan(self.two_groups(), "pr")
        self.assertEqual(1, len(second.groups))
        self.assertEqual({"p", "r"}, set(self.members(second)[0]))

    def test_loss_of_all_vms_keeps_assignment(self):
        first = self.two_groups()
        self.assertIs(first, self.plan(first, ""))

    def test_leaving_member_stays_until_its_group_is_idle(self):
        first = self.two_groups()
        marked = self.plan(first, "prst", draining="q")
        self.assertEqual([["p", "q"], ["r", "s"]], self.members(marked))
        self.assertTrue(marked.groups[0].members[1].leaving)
        replaced = self.plan(marked, "prst", draining="q", idle="pq")
        self.assertEqual([["p", "t"], ["r", "s"]], self.members(replaced))


class OwnerAssignmentTest(unittest.TestCase):
    groups = [ReplicaGroup(f"g{i}", "m", "a", 1, ()) for i in range(6)]

    def plan(self, table, entry_names, drained=False, leaving=()):
        entries = {
            name: EntryStatus(name, "a", f"{name}:1", 1, name in leaving, 0)
            for name in entry_names
        }
        inputs = OwnerInputs(
            self.groups, entries, lambda backend, ownership: drained, frozenset()
        )
        return plan_owners(table, inputs)

    def owners(self, table) -> list[str]:
        return [table.by_backend[g.name].owner for g in self.groups]

    def test_owners_are_balanced_and_stable(self):
        table = self.plan(OwnerTable(), "xyz")
        self.assertEqual(["x", "y", "z"] * 2, self.owners(table))
        self.assertIs(table, self.plan(table, "xyz"))

    def test_new_owner_waits_for_requests_of_dead_owner(self):
        table = self.plan(self.plan(OwnerTable(), "xyz"), "xy")
        moved = [o for o in table.by_backend.values() if o.previous]
        self.assertEqual({"z"}, {o.previous for o in moved})
        self.assertNotIn("z", self.owners(table))
        # The new owner dies as well, before it may start.
        again = self.plan(table, "x")
        self.assertIn("z", {o.previous for o in again.by_backend.values()})
        started = self.plan(table, "xy", drained=True)
        self.assertEqual({""}, {o.previous for o in started.by_backend.values()})

    def test_leaving_entry_owns_no_backend_server(self):
        table = self.plan(self.plan(OwnerTable(), "xyz"), "xyz", leaving="x")
        self.assertNotIn("x", self.owners(table))
        self.assertIn("x", {o.previous for o in table.by_backend.values()})

    def test_new_entry_receives_its_share(self):
        table = self.plan(OwnerTable(), "x")
        for _ in range(4):
            table = self.plan(table, "xy", drained=True)
        self.assertEqual(3, self.owners(table).count("y"))
        self.assertEqual(Ownership("x", "", 1), table.by_backend["g5"])


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now = 100.0
        self.freshness = StewardFreshness("a", ["a", "b", "c"])

    def record_answer(self, peer, synced=True, newer=False, in_force=5):
        self.freshness.record_peer_answer(
            peer, self.now, synced=synced, newer=newer, in_force=in_force
        )

    def test_restarted_steward_needs_a_majority_of_peers(self):
        self.record_answer("b")
        self.assertFalse(self.freshness.is_fresh())
        self.record_answer("c", synced=False)
        self.assertFalse(self.freshness.is_fresh())
        self.record_answer("c")
        self.assertTrue(self.freshness.is_fresh())
        self.now += FRESHNESS_BOUND_S
        self.assertFalse(self.freshness.is_fresh())
        self.record_answer("b")
        self.assertTrue(self.freshness.is_fresh())

    def test_peer_with_newer_revision_does_not_extend_freshness(self):
        self.freshness.record_store_answer(self.now)
        self.now += FRESHNESS_BOUND_S
        self.record_answer("b", newer=True)
        self.assertFalse(self.freshness.is_fresh())

    def test_freshness_is_dated_from_the_request(self):
        self.freshness.record_store_answer(self.now - FRESHNESS_BOUND_S)
        self.assertFalse(self.freshness.is_fresh())

    def test_majority_counts_only_synced_peers(self):
        self.record_answer("b", synced=False)
        self.assertFalse(self.freshness.is_in_force_at_majority(5, own=5))
        self.record_answer("b")
        self.assertTrue(self.freshness.is_in_force_at_majority(5, own=5))
        self.assertFalse(self.freshness.is_in_force_at_majority(6, own=6))


class FairnessTest(unittest.TestCase):
    def test_large_workspace_does_not_starve_a_small_one(self):
        queue = FairQueue()
        for _ in range(50):
            queue.join(Demand("large", 1, 99, "m", 1, 1.0, 1.0))
        queue.join(Demand("small", 1, 99, "m", 1, 1.0, 1.0))
        order = []

        def grant(waiter):
            if len(order) == 4:
                return False
            order.append(waiter.demand.workspace)
            queue.start(waiter.demand.workspace)
            return True

        queue.serve(grant)
        self.assertEqual(["large", "small", "large", "large"], order)

    def test_queue_is_bounded_for_each_workspace(self):
        queue = FairQueue()
        demand = Demand("large", 1, 1, "m", 1, 1.0, 1.0)
        self.assertFalse(queue.is_full(demand))
        queue.join(demand)
        self.assertTrue(queue.is_full(demand))
        other = Demand("small", 1, 1, "m", 1, 1.0, 1.0)
        self.assertFalse(queue.is_full(other))


class LedgerTest(unittest.TestCase):
    def test_limit_grows_with_answers_and_resets_after_restart(self):
        ledger = Ledger.create("b", ServiceDeployment("s", Bounds(1, 10), BOUNDS))
        ledger.record_incarnations(("i",), 0.0)
        limits = []
        for _ in range(12):
            ledger.complete()
            limits.append(ledger.limit.requests)
        self.assertEqual([1, 2, 2, 4, 4, 4, 4, 8, 8, 8, 8, 8], limits)
        ledger.record_incarnations(("j",), 1.0)
        self.assertEqual(Bounds(1, 10), ledger.limit)

    def test_token_limit_refuses_large_request(self):
        ledger = Ledger.create("b", ServiceDeployment("s", Bounds(8, 10), BOUNDS))
        ledger.reserve(6)
        self.assertFalse(ledger.has_room(5))
        self.assertTrue(ledger.has_room(4))


class SnapshotTest(unittest.TestCase):
    def test_older_value_does_not_replace_newer_one(self):
        snapshot = Snapshot()
        snapshot.merge([StoredValue("k", 5, "new")])
        self.assertEqual([], snapshot.merge([StoredValue("k", 4, "old")]))
        self.assertEqual("new", snapshot.get("k").text)

"""Tests of single decisions: owners, placement, freshness, fairness, limits."""

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
    def plan(self, assignment, alive, wanted=2, departing=(), idle=()):
        state = DomainVms(vms(*alive), frozenset(departing), frozenset(idle))
        return plan_domain(assignment, FLEET, MODEL, state, wanted)

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

    def test_survivors_of_two_broken_groups_are_joined(self):
        second = self.plan(self.two_groups(), "pr")
        self.assertEqual(1, len(second.groups))
        self.assertEqual({"p", "r"}, set(self.members(second)[0]))

    def test_whole_domain_lost_changes_nothing(self):
        first = self.two_groups()
        self.assertIs(first, self.plan(first, ""))

    def test_leaving_member_stays_until_its_group_is_idle(self):
        first = self.two_groups()
        marked = self.plan(first, "prst", departing="q")
        self.assertEqual([["p", "q"], ["r", "s"]], self.members(marked))
        self.assertTrue(marked.groups[0].members[1].leaving)
        replaced = self.plan(marked, "prst", departing="q", idle="pq")
        self.assertEqual([["p", "t"], ["r", "s"]], self.members(replaced))


class OwningTest(unittest.TestCase):
    groups = [ReplicaGroup(f"g{i}", "m", "a", 1, ()) for i in range(6)]

    def plan(self, table, names, cleared=False, leaving=()):
        entries = {
            name: EntryStatus(name, "a", f"{name}:1", 1, name in leaving, 0)
            for name in names
        }
        inputs = OwnerInputs(
            self.groups, entries, lambda backend, line: cleared, frozenset()
        )
        return plan_owners(table, inputs)

    def owners(self, table) -> list[str]:
        return [table.by_backend[g.name].owner for g in self.groups]

    def test_even_and_stable(self):
        table = self.plan(OwnerTable(), "xyz")
        self.assertEqual(["x", "y", "z"] * 2, self.owners(table))
        self.assertIs(table, self.plan(table, "xyz"))

    def test_new_owner_waits_for_the_dead_one(self):
        table = self.plan(self.plan(OwnerTable(), "xyz"), "xy")
        moved = [line for line in table.by_backend.values() if line.previous]
        self.assertEqual({"z"}, {line.previous for line in moved})
        self.assertNotIn("z", self.owners(table))
        # The next owner dies as well before it may start.
        again = self.plan(table, "x")
        self.assertIn("z", {line.previous for line in again.by_backend.values()})
        cleared = self.plan(table, "xy", cleared=True)
        self.assertEqual({""}, {line.previous for line in cleared.by_backend.values()})

    def test_leaving_entry_hands_over(self):
        table = self.plan(self.plan(OwnerTable(), "xyz"), "xyz", leaving="x")
        self.assertNotIn("x", self.owners(table))
        self.assertIn("x", {line.previous for line in table.by_backend.values()})

    def test_new_entry_gets_its_part(self):
        table = self.plan(OwnerTable(), "x")
        for _ in range(4):
            table = self.plan(table, "xy", cleared=True)
        self.assertEqual(3, self.owners(table).count("y"))
        self.assertEqual(Ownership("x", "", 1), table.by_backend["g5"])


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.now = 100.0
        self.freshness = StewardFreshness("a", ["a", "b", "c"])

    def hear(self, peer, synced=True, newer=False, in_force=5):
        self.freshness.record_peer_answer(
            peer, self.now, synced=synced, newer=newer, in_force=in_force
        )

    def test_restarted_node_needs_a_majority_of_others(self):
        self.hear("b")
        self.assertFalse(self.freshness.is_fresh())
        self.hear("c", synced=False)
        self.assertFalse(self.freshness.is_fresh())
        self.hear("c")
        self.assertTrue(self.freshness.is_fresh())
        self.now += FRESHNESS_BOUND_S
        self.assertFalse(self.freshness.is_fresh())
        self.hear("b")
        self.assertTrue(self.freshness.is_fresh())

    def test_peer_that_knows_more_does_not_count(self):
        self.freshness.record_store_answer(self.now)
        self.now += FRESHNESS_BOUND_S
        self.hear("b", newer=True)
        self.assertFalse(self.freshness.is_fresh())

    def test_answers_count_from_the_question(self):
        self.freshness.record_store_answer(self.now - FRESHNESS_BOUND_S)
        self.assertFalse(self.freshness.is_fresh())

    def test_majority_counts_only_synced_peers(self):
        self.hear("b", synced=False)
        self.assertFalse(self.freshness.is_in_force_at_majority(5, own=5))
        self.hear("b")
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
    def test_limit_rises_by_answers_and_falls_with_an_incarnation(self):
        ledger = Ledger.create("b", ServiceDeployment("s", Bounds(1, 10), BOUNDS))
        ledger.record_incarnations(("i",), 0.0)
        limits = []
        for _ in range(12):
            ledger.complete()
            limits.append(ledger.limit.requests)
        self.assertEqual([1, 2, 2, 4, 4, 4, 4, 8, 8, 8, 8, 8], limits)
        ledger.record_incarnations(("j",), 1.0)
        self.assertEqual(Bounds(1, 10), ledger.limit)

    def test_tokens_bound_too(self):
        ledger = Ledger.create("b", ServiceDeployment("s", Bounds(8, 10), BOUNDS))
        ledger.reserve(6)
        self.assertFalse(ledger.has_room(5))
        self.assertTrue(ledger.has_room(4))


class SnapshotTest(unittest.TestCase):
    def test_older_values_change_nothing(self):
        snapshot = Snapshot()
        snapshot.merge([StoredValue("k", 5, "new")])
        self.assertEqual([], snapshot.merge([StoredValue("k", 4, "old")]))
        self.assertEqual("new", snapshot.get("k").text)

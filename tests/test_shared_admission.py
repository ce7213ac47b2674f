"""Admission by all nodes together while a model is short of groups, in virtual time."""

import standins.common  # noqa: F401  # isort: skip

import itertools
import random
import unittest
from collections import Counter
from unittest import mock

from poplarspar.coordination.forwarding import DemandMeter
from poplarspar.coordination.forwarding.routing import RoutedRequest, route_request
from poplarspar.coordination.forwarding.shared_admission import (
    EASE_S,
    HOLD_S,
    SharedAdmission,
)
from poplarspar.coordination.pools.admission_shares import (
    FLOOR,
    REPORT_TTL_S,
    AdmissionShares,
    ModelSupply,
    admitted_shares,
    name_largest,
)
from poplarspar.protocol.peers import decode, encode
from poplarspar.state.plan import (
    AdmittedShare,
    ClassDemand,
    FleetPlan,
    GroupTotal,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
)
from poplarspar.state.results import Ok
from poplarspar.state.serving import RouteKind, ServiceSpec
from tests.test_forwarding import ENGINE, configuration, request, route

RANKED = frozenset({"llm"})
SERVICE = ServiceSpec("llm", 100, 36.0, ENGINE)
ROUTES = [route("draft", RouteKind.STREAM, "llm", priority=n) for n in range(3)]
# Each answer occupies one of four slots for 0.64 s, so a group completes 6.25 a second.
ANSWER_TOKENS = 100
ANSWERS_PER_S = 6.25
POLL_S = 0.2


class Nodes:
    """Nodes, the planner's sums, and callers of each priority and workspace."""

    def __init__(self, count=20, groups=4, seed=1):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.meters = [DemandMeter() for _ in range(count)]
        self.admissions = [SharedAdmission() for _ in range(count)]
        self.planner = AdmissionShares()
        self.set_groups(groups)
        self.rates = {}
        self.asked = Counter()
        self.admitted = Counter()
        self.live = list(range(count))
        self.following = set(self.live)

    def set_groups(self, count):
        groups = tuple(PlannedGroup(f"h{n}", "g", n, "m0") for n in range(count))
        self.groups = count
        self.planner.set_supplies((ModelSupply("llm", "m0", ENGINE, groups),))

    def run(self, duration_s):
        """Play callers and polls; return what was asked and admitted meanwhile."""
        self.asked.clear()
        self.admitted.clear()
        with (
            mock.patch("time.monotonic", lambda: self.now),
            mock.patch("random.random", self.random.random),
        ):
            for step in range(round(duration_s / 0.02)):
                self.now += 0.02
                for key, rate in self.rates.items():
                    for _ in range(self.arrivals(rate * 0.02)):
                        self.arrive(self.random.choice(self.live), *key)
                if step % round(POLL_S / 0.02) == 0:
                    self.poll()
        return self.asked, self.admitted

    def arrivals(self, mean):
        return int(mean) + (self.random.random() < mean % 1)

    def poll(self):
        for node in self.live:
            if node in self.following:
                self.planner.record(str(node), self.meters[node].class_demands())
        full = GroupTotal(ENGINE.slots, 0, False)
        shares = self.planner.shares(lambda keys: (full,) * len(keys))
        plan = FleetPlan(1, len(self.live), admitted_shares=shares)
        for node in self.following:
            self.admissions[node].apply(plan, [], RANKED)

    def arrive(self, node, priority, workspace, route_priority=0):
        routed = RoutedRequest(
            request("/draft/1", model="m0", max_answer_tokens=ANSWER_TOKENS),
            ROUTES[route_priority],
            SERVICE,
            workspace,
            priority,
            self.now + 5.0,
            ranked=True,
        )
        self.meters[node].record_request(routed)
        key = (priority, workspace, route_priority)
        self.asked[key] += 1
        if self.admissions[node].admits(routed):
            self.admitted[key] += 1

    def share(self, priority, workspace="w", route_priority=0):
        key = (priority, workspace, route_priority)
        return self.admitted[key] / max(1, self.asked[key])

    def admitted_per_room(self, duration_s):
        room = self.groups * ANSWERS_PER_S * duration_s
        return self.admitted.total() / room


class LoadTest(unittest.TestCase):
    def test_burst_of_the_least_urgent_does_not_refuse_the_urgent(self):
        # Pattern: summaries in a burst on the model of the chats.
        nodes = Nodes()
        nodes.rates = {(1, "w"): 16.0, (2, "w"): 8.0}
        nodes.run(6.0)
        nodes.rates[(2, "w")] = 30.0
        nodes.run(2.0)
        nodes.run(6.0)
        self.assertGreater(nodes.share(1), 0.95)
        self.assertGreater(nodes.share(2), 0.2)
        self.assertLess(nodes.admitted_per_room(6.0), 1.15)
        self.assertGreater(nodes.admitted_per_room(6.0), 0.85)

    def test_route_decides_among_workspaces_of_one_priority(self):
        # Pattern: each workspace has a priority of its own, and all have the same.
        nodes = Nodes()
        nodes.rates = {(1, "w", 1): 16.0, (1, "w", 2): 30.0}
        nodes.run(4.0)
        nodes.run(6.0)
        self.assertGreater(nodes.share(1, "w", 1), 0.9)
        self.assertGreater(nodes.share(1, "w", 2), 0.2)

    def test_burst_of_the_most_urgent_is_limited_within_two_seconds(self):
        # Pattern: 1.8 times the usual traffic on groups that the usual one fills.
        nodes = Nodes()
        nodes.rates = {(0, "w"): 23.0, (1, "w"): 2.0}
        nodes.run(8.0)
        nodes.rates[(0, "w")] *= 1.8
        nodes.run(1.0)
        nodes.run(1.0)
        self.assertLess(nodes.admitted_per_room(1.0), 1.3)
        nodes.run(2.0)
        self.assertLess(nodes.admitted_per_room(2.0), 1.15)
        self.assertGreater(nodes.admitted_per_room(2.0), 0.85)

    def test_workspace_with_half_of_the_traffic_bears_the_shortage(self):
        # Pattern: one of nine workspaces asks for as much as all others.
        nodes = Nodes()
        nodes.rates = {(0, "large"): 18.0}
        nodes.rates |= {(0, f"w{number}"): 18.0 / 8 for number in range(8)}
        nodes.run(4.0)
        nodes.run(8.0)
        small = sum(nodes.admitted[(0, f"w{n}", 0)] for n in range(8))
        asked = sum(nodes.asked[(0, f"w{n}", 0)] for n in range(8))
        self.assertGreater(small / asked, 0.9)
        self.assertGreater(nodes.share(0, "large"), 0.25)
        self.assertLess(nodes.admitted_per_room(8.0), 1.15)

    def test_groups_lost_at_the_crest_lower_the_shares_with_the_next_plan(self):
        # Pattern: a fabric domain goes dark while all groups are full.
        nodes = Nodes()
        nodes.rates = {(0, "w"): 12.0, (1, "w"): 12.0}
        nodes.run(6.0)
        nodes.set_groups(2)
        nodes.run(POLL_S)
        nodes.run(4.0)
        self.assertGreater(nodes.share(0), 0.85)
        self.assertLess(nodes.admitted_per_room(4.0), 1.25)

    def test_small_share_is_spread_over_arrivals(self):
        nodes = Nodes(count=1)
        plan = FleetPlan(
            1, 20, admitted_shares=(AdmittedShare("llm", "m0", (1, 0), "", 0.3),)
        )
        results = []
        with mock.patch("time.monotonic", lambda: nodes.now):
            nodes.admissions[0].apply(plan, [], RANKED)
            for _ in range(100):
                before = nodes.admitted.total()
                nodes.arrive(0, 1, "w")
                results.append(nodes.admitted.total() > before)
        self.assertAlmostEqual(30, sum(results), delta=1)
        for start in range(95):
            self.assertTrue(any(results[start : start + 4]))


class FailureTest(unittest.TestCase):
    def short_nodes(self):
        nodes = Nodes()
        nodes.rates = {(0, "w"): 10.0, (1, "w"): 40.0}
        nodes.run(6.0)
        return nodes

    def test_planner_lost_while_short_leaves_the_shares_until_a_stated_time(self):
        nodes = self.short_nodes()
        nodes.following = set()
        nodes.run(HOLD_S)
        self.assertGreater(nodes.share(0), 0.9)
        self.assertLess(nodes.admitted_per_room(HOLD_S), 1.15)
        nodes.run(EASE_S)
        nodes.run(1.0)
        self.assertEqual(nodes.asked, nodes.admitted)

    def test_late_plan_admits_no_more_when_a_node_gets_more_requests(self):
        # A plan that is late by three intervals and the longest interval.
        nodes = self.short_nodes()
        nodes.following = set()
        nodes.run(1.0 + 3 * POLL_S)
        usual = nodes.admitted[(1, "w", 0)] / (1.0 + 3 * POLL_S)
        nodes.rates = {key: 4 * rate for key, rate in nodes.rates.items()}
        nodes.run(1.0)
        nodes.run(1.0)
        self.assertLess(nodes.admitted[(1, "w", 0)], 2.2 * usual)

    def test_killed_nodes_part_goes_to_the_nodes_that_get_its_callers(self):
        nodes = self.short_nodes()
        for node in range(10):
            nodes.live.remove(node)
            nodes.following.remove(node)
        nodes.run(REPORT_TTL_S)
        self.assertLess(nodes.admitted_per_room(REPORT_TTL_S), 1.15)
        nodes.run(1.0)
        nodes.run(4.0)
        self.assertGreater(nodes.admitted_per_room(4.0), 0.85)
        self.assertLess(nodes.admitted_per_room(4.0), 1.15)

    def test_node_cut_from_the_planner_still_serves_and_others_keep_their_shares(self):
        nodes = self.short_nodes()
        nodes.following -= {0, 1}
        nodes.run(HOLD_S)
        self.assertGreater(nodes.share(0), 0.9)
        self.assertLess(nodes.admitted_per_room(HOLD_S), 1.15)


class SharesTest(unittest.TestCase):
    def test_enough_room_needs_no_shares(self):
        self.assertEqual({}, admitted_shares({(0, "a"): 1.0, (1, ""): 1.0}, 2.0))

    def test_shares_fill_the_room_and_leave_no_class_below_the_floor(self):
        draw = random.Random(3)
        for _ in range(200):
            demands = {
                (priority, workspace): draw.expovariate(1.0)
                for priority in range(3)
                for workspace in ("", "a", "b", "c")
                if draw.random() < 0.7
            }
            total = sum(demands.values())
            room = draw.random() * total
            shares = admitted_shares(demands, room)
            used = sum(demands[key] * shares[key] for key in shares)
            self.assertAlmostEqual(room, used, delta=0.02 * total)
            for share in shares.values():
                self.assertLessEqual(share, 1.0)
                self.assertGreater(share, 0.99 * FLOOR * room / total)
            whole = [
                sum(demands[k] * s for k, s in shares.items() if k[0] == priority)
                / sum(g for k, g in demands.items() if k[0] == priority)
                for priority in sorted({p for p, _ in shares})
            ]
            for urgent, next_urgent in itertools.pairwise(whole):
                self.assertGreater(urgent, next_urgent - 1e-9)

    def test_only_the_largest_workspaces_are_named(self):
        demands = {(0, f"w{number}"): 1.0 + number for number in range(30)}
        named = name_largest(demands, 4)
        self.assertEqual(5, len(named))
        self.assertAlmostEqual(sum(demands.values()), sum(named.values()))
        self.assertIn((0, "w29"), named)

    def test_report_names_a_bounded_number_of_workspaces(self):
        nodes = Nodes(count=1)
        nodes.rates = {(0, f"w{number}"): 10.0 for number in range(40)}
        nodes.run(2.0)
        with mock.patch("time.monotonic", lambda: nodes.now):
            demands = nodes.meters[0].class_demands()
        self.assertEqual(9, len(demands))
        total = sum(demand.groups for demand in demands)
        self.assertAlmostEqual(400 / ANSWERS_PER_S, total, delta=16)

    def test_messages_carry_demands_and_shares(self):
        demand = ClassDemand("llm", "m0", (1, 2), "pilots", 1.5)
        share = AdmittedShare("llm", "m0", (-1, 3), "", 0.25)
        load = decode(encode(NodeLoad(1, class_demands=(demand,))))
        update = decode(encode(PlanUpdate(admitted_shares=(share,))))
        self.assertEqual((demand,), load.class_demands)
        self.assertEqual((share,), update.admitted_shares)


class SwitchTest(unittest.TestCase):
    def test_one_priority_reports_no_classes(self):
        routes = [route(name, RouteKind.STREAM, "llm") for name in ("draft", "sum")]
        self.assertEqual(frozenset(), configuration(*routes).ranked_services)
        match route_request(configuration(*routes), request("/draft/1", model="m0")):
            case Ok(routed):
                meter = DemandMeter()
                meter.record_request(routed)
        self.assertEqual((), meter.class_demands())

    def test_priorities_of_routes_rank_a_model_service(self):
        draft = route("draft", RouteKind.STREAM, "llm")
        urgent = route("chat", RouteKind.STREAM, "llm", priority=0)
        self.assertEqual(RANKED, configuration(draft, urgent).ranked_services)
        plain = route("pay", RouteKind.IDEMPOTENT, "ledger", priority=0)
        self.assertEqual(frozenset(), configuration(draft, plain).ranked_services)


if __name__ == "__main__":
    unittest.main()

"""Split of groups between models by the urgency of their callers, without clock."""

import standins.common  # noqa: F401  # isort: skip

import unittest
from collections import Counter

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.group_selection import FleetSize, GroupSelector
from poplarspar.coordination.pools.groups import Group
from poplarspar.coordination.pools.plan_exchange import PlanExchange
from poplarspar.coordination.pools.staging_selection import StagingSelector
from poplarspar.coordination.pools.urgency import (
    MIN_WEIGHT,
    UrgencyMeter,
    urgency_weights,
)
from poplarspar.state.plan import ClassDemand, NodeLoad
from tests.test_pools import ENGINE, make_worker

URGENT, LATER = (1, 0), (1, 2)
GROUPS = {"m0": 2.0, "m1": 2.0}


def demand(**demand_by_model):
    """Return a demand for two groups of each model, with the urgency of its callers."""
    return Demand(GROUPS).weighted(urgency_weights(demand_by_model))


def selector(demand, counts):
    return GroupSelector(
        ENGINE, demand, Counter(counts), {}, FleetSize(54, 6), max_load_s=0.2
    )


class UrgencyTest(unittest.TestCase):
    def test_survivors_of_a_dark_domain_serve_the_most_urgent(self):
        # Pattern: a domain dark at the crest leaves members for one group.
        survivors = [make_worker(f"w{i}", model="m0", staged=("m1",)) for i in range(3)]
        counts = {"m0": 1, "m1": 1}
        for urgent, other in (("m0", "m1"), ("m1", "m0")):
            callers = demand(**{urgent: {URGENT: 2.0}, other: {LATER: 2.0}})
            (new, *_) = selector(callers, counts).choose_formation(survivors).groups
            self.assertEqual(urgent, new.model.name)

    def test_groups_of_the_least_urgent_are_converted_first(self):
        members = {
            rank: make_worker(f"w{rank}", model="m0", staged=("m1",))
            for rank in range(3)
        }
        group = Group(("m0-1", 1), members)
        counts = {"m0": 4, "m1": 2}
        least = demand(m0={LATER: 2.0}, m1={URGENT: 2.0})
        conversion = selector(least, counts).choose_conversion([group], [])
        self.assertEqual((group,), conversion.retired_groups)
        self.assertIsNone(
            selector(Demand(GROUPS), counts).choose_conversion([group], [])
        )
        most = demand(m0={URGENT: 2.0}, m1={LATER: 2.0})
        self.assertIsNone(selector(most, counts).choose_conversion([group], []))

    def test_fresh_servers_load_the_model_of_the_most_urgent_first(self):
        free = [make_worker(f"w{i}") for i in range(3)]
        for urgent, other in (("m0", "m1"), ("m1", "m0")):
            callers = demand(**{urgent: {URGENT: 2.0}, other: {LATER: 2.0}})
            counts = Counter({"m0": 1, "m1": 2})
            staging = StagingSelector(ENGINE, callers, counts, {})
            first, *_ = staging.options_for_spares(free)
            self.assertEqual(urgent, first.model.name)

    def test_first_group_of_a_less_urgent_model_goes_before_a_surplus(self):
        survivors = [make_worker(f"w{i}", model="m1", staged=("m0",)) for i in range(3)]
        callers = demand(m0={LATER: 2.0}, m1={URGENT: 2.0})
        (new,) = selector(callers, {"m1": 4}).choose_formation(survivors).groups
        self.assertEqual("m0", new.model.name)


class WeightsTest(unittest.TestCase):
    def test_one_rank_weighs_all_models_alike(self):
        weights = urgency_weights({"m0": {URGENT: 3.0}, "m1": {URGENT: 1.0}})
        self.assertEqual({"m0": 1.0, "m1": 1.0}, weights)

    def test_weights_average_one_and_stay_above_the_least(self):
        ranks = [(0, priority) for priority in range(8)]
        weights = urgency_weights(
            {"m0": {ranks[0]: 1.0}, "m1": dict.fromkeys(ranks, 1)}
        )
        self.assertAlmostEqual(2.0, sum(weights.values()))
        least = dict.fromkeys(ranks, 0.01) | {ranks[7]: 10.0}
        weights = urgency_weights({"m0": {ranks[0]: 1.0}, "m1": least})
        self.assertAlmostEqual(MIN_WEIGHT, weights["m1"] / weights["m0"])

    def test_model_without_callers_leaves_the_split_to_demand(self):
        self.assertEqual({}, urgency_weights({"m0": {URGENT: 3.0}, "m1": {LATER: 0.0}}))

    def test_burst_of_the_least_urgent_moves_no_weight_at_once(self):
        # Pattern: summaries in a burst of some seconds on the model of the chats.
        meter = UrgencyMeter()
        usual = {
            "m0": {((1, 1), "a"): 3.0, (LATER, "a"): 1.0},
            "m1": {(URGENT, "a"): 6.0},
        }
        meter.update(usual, 0.0)
        before = meter.weights()
        burst = {**usual, "m0": {((1, 1), "a"): 3.0, (LATER, "a"): 2.3}}
        for step in range(1, 13):
            meter.update(burst, step * 0.25)
        after = meter.weights()
        self.assertAlmostEqual(before["m0"], after["m0"], delta=0.05)

    def test_planner_weighs_models_by_what_nodes_report(self):
        exchange = PlanExchange(lambda head: None)
        exchange.exchange("n1", NodeLoad(0))
        self.assertEqual({}, exchange.urgency_by_model("llm"))
        later = ClassDemand("llm", "m0", LATER, "a", 2.0)
        urgent = ClassDemand("llm", "m1", URGENT, "", 2.0)
        exchange.exchange("n1", NodeLoad(0, class_demands=(later, urgent)))
        weights = exchange.urgency_by_model("llm")
        self.assertGreater(weights["m1"], weights["m0"])
        exchange.withdraw()
        self.assertEqual({}, exchange.urgency_by_model("llm"))


if __name__ == "__main__":
    unittest.main()

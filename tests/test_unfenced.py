"""Replica groups of engines that ignore fencing tokens.

Guards against a member that stays in the wrong group: an engine without fencing
carries out any order, so the planner must notice that and repeat its own order.
"""

import json

from standins.cluster import wait_for
from tests import test_replicas
from tests.base import TIDEWATER, engine_vms


class UnfencedReplicasTest(test_replicas.ReplicasTest):
    """Runs the replica group tests on engines that ignore fencing tokens."""

    vms = engine_vms(fenced=0)
    objects = TIDEWATER.replace("fenced = yes", "fenced = no")

    def test_group_recovers_from_stray_order(self):
        leader, member = self.group_in("a")["members"]
        stray_order = {
            "group": "stray",
            "deployment": "dues-drafter",
            "epoch": 0,
            "index": 0,
            "members": [self.cluster.address(member)],
        }
        with self.load("draft") as load:
            load.wait_served(20)
            address = self.cluster.address(member)
            answer = self.cluster.http.send("POST", address, "/v1/orders", stray_order)
            self.assertEqual(200, answer.status, json.dumps(stray_order))
            orders = self.cluster.counts(member)["orders"]
            wait_for(
                lambda: self.cluster.counts(member)["orders"] > orders,
                "the planner repeats its order",
            )
            starts_before = self.started_count(leader)
            wait_for(
                lambda: self.started_count(leader) > starts_before,
                "the group serves again",
            )
        self.assertEqual([], load.problems)

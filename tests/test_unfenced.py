"""Replica groups of engines that ignore the fencing number."""

import json

from standins.cluster import wait_for
from tests import test_replicas
from tests.base import TIDEWATER, engine_vms


class UnfencedReplicasTest(test_replicas.ReplicasTest):
    """The same with engines that ignore the fencing number."""

    vms = engine_vms(fenced=0)
    objects = TIDEWATER.replace("fenced = yes", "fenced = no")

    def test_stray_order_is_corrected(self):
        leader, member = self.group_in("a")["members"]
        stray = {
            "group": "stray",
            "deployment": "dues-drafter",
            "epoch": 0,
            "index": 0,
            "members": [self.cluster.address(member)],
        }
        with self.load("draft") as load:
            load.wait_served(20)
            address = self.cluster.address(member)
            answer = self.cluster.http.send("POST", address, "/v1/orders", stray)
            self.assertEqual(200, answer.status, json.dumps(stray))
            orders = self.cluster.counts(member)["orders"]
            wait_for(
                lambda: self.cluster.counts(member)["orders"] > orders, "a new order"
            )
            before = self.started_count(leader)
            wait_for(
                lambda: self.started_count(leader) > before, "the group serves again"
            )
        self.assertEqual([], load.problems)

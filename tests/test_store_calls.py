"""Calls to the store: how many a node makes, and what each tells it."""

import standins.common  # noqa: F401  # isort: skip

import unittest

from poplarspar.coordination.store_calls import StoreCalls
from poplarspar.coordination.store_ports import CallKind
from tests.test_platform import NodeTestCase, wait_until


class CountsTest(NodeTestCase):
    # Guards against a price that no operator can trace to its cause.
    def test_metrics_tell_calls_by_kind_and_part(self):
        counts = self.node.metrics.count_by_name
        wait_until(lambda: counts["store_write_nodes_calls"], "the node is listed")
        for name in ("read_all_operator", "read_all_backends", "lease_grant"):
            self.assertGreaterEqual(counts[f"store_{name}_calls"], 1, name)

    def test_refused_calls_count(self):
        counts = self.node.metrics.count_by_name
        self.store.down = True
        before = counts["store_read_all_operator_calls"]
        wait_until(
            lambda: counts["store_read_all_operator_calls"] > before + 2,
            "the node tries the store again",
        )

    def test_keys_outside_of_all_parts_count_too(self):
        names = []
        calls = StoreCalls(names.append, {"op/": "operator", "a/": "nodes"})
        for kind, key in (
            (CallKind.WRITE, "a-spares"),
            (CallKind.READ_ALL, "op/"),
            (CallKind.READ, "a/planner"),
            (CallKind.LEASE_RENEWAL, ""),
        ):
            calls.record(kind, key)
        self.assertEqual(
            [
                "store_write_other_calls",
                "store_read_all_operator_calls",
                "store_read_nodes_calls",
                "store_lease_renewal_calls",
            ],
            names,
        )


if __name__ == "__main__":
    unittest.main()

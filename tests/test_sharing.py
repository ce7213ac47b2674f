"""Bounds that nodes divide without talking."""

import unittest

from poplarspar.coordination.sharing import even_share


class EvenPartTest(unittest.TestCase):
    def parts(self, bound, count, subject="s-1"):
        names = [f"n-{index}" for index in range(count)]
        return [even_share(bound, name, names, count, subject) for name in names]

    def test_parts_sum_up_to_the_bound(self):
        for bound, count in [(30, 59), (59, 8), (0, 3), (7, 7), (5, 1)]:
            with self.subTest(bound=bound, count=count):
                parts = self.parts(bound, count)
                self.assertEqual(bound, sum(parts))
                self.assertLessEqual(max(parts) - min(parts), 1)

    def test_rest_goes_to_other_nodes_for_other_subjects(self):
        self.assertNotEqual(self.parts(30, 59), self.parts(30, 59, "s-2"))

    def test_unknown_nodes_leave_less_for_each(self):
        names = ["n-0", "n-1"]
        parts = [even_share(10, name, names, 5, "s-1") for name in names]
        self.assertEqual([2, 2], parts)

    def test_node_that_nobody_knows_takes_nothing_of_the_rest(self):
        self.assertEqual(
            0, even_share(30, "new", [f"n-{i}" for i in range(59)], 60, "s")
        )


if __name__ == "__main__":
    unittest.main()

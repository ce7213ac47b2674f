"""Division of a limit among nodes without messages between them."""

import unittest

from poplarspar.coordination.sharing import even_share


class EvenShareTest(unittest.TestCase):
    def shares(self, total, count, subject="s-1"):
        names = [f"n-{index}" for index in range(count)]
        return [even_share(total, name, names, count, subject) for name in names]

    def test_shares_sum_to_the_total(self):
        for total, count in [(30, 59), (59, 8), (0, 3), (7, 7), (5, 1)]:
            with self.subTest(total=total, count=count):
                shares = self.shares(total, count)
                self.assertEqual(total, sum(shares))
                self.assertLessEqual(max(shares) - min(shares), 1)

    def test_remainder_goes_to_other_nodes_for_other_subjects(self):
        self.assertNotEqual(self.shares(30, 59), self.shares(30, 59, "s-2"))

    def test_unknown_nodes_reduce_each_share(self):
        names = ["n-0", "n-1"]
        shares = [even_share(10, name, names, 5, "s-1") for name in names]
        self.assertEqual([2, 2], shares)

    def test_unknown_node_gets_none_of_the_remainder(self):
        self.assertEqual(
            0, even_share(30, "new", [f"n-{i}" for i in range(59)], 60, "s")
        )


if __name__ == "__main__":
    unittest.main()

"""Limits that backend servers name in their answers."""

import standins.common  # noqa: F401  # isort: skip

import unittest

from poplarspar.platform.headers import parse_rate_limit


class HeaderTest(unittest.TestCase):
    def test_decimal_numbers_are_limits_and_other_texts_are_none(self):
        self.assertEqual([2.4, 3.0, 0.0], [*map(parse_rate_limit, ("2.4", "3", "0"))])
        for text in (None, "", "nan", "inf", "-1", "1e9", "2.4 a second", "9" * 99):
            with self.subTest(text=text):
                self.assertIsNone(parse_rate_limit(text))


if __name__ == "__main__":
    unittest.main()

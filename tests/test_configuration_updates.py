"""How versions of the configuration reach a node, and what its logs tell of it."""

import standins.common  # noqa: F401  # isort: skip

import unittest

from standins.platform import configuration
from tests.test_platform import NodeTestCase, wait_until


class LogTest(NodeTestCase):
    def lines(self, event):
        return [record for record in self.records if record.event == event]

    def test_lines_tell_the_version_of_each_decision_and_how_it_was_learnt(self):
        with self.assertLogs("poplarspar", "INFO") as logs:
            self.records = logs.records
            self.store.put("op/config", configuration(8))
            wait_until(lambda: self.lines(220), "the version is in effect")
            self.send("/pay/7", Attempt_Id="served")
            self.send("/nowhere/", Attempt_Id="refused")
        (applied,) = self.lines(220)
        self.assertEqual((8, 3), (applied.version, applied.before))
        (read,) = self.lines(222)
        self.assertEqual(self.store.revision_of("op/config"), read.newest)
        self.assertIn(read.way, ("watch", "read"))
        for event in (413, 410):
            (line,) = self.lines(event)
            self.assertEqual(8, line.version)
            self.assertLess(line.version_age_ms, 5000)
            self.assertLess(line.store_answered_ms, 5000)


if __name__ == "__main__":
    unittest.main()

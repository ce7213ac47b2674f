"""Log lines: bounded, never waiting for their reader, and readable as a story."""

import json
import logging
import os
import time
import unittest

from poplarspar.display import explain_request
from poplarspar.logs import MAX_LINES_PER_S, EventRateLimiter, LineWriter


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.writer = LineWriter(self.descriptor)

    def emit(self, text):
        self.writer.emit(logging.makeLogRecord({"msg": text}))

    def test_full_pipe_costs_lines_and_no_time(self):
        began_at = time.monotonic()
        for index in range(20_000):
            self.emit(f"line {index} " + "x" * 40)
        self.assertLess(time.monotonic() - began_at, 5.0)
        self.assertGreater(self.writer.dropped_lines, 0)

    def test_lines_stay_whole_after_a_full_pipe(self):
        for index in range(20_000):
            self.emit(f"line {index} end")
        received = os.read(self.reader, 1 << 20)
        self.emit("last end")
        os.set_blocking(self.reader, False)
        received += os.read(self.reader, 1 << 20)
        for line in received.decode().splitlines():
            self.assertTrue(line.endswith(" end"), line)

    def test_reader_that_is_gone(self):
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor)
        os.close(reader)
        writer.emit(logging.makeLogRecord({"msg": "nobody reads"}))
        self.assertEqual(1, writer.dropped_lines)
        os.close(descriptor)


class LineBudgetTest(unittest.TestCase):
    def test_each_event_has_its_own(self):
        budget = EventRateLimiter()
        taken = [budget.allow(1) for _ in range(3 * MAX_LINES_PER_S)]
        self.assertLessEqual(sum(taken), 2 * MAX_LINES_PER_S)
        self.assertTrue(budget.allow(2))
        self.assertEqual(taken.count(False), sum(budget.suppressed.values()))


class ExplainTest(unittest.TestCase):
    def test_story_is_in_order_over_several_logs(self):
        def line(time, daemon, event, id):
            fields = {"time": time, "daemon": daemon, "event": event, "id": id}
            return json.dumps({**fields, "message": "m", "left_ms": 5}) + "\n"

        first = line("2", "n1", 414, "r1") + line("1", "n1", 416, "r2")
        second = line("1", "n2", 413, "r1") + "not JSON r1\n"
        story = explain_request("r1", [first, second])
        self.assertEqual(
            ["1 n2 413 m: left_ms=5", "2 n1 414 m: left_ms=5"],
            story,
        )


if __name__ == "__main__":
    unittest.main()

"""Which requests count as usage, and how nodes hand their counts on."""

import unittest

from poplarspar.coordination.duties import TrueClock, UsageExchange
from poplarspar.exceptions import BackendFailed
from poplarspar.state.usage import NodeUsage, UsageCount
from tests.test_forwarding import FakeExchange, ForwardingTestCase, request
from tests.test_usage import FIRST, HOUR, UsageTestCase


class MeterTest(UsageTestCase):
    def test_repeated_handing_on_counts_nothing_twice(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1", 3)
        b.hand_on(a)
        b.usage.meter.start_link()
        b.hand_on(a)
        self.assertEqual({"w1": 3}, a.usage.totals.requests_by_workspace(FIRST))

    def test_only_changed_counts_are_handed_on(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1")
        b.serve("w2")
        b.hand_on(a)
        b.serve("w2")
        (count,) = b.usage.meter.load().counts
        self.assertEqual(UsageCount(FIRST, "w2", 2), count)

    def test_new_planner_gets_all_counts_that_are_not_reported(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1", 3)
        self.play(5.9, a, b)
        c = self.node("c.1")
        b.serve("w1", 4)
        b.hand_on(a)
        b.usage.meter.start_link()
        b.hand_on(c)
        self.assertEqual({}, c.usage.totals.requests_by_workspace(FIRST))
        self.assertEqual({"w1": 4}, c.usage.totals.requests_by_workspace(FIRST + 1))

    def test_without_the_duty_nothing_is_counted(self):
        usage = UsageExchange(None, self.node("a.1").clock)
        usage.meter.record("w1")
        self.assertEqual(NodeUsage(), usage.meter.load())
        usage.wait_handed_on(HOUR)

    def test_steps_of_the_time_of_day_move_no_counts(self):
        boot = wall = 1000.0
        clock = TrueClock(lambda: boot, lambda: wall)
        boot, wall = 1001.0, 995.0
        self.assertEqual(1001.0, clock.now())
        boot, wall = 1002.0, 1002.1
        self.assertEqual(1002.1, clock.now())
        for boot in range(1003, 1070):
            wall = boot + 4.0
            now = clock.now()
        self.assertEqual(1073.0, now)


class BeginTest(ForwardingTestCase):
    def test_resumed_stream_counts_once_with_its_first_event(self):
        broken = FakeExchange(numbers=(1, 2, 3), break_after=2)
        whole = FakeExchange(numbers=(3,))
        received = request("/draft/1", model="m0")
        answer = self.answered(self.serve(received, broken, whole))
        self.assertEqual([], self.begun)
        self.assertEqual(3, len(list(answer.events)))
        self.assertEqual(["pilots"], self.begun)

    def test_stream_that_a_caller_resumes_does_not_count_again(self):
        received = request("/draft/1", model="m0", last_event=1)
        answer = self.answered(self.serve(received, FakeExchange(numbers=(2, 3))))
        self.assertEqual(2, len(list(answer.events)))
        self.assertEqual([], self.begun)

    def test_plain_request_counts_if_it_may_have_run(self):
        lost = BackendFailed("reset", sent=True)
        self.refused(self.serve(request(), lost))
        self.answered(self.serve(request("/look/1"), lost, FakeExchange()))
        self.assertEqual(["pilots"] * 2, self.begun)
        declined = [FakeExchange(503, not_executed=True) for _ in range(3)]
        self.refused(self.serve(request(), *declined))
        self.assertEqual(["pilots"] * 2, self.begun)


if __name__ == "__main__":
    unittest.main()

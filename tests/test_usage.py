"""Usage reports: counting, handing on, committing and reporting, without network."""

import unittest
from unittest import mock

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import (
    USAGE_KEY,
    DutyHolding,
    TrueClock,
    UsageExchange,
    UsageLedger,
    UsageReporter,
    WindowClock,
)
from poplarspar.coordination.duties.usage_meter import MAX_WINDOWS
from poplarspar.exceptions import (
    MalformedDocument,
    RevisionConflict,
    StoreUnavailable,
)
from poplarspar.protocol.peers import decode, encode
from poplarspar.protocol.usage import UsageJson
from poplarspar.state.duties import (
    Duty,
    DutySettings,
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
    UsageReport,
)
from poplarspar.state.plan import NodeLoad, PlanUpdate
from poplarspar.state.snapshot import StoredValue
from poplarspar.state.usage import NodeUsage, UsageCount, UsageRecord

SETTINGS = DutySettings(
    "platform:1", frozenset({Duty.USAGE}), 10.0, hold_s=3.0, window_s=5.0, due_s=10.0
)
FIRST = 200
START = FIRST * SETTINGS.window_s
HOUR = 3600.0


class FakeStore:
    """One key, with a compare-and-swap whose answers can be lost."""

    def __init__(self):
        self.stored = StoredValue(USAGE_KEY, 0, "")
        self.writes = 0
        self.down = False
        self.loses_answers = False

    def read(self, key):
        if self.down:
            raise StoreUnavailable("down")
        return self.stored

    def compare_and_swap(self, key, expected, text, lease=""):
        if self.down:
            raise StoreUnavailable("down")
        if expected != self.stored.revision:
            raise RevisionConflict(key)
        self.writes += 1
        self.stored = StoredValue(key, expected + 1, text)
        if self.loses_answers:
            raise StoreUnavailable("no answer")
        return self.stored.revision


class Platform:
    """Records the calls that arrive; `answers` are given first, then `Performed`."""

    def __init__(self):
        self.calls = []
        self.answers = []

    def report_usage(self, term, report):
        self.calls.append((term, report))
        return self.answers.pop(0) if self.answers else Performed()

    def counts(self):
        return {r.window: r.requests_by_workspace for _, r in self.calls}


class Node:
    """A node with its part of the usage reports; `lead` makes it the planner."""

    def __init__(self, world, name, ahead_s=0.0):
        self.world = world
        self.name = name
        self.is_planner = False
        self.planner_revision = 0
        self.drain = Drain()
        self.clock = TrueClock(lambda: world.now, lambda: world.now + ahead_s)
        self.usage = UsageExchange(SETTINGS, self.clock)
        holding = DutyHolding(name, 3.0, self, self.drain, lambda: world.now)
        ledger = UsageLedger(world.store, UsageJson())
        self.reporter = UsageReporter(
            holding,
            world.platform,
            ledger,
            self.usage,
            WindowClock(SETTINGS, self.clock.now),
            lambda: frozenset(world.listed),
        )
        world.listed.add(name)

    def planner_lease_valid(self):
        return self.is_planner

    def lead(self, revision):
        self.is_planner, self.planner_revision = True, revision

    def serve(self, workspace, count=1):
        for _ in range(count):
            self.usage.meter.record(workspace)

    def hand_on(self, planner):
        """Send a load report and apply the answer, by way of the wire format."""
        load = decode(encode(NodeLoad(0, usage=self.usage.meter.load())))
        planner.usage.totals.receive(self.name, load.usage)
        update = PlanUpdate(reported_window=planner.usage.reported_window())
        reported_window = decode(encode(update)).reported_window
        self.usage.meter.confirm(load.usage, reported_window)


class UsageTestCase(unittest.TestCase):
    def setUp(self):
        self.now = START
        self.store = FakeStore()
        self.platform = Platform()
        self.listed = set()
        patched = mock.patch("time.monotonic", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)

    def node(self, name, revision=0, **options):
        node = Node(self, name, **options)
        if revision:
            node.lead(revision)
        return node

    def play(self, until, planner, *nodes):
        """Let nodes hand on to the planner, and it do its duty, until a time."""
        while self.now < START + until:
            for node in (planner, *nodes):
                node.hand_on(planner)
            planner.reporter.step()
            self.now += 0.2


class ReportTest(UsageTestCase):
    def test_counts_of_all_nodes_are_reported_once_the_window_ends(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        a.serve("w1", 2)
        b.serve("w1", 3)
        b.serve("w2")
        self.play(5.9, a, b)
        ((term, report),) = self.platform.calls
        self.assertEqual(("a.1", 7), (term.holder, term.token))
        self.assertEqual(UsageReport(FIRST, {"w1": 5, "w2": 1}), report)

    def test_windows_without_requests_are_reported_too(self):
        self.play(11.0, self.node("a.1", 7))
        self.assertEqual({FIRST: {}, FIRST + 1: {}}, self.platform.counts())

    def test_killed_node_s_counts_are_reported(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1", 3)
        self.play(1.0, a, b)
        self.play(14.0, a)
        self.assertEqual({"w1": 3}, self.platform.counts()[FIRST])

    def test_window_waits_for_a_node_that_is_cut_off_but_not_past_its_due_time(self):
        a, b, c = self.node("a.1", 7), self.node("b.1"), self.node("c.1")
        self.play(1.0, a, b, c)
        b.serve("w1", 3)
        self.play(9.0, a)
        self.assertEqual([], self.platform.calls)
        self.listed -= {"b.1", "c.1"}
        self.play(11.0, a, b)
        self.play(14.9, a)
        self.assertEqual({"w1": 3}, self.platform.counts()[FIRST])

    def test_holder_whose_clock_is_ahead_commits_no_window_that_goes_on(self):
        a, b, c = self.node("a.1", 7, ahead_s=20.0), self.node("b.1"), self.node("c.1")
        for _ in range(100):
            b.serve("w1")
            self.play(self.now - START + 0.1, a, b, c)
        counts = self.platform.counts()
        self.assertEqual(25, counts[FIRST]["w1"])

    def test_killed_process_is_not_awaited_once_its_node_runs_again(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1")
        self.play(1.0, a, b)
        self.play(6.0, a)
        self.assertEqual([], self.platform.calls)
        self.play(6.7, a, self.node("b.2"))
        self.assertEqual({"w1": 1}, self.platform.counts()[FIRST])

    def test_node_that_stops_holds_no_window_up(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        b.serve("w1")
        self.play(1.0, a, b)
        b.usage.meter.finish()
        self.assertFalse(b.usage.meter.is_handed_on())
        self.play(1.3, a, b)
        self.assertTrue(b.usage.meter.is_handed_on())
        self.play(5.9, a)
        self.assertEqual({"w1": 1}, self.platform.counts()[FIRST])

    def test_report_without_answer_is_repeated_exactly(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        a.serve("w1")
        self.platform.answers = [NotAnswered(), Postponed()]
        self.play(5.5, a, b)
        # Later counts of the window change nothing.
        b.usage.totals.receive("c.1", NodeUsage(1, (UsageCount(FIRST, "w1", 9),)))
        a.usage.totals.receive("c.1", NodeUsage(1, (UsageCount(FIRST, "w1", 9),)))
        self.play(9.0, a, b)
        reports = [report for _, report in self.platform.calls]
        self.assertEqual(3 * [UsageReport(FIRST, {"w1": 1})], reports)

    def test_new_holder_repeats_the_report_of_the_last_exactly(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        a.serve("w1")
        self.platform.answers = [NotAnswered()]
        self.play(5.3, a, b)
        b.usage.totals.receive("c.1", NodeUsage(1, (UsageCount(FIRST, "w1", 9),)))
        b.lead(9)
        self.play(8.9, b)
        self.assertEqual(0, b.reporter.late_count)
        (first, second) = self.platform.calls
        self.assertEqual(first[1], second[1])
        self.assertEqual((7, 9), (first[0].token, second[0].token))

    def test_second_holder_adopts_what_the_first_has_committed(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        self.play(4.9, a, b)
        a.serve("w1")
        self.listed = {"b.1"}
        b.lead(9)
        self.now = START + 5.1
        b.hand_on(b)
        b.reporter.step()
        # `a` was paused and still takes itself for the planner; only it has its count.
        self.platform.answers = [NotAnswered()]
        self.play(6.2, a, b)
        self.play(9.0, b)
        self.assertEqual([7, 9], [term.token for term, _ in self.platform.calls])
        reports = [report for _, report in self.platform.calls]
        self.assertEqual([UsageReport(FIRST, {})] * 2, reports)

    def test_holder_with_a_lower_token_stops_for_its_term(self):
        a = self.node("a.1", 7)
        self.platform.answers = [Superseded()]
        self.play(20.0, a)
        self.assertEqual(1, len(self.platform.calls))
        a.lead(11)
        self.play(24.0, a)
        windows = [report.window for _, report in self.platform.calls]
        self.assertEqual([FIRST, *range(FIRST, FIRST + 4)], windows)

    def test_refused_calls_are_repeated_rarely_and_windows_stay_in_order(self):
        a = self.node("a.1", 7)
        self.platform.answers = [Postponed()] * 6
        self.play(26.0, a)
        windows = [report.window for _, report in self.platform.calls]
        self.assertEqual([FIRST] * 7, windows[:7])
        self.assertEqual([FIRST + 1, FIRST + 2, FIRST + 3], windows[7:10])

    def test_late_report_is_sent_and_logged(self):
        a = self.node("a.1", 7)
        self.store.down = True
        self.play(20.0, a)
        self.assertEqual([], self.platform.calls)
        self.store.down = False
        with self.assertLogs("poplarspar", "INFO") as logs:
            self.play(21.5, a)
        self.assertIn("usage of a window reported late", "".join(logs.output))
        self.assertEqual(2, a.reporter.late_count)
        self.assertEqual(set(range(FIRST, FIRST + 4)), set(self.platform.counts()))

    def test_windows_kept_in_a_long_outage_are_bounded(self):
        a = self.node("a.1", 7)
        self.play(6.0, a)
        self.store.down = True
        self.now = START + HOUR
        self.store.down = False
        with self.assertLogs("poplarspar", "INFO") as logs:
            self.play(HOUR + 2.0, a)
        self.assertIn("windows of usage dropped", "".join(logs.output))
        newest = int((START + HOUR) // SETTINGS.window_s) - 1
        self.assertEqual(newest, max(self.platform.counts()))
        self.assertLessEqual(len(self.platform.calls), MAX_WINDOWS + 1)


class StoredRecordTest(UsageTestCase):
    def test_restart_of_all_nodes_within_a_window_keeps_what_was_stored(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        a.serve("w1", 2)
        b.serve("w1", 3)
        self.play(3.0, a, b)
        self.listed.clear()
        c = self.node("c.1", 12)
        c.serve("w1", 4)
        self.play(6.5, c)
        self.assertEqual({"w1": 9}, self.platform.counts()[FIRST])

    def test_restart_of_all_nodes_after_a_commit_repeats_it(self):
        a = self.node("a.1", 7)
        a.serve("w1", 2)
        self.platform.answers = [NotAnswered()]
        self.play(5.3, a)
        self.listed.clear()
        c = self.node("c.1", 12)
        self.play(9.5, c)
        reports = [report for _, report in self.platform.calls]
        self.assertEqual([UsageReport(FIRST, {"w1": 2})] * 2, reports)

    def test_report_waits_for_a_commit_whose_answer_was_lost(self):
        a = self.node("a.1", 7)
        self.play(4.9, a)
        self.store.loses_answers = True
        self.play(5.5, a)
        self.assertEqual([], self.platform.calls)
        self.store.loses_answers = False
        self.play(7.0, a)
        self.assertEqual(1, len(self.platform.calls))

    def test_store_gets_two_writes_a_window(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        while self.now < START + 50.0:
            b.serve("w1")
            self.play(self.now - START + 0.3, a, b)
        self.assertLessEqual(self.store.writes, 21)

    def test_record_that_can_not_be_decoded_is_left_alone(self):
        self.store.stored = StoredValue(USAGE_KEY, 4, '{"reported": "x"}')
        self.play(20.0, self.node("a.1", 7))
        self.assertEqual((0, []), (self.store.writes, self.platform.calls))

    def test_restored_store_leads_to_no_second_report(self):
        a, b = self.node("a.1", 7), self.node("b.1")
        a.serve("w1")
        self.play(4.0, a, b)
        older = self.store.stored
        a.serve("w1")
        self.play(5.9, a, b)
        a.serve("w1")
        self.platform.answers = [NotAnswered()]
        self.play(10.4, a, b)
        self.store.stored = StoredValue(USAGE_KEY, 90, older.text)
        a.usage.totals.receive("c.1", NodeUsage(1, (UsageCount(FIRST + 1, "w1", 9),)))
        a.lead(11)
        self.play(24.0, a, b)
        windows = [report.window for _, report in self.platform.calls]
        self.assertEqual([FIRST, FIRST + 1, *range(FIRST + 1, FIRST + 4)], windows)
        self.assertEqual({"w1": 1}, self.platform.counts()[FIRST + 1])

    def test_record_survives_its_document(self):
        record = UsageRecord(
            3,
            (UsageReport(4, {"w1": 2}), UsageReport(5, {})),
            {6: {"a.1": {"w1": 1}, "b.1": {"w2": 7}}},
        )
        text = UsageJson().text(record)
        self.assertEqual(record, UsageJson().parse(text))
        with self.assertRaises(MalformedDocument):
            UsageJson().parse(text.replace('"w2"', '"w2","w3"'))


if __name__ == "__main__":
    unittest.main()

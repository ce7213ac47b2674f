"""The right to perform duties, and the calls to the platform that it allows."""

import standins.common  # noqa: F401  # isort: skip

import json
import tempfile
import unittest

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import DutyHolding, PacedDutyPort
from poplarspar.exceptions import InvalidSettings
from poplarspar.platform.duties import PlatformDutyCaller
from poplarspar.platform.settings import read_node_settings
from poplarspar.state.duties import (
    CapacityOrder,
    Duty,
    DutySettings,
    DutyTerm,
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
    UsageReport,
)
from poplarspar.transport.server import Request, Response
from standins.platform import PlatformServer, settings_text
from tests.test_platform import NodeTestCase, wait_until

HOLD_S = 3.0
TERM = DutyTerm("n1", 12)
REPORT = UsageReport(353445120, {"w2": 1, "w1": 2})
BOUNDS = "lease_ms = 3000\nreport_window_s = 5\nusage_late_s = 10\n"
CLOUD = """[cloud]
address = "10.2.0.1:2"
duties = ["usage_report", "autoscale", "another"]
duty_per_s = 4
"""


class Session:
    """The planner's role of one node."""

    def __init__(self):
        self.is_planner = False
        self.planner_revision = 0
        self.expires_at = 0.0
        self.now = 100.0

    def planner_lease_valid(self):
        return self.now < self.expires_at

    def lead(self, revision, lease_s=60.0):
        self.is_planner, self.planner_revision = True, revision
        self.expires_at = self.now + lease_s


class HoldingTest(unittest.TestCase):
    def setUp(self):
        self.session = Session()
        self.drain = Drain()
        self.holding = DutyHolding(
            "n1", HOLD_S, self.session, self.drain, lambda: self.session.now
        )

    def lead(self, revision, **options):
        """Begin a term, and let the hold time pass."""
        self.session.lead(revision, **options)
        self.assertIsNone(self.holding.term())
        self.session.now += HOLD_S

    def test_only_the_planner_has_a_term(self):
        self.assertIsNone(self.holding.term())
        self.lead(12)
        self.assertEqual(TERM, self.holding.term())

    def test_node_paused_past_its_lease_has_no_term(self):
        self.lead(12, lease_s=4.0)
        self.assertEqual(TERM, self.holding.term())
        # The boot clock goes on while the VM is suspended.
        self.session.now += 8.0
        self.assertIsNone(self.holding.term())

    def test_no_two_nodes_act_in_turns_within_the_hold_time(self):
        self.lead(12)
        acted_at = self.session.now
        self.assertIsNotNone(self.holding.term())
        # Another node takes over at once, and this one again.
        self.session.is_planner = False
        self.assertIsNone(self.holding.term())
        self.session.now += 0.5
        self.session.lead(14)
        while self.holding.term() is None:
            self.session.now += 0.1
        self.assertGreaterEqual(self.session.now, acted_at + HOLD_S)
        self.assertEqual(14, self.holding.term().token)

    def test_superseded_node_stops_until_its_next_term(self):
        self.lead(12)
        self.holding.lose(self.holding.term())
        self.session.now += 60.0
        self.session.lead(12)
        self.assertIsNone(self.holding.term())
        self.lead(15)
        self.holding.lose(TERM)
        self.assertEqual(15, self.holding.term().token)

    def test_draining_node_makes_no_call(self):
        self.lead(12)
        self.drain.begin()
        self.assertIsNone(self.holding.term())


class PacingTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.calls = []
        self.port = PacedDutyPort(self, 2.0, lambda: self.now)

    def report_usage(self, term, report):
        self.calls.append("usage")
        return Performed()

    def order_capacity(self, term, order):
        self.calls.append("capacity")
        return Performed()

    def test_calls_above_the_limit_are_postponed_and_usage_goes_first(self):
        order = CapacityOrder("s", "a", 3)
        for _ in range(3):
            result = self.port.order_capacity(TERM, order)
        self.assertEqual(Postponed(), result)
        self.assertEqual(Performed(), self.port.report_usage(TERM, REPORT))
        self.assertEqual(Postponed(), self.port.report_usage(TERM, REPORT))
        self.assertEqual(["capacity", "usage"], self.calls)
        for _ in range(100):
            self.now += 0.1
            self.port.order_capacity(TERM, order)
        self.assertLessEqual(len(self.calls), 22)


class Cloud(PlatformServer):
    """The platform's interface for duties, which answers with a given status."""

    def __init__(self):
        super().__init__()
        self.status = 200
        self.requests = []

    def handle(self, request: Request) -> Response:
        self.requests.append(request)
        return Response(self.status, b"")


class CallerTest(unittest.TestCase):
    def setUp(self):
        self.cloud = Cloud()
        self.addCleanup(self.cloud.close)
        self.caller = PlatformDutyCaller(self.cloud.address)

    def test_calls_have_the_platform_s_form(self):
        self.caller.report_usage(TERM, REPORT)
        self.caller.order_capacity(TERM, CapacityOrder("s", "a", 6))
        usage, capacity = self.cloud.requests
        self.assertEqual(("POST", "/usage"), (usage.method, usage.target))
        self.assertEqual(
            {"window": 353445120, "counts": {"w1": 2, "w2": 1}}, json.loads(usage.body)
        )
        self.assertEqual(("POST", "/scale"), (capacity.method, capacity.target))
        self.assertEqual(
            {"service": "s", "zone": "a", "desired": 6}, json.loads(capacity.body)
        )
        for request in self.cloud.requests:
            self.assertEqual("n1", request.headers["Lease-Holder"])
            self.assertEqual("12", request.headers["Fencing-Token"])

    def test_statuses_are_told_apart(self):
        cases = {
            200: Performed(),
            409: Superseded(),
            429: Postponed(),
            503: Postponed(),
            # Nothing says whether it took effect.
            500: NotAnswered(),
        }
        for status, result in cases.items():
            with self.subTest(status=status):
                self.cloud.status = status
                self.assertEqual(result, self.caller.report_usage(TERM, REPORT))

    def test_silent_platform_is_no_answer(self):
        self.cloud.close()
        self.assertEqual(NotAnswered(), self.caller.report_usage(TERM, REPORT))


class DutySettingsTest(unittest.TestCase):
    def read(self, bounds=BOUNDS, cloud=CLOUD):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            # The text ends with the table of bounds.
            file.write(settings_text("10.0.0.1:80", [1, 2, 3, 4]) + bounds + cloud)
            file.flush()
            return read_node_settings(file.name).duties

    def test_settings_name_the_duties(self):
        expected = DutySettings(
            "10.2.0.1:2", frozenset(Duty), 4.0, hold_s=3.0, window_s=5.0, due_s=10.0
        )
        self.assertEqual(expected, self.read())

    def test_without_an_address_or_a_window_there_is_no_such_duty(self):
        self.assertIsNone(self.read(cloud=""))
        self.assertEqual({Duty.CAPACITY}, self.read(bounds="").duties)

    def test_window_of_zero_is_refused_by_name(self):
        for value in ("0", "-5"):
            with self.assertRaisesRegex(InvalidSettings, "bounds.report_window_s"):
                self.read(bounds=f"report_window_s = {value}\n")


class ReportingNodeTest(NodeTestCase):
    def setUp(self):
        self.cloud = Cloud()
        self.addCleanup(self.cloud.close)
        bounds = "lease_ms = 300\nreport_window_s = 1\nusage_late_s = 5\n"
        cloud = CLOUD.replace("10.2.0.1:2", self.cloud.address)
        self.more_settings = bounds + cloud
        super().setUp()

    def reports(self):
        calls = [r for r in self.cloud.requests if r.target == "/usage"]
        return {body["window"]: body["counts"] for body in map(parse_body, calls)}

    def count(self):
        return sum(counts.get("pilots", 0) for counts in self.reports().values())

    def test_node_reports_its_requests_and_goes_on_after_a_restart(self):
        wait_until(self.reports, "first report")
        for _ in range(3):
            self.assertEqual(200, self.send("/pay/7").status)
        wait_until(lambda: self.count() == 3, "the window is reported")
        names = {request.headers["Lease-Holder"] for request in self.cloud.requests}
        self.assertEqual({self.node._settings.name}, names)
        self.assertGreater(self.node._gauges()["usage_windows_reported"], 0)
        before = self.reports()
        self.node.close()
        self.node = self.start_node()
        wait_until(lambda: len(self.reports()) > len(before) + 2, "more reports")
        reports = self.reports()
        self.assertEqual(before, {window: reports[window] for window in before})
        self.assertEqual(list(range(min(reports), max(reports) + 1)), sorted(reports))
        self.assertEqual(3, self.count())


def parse_body(request: Request) -> dict:
    return json.loads(request.body)


if __name__ == "__main__":
    unittest.main()

"""Orders: one at a time for each backend server, and no late opening of a group."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest

import eventlet

from poplarspar.coordination.pools import FencingTokens, HealthMonitor, OrderDispatcher
from poplarspar.coordination.pools.group_lifecycle import GroupLifecycle
from poplarspar.coordination.pools.groups import Worker, build_groups
from poplarspar.coordination.pools.health_monitor import Observation
from poplarspar.coordination.pools.term import FormingGroup, TermState
from poplarspar.state.backends import (
    BackendReport,
    BackendServer,
    EngineState,
    MemberPhase,
    Membership,
)
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Refused,
)
from standins.pool import small_engine

ENGINE = small_engine(slots=13)
KEY = ("m1-5", 5)


def observation(id, rank, phase=MemberPhase.READY):
    engine_state = EngineState("m1", (), "d0", Membership(*KEY, rank, phase), 1)
    backend = BackendServer(
        id, 1, "llm", "10.0.0.1:80", "a", False, 13, 0.0, engine_state
    )
    return Observation(backend, BackendReport(id, 1, engine_state, 0, 0, False, 1.0))


class RecordedOrders:
    """Records orders and sends none."""

    def __init__(self, joined=True):
        self.sent = []
        self.joined = joined
        self.tokens = FencingTokens()
        self.membership_orders = self
        self.last_order_by_id = {}

    def is_busy(self, id):
        return False

    def are_settled(self, id, group, epoch):
        return self.joined

    def may_end(self, id, group, epoch):
        return not self.joined

    def confirm(self, observation, join):
        self.sent.append((observation.backend.id, join))

    def last_order(self, id):
        return self.last_order_by_id.get(id)

    def dispatch(self, observation, order, duration_s=None):
        self.sent.append((observation.backend.id, order))
        return True


class LifecycleTestCase(unittest.TestCase):
    orders = None

    def recorded_orders(self, joined=True):
        """Return the record that all passes of the test share."""
        self.orders = RecordedOrders(joined)
        return self.orders

    def term(self):
        return TermState(started_at=0.0)

    def run_pass(self, term, silent=(), phase=MemberPhase.READY):
        members = [
            Worker(observation(id, rank, phase), id in silent, False, False, False)
            for rank, id in enumerate(("h", "m"))
        ]
        orders = self.orders or RecordedOrders()
        orders.sent = []
        lifecycle = GroupLifecycle(
            ENGINE,
            term,
            HealthMonitor(None, lambda: None),
            orders,
            members,
            build_groups(members),
        )
        lifecycle.run()
        return lifecycle, orders.sent


class ReopenedGroupMembersTest(LifecycleTestCase):
    def test_members_of_possibly_opening_group_are_not_released(self):
        # The group was closed after a member became silent; the member answers again.
        term = TermState(started_at=0.0, closed={KEY})
        _, sent = self.run_pass(term, silent=())
        self.assertEqual([("h", Open(*KEY))], sent)
        # The member becomes silent again while the order to open is in flight.
        lifecycle, sent = self.run_pass(term, silent=("m",))
        self.assertEqual([], lifecycle.released_members)
        self.assertEqual([("h", Leave(*KEY))], sent)


class ConvertedGroupMembersTest(LifecycleTestCase):
    def test_members_join_next_group_after_last_one_closed(self):
        join = Join("m0-9", 9, "m0", ("h", "m"))
        term = TermState(started_at=0.0, retired={KEY})
        term.forming[("m0-9", 9)] = FormingGroup(
            join, "d0", deadline=time.monotonic() + 5
        )
        lifecycle, sent = self.run_pass(term, phase=MemberPhase.OPEN)
        self.assertEqual([("h", Close(*KEY, False))], sent)
        # The next group already counts, so the planner retires no other group for it.
        self.assertEqual(1, lifecycle.count_by_model["m0"])
        term.closed.add(KEY)
        _, sent = self.run_pass(term)
        self.assertEqual([("h", join), ("m", join)], sent)


class Port:
    """Answers orders with fixed results, each after 50 ms."""

    def __init__(self, *results):
        self.results = list(results)
        self.tokens = []
        self.running = 0
        self.max_running = 0

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        self.tokens.append(fence)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        eventlet.sleep(0.05)
        self.running -= 1
        return self.results.pop(0)


class ConcurrentOrdersTest(unittest.TestCase):
    def setUp(self):
        self.tokens = FencingTokens()
        self.tokens.start_term(1)

    def dispatcher(self, *results):
        self.port = Port(*results)
        return OrderDispatcher(
            HealthMonitor(None, lambda: None), self.port, self.tokens
        )

    def test_repeated_order_does_not_overlap_next_order(self):
        started, done = Accepted(done=False), Accepted(done=True)
        dispatcher = self.dispatcher(started, done, done, done)
        head = observation("h", 0)
        dispatcher.dispatch(head, Close(*KEY, True), 0.0)
        with eventlet.Timeout(2.0, AssertionError("backend server stayed busy")):
            while len(self.port.tokens) < 2:
                eventlet.sleep(0.005)
            # The dispatcher is repeating the first order now.
            while len(self.port.tokens) < 3:
                dispatcher.dispatch(head, Open(*KEY), 0.0)
                eventlet.sleep(0.005)
        self.assertEqual(1, self.port.max_running)

    def test_refusal_due_to_own_newer_order_does_not_supersede(self):
        dispatcher = self.dispatcher(Refused(412, fenced=True))
        dispatcher._log_result(
            observation("h", 0).backend, Open(*KEY), Refused(412, True), 7
        )
        self.assertTrue(self.tokens.superseded)
        self.tokens.superseded = False
        dispatcher._last_token_by_id["h"] = 9
        dispatcher._log_result(
            observation("h", 0).backend, Open(*KEY), Refused(412, True), 7
        )
        self.assertFalse(self.tokens.superseded)


if __name__ == "__main__":
    unittest.main()

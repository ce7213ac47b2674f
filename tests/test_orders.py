"""Orders to backend servers: one at a time, and none that opens what was released."""

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


def heard(id, rank, phase=MemberPhase.READY):
    hosting = EngineState("m1", (), "d0", Membership(*KEY, rank, phase), 1)
    backend = BackendServer(id, 1, "llm", "10.0.0.1:80", "a", False, 13, 0.0, hosting)
    return Observation(backend, BackendReport(id, 1, hosting, 0, 0, False, 1.0))


class RecordedOrders:
    """Takes orders and carries none out."""

    def __init__(self):
        self.given = []

    def is_busy(self, id):
        return False

    def dispatch(self, heard, order, due_s=None):
        self.given.append((heard.backend.id, order))
        return True


class UpkeepTestCase(unittest.TestCase):
    def look(self, term, silent=(), phase=MemberPhase.READY):
        members = [
            Worker(heard(id, rank, phase), id in silent, False, False, False)
            for rank, id in enumerate(("h", "m"))
        ]
        orders = RecordedOrders()
        upkeep = GroupLifecycle(
            ENGINE,
            term,
            HealthMonitor(None, lambda: None),
            orders,
            members,
            build_groups(members),
        )
        upkeep.run()
        return upkeep, orders.given


class ReopenedGroupTest(UpkeepTestCase):
    def test_members_of_a_group_that_may_be_opening_are_not_free(self):
        # It was closed for a member that seemed lost, and is whole again.
        term = TermState(started_at=0.0, closed={KEY})
        _, given = self.look(term, silent=())
        self.assertEqual([("h", Open(*KEY))], given)
        # The order is on its way when the member seems lost once more.
        upkeep, given = self.look(term, silent=("m",))
        self.assertEqual([], upkeep.released_members)
        self.assertEqual([("h", Leave(*KEY))], given)


class KeptMembersTest(UpkeepTestCase):
    def test_members_join_the_next_group_once_the_last_one_is_closed(self):
        join = Join("m0-9", 9, "m0", ("h", "m"))
        term = TermState(started_at=0.0, retired={KEY})
        term.forming[("m0-9", 9)] = FormingGroup(
            join, "d0", deadline=time.monotonic() + 5
        )
        upkeep, given = self.look(term, phase=MemberPhase.OPEN)
        self.assertEqual([("h", Close(*KEY, False))], given)
        # The next group counts already, so that no other one is given up for it.
        self.assertEqual(1, upkeep.count_by_model["m0"])
        term.closed.add(KEY)
        _, given = self.look(term)
        self.assertEqual([("h", join), ("m", join)], given)


class Port:
    """Answers orders as the test says, each after a while."""

    def __init__(self, *results):
        self.results = list(results)
        self.fences = []
        self.running = 0
        self.most = 0

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        self.fences.append(fence)
        self.running += 1
        self.most = max(self.most, self.running)
        eventlet.sleep(0.05)
        self.running -= 1
        return self.results.pop(0)


class OneOrderAtATimeTest(unittest.TestCase):
    def setUp(self):
        self.fences = FencingTokens()
        self.fences.start_term(1)

    def giver(self, *results):
        self.port = Port(*results)
        return OrderDispatcher(
            HealthMonitor(None, lambda: None), self.port, self.fences
        )

    def test_repeated_order_does_not_meet_the_next_one(self):
        begun, done = Accepted(done=False), Accepted(done=True)
        giver = self.giver(begun, done, done, done)
        head = heard("h", 0)
        giver.dispatch(head, Close(*KEY, True), 0.0)
        with eventlet.Timeout(2.0, AssertionError("never free")):
            while len(self.port.fences) < 2:
                eventlet.sleep(0.005)
            # The first order is being repeated now.
            while len(self.port.fences) < 3:
                giver.dispatch(head, Open(*KEY), 0.0)
                eventlet.sleep(0.005)
        self.assertEqual(1, self.port.most)

    def test_own_newer_order_does_not_overtake(self):
        giver = self.giver(Refused(412, fenced=True))
        giver._log_result(heard("h", 0).backend, Open(*KEY), Refused(412, True), 7)
        self.assertTrue(self.fences.superseded)
        self.fences.superseded = False
        giver._last_token_by_id["h"] = 9
        giver._log_result(heard("h", 0).backend, Open(*KEY), Refused(412, True), 7)
        self.assertFalse(self.fences.superseded)


if __name__ == "__main__":
    unittest.main()

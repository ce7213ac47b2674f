"""Orders that arrive seconds late, after the planner has changed its mind."""

import standins.common  # noqa: F401  # isort: skip

import unittest
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.pools import FencingTokens, HealthMonitor, OrderDispatcher
from poplarspar.coordination.pools.dispatch import ORDER_TIMEOUT_S, REPEAT_INTERVAL_S
from poplarspar.exceptions import BackendFailed
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Refused,
    Unanswered,
)
from standins.pool import Pool
from tests.test_orders import KEY, LifecycleTestCase, observation
from tests.test_pools import PoolTestCase, TestNode, wait_until


@dataclass
class View:
    """What one planner reaches of a pool.

    Attributes
    ----------
    hidden : set of str
        Backend servers whose reports do not arrive.
    holds : callable
        Tells by backend server and order which orders to hold back.
    held : list of callable
        Each delivers an order that was held back.
    held_fence : int
        Token of the last one.
    """

    pool: Pool
    hidden: set = field(default_factory=set)
    holds: object = lambda worker, order: False
    held: list = field(default_factory=list)
    held_fence: int = 0

    def entries(self):
        return self.pool.entries()

    def read(self, backend, timeout_s):
        if backend.id in self.hidden:
            eventlet.sleep(timeout_s)
            raise BackendFailed("hidden", sent=True)
        return self.pool.read(backend, timeout_s)

    def disconnect(self, backend):
        self.pool.disconnect(backend)

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        worker = self.pool.by_id[backend.id]
        if backend.id in self.hidden:
            eventlet.sleep(timeout_s)
            return Unanswered()
        if self.holds(worker, order):
            self.held_fence = fence
            self.held.append(
                lambda: self.pool._execute(worker, order, fence, accepted_before)
            )
            eventlet.sleep(timeout_s)
            return Unanswered()
        return self.pool.send(
            backend,
            order,
            fence=fence,
            accepted_before=accepted_before,
            timeout_s=timeout_s,
        )

    def deliver(self):
        """Deliver the orders that were held back, and return their results."""
        results = [execute() for execute in self.held]
        self.held.clear()
        return results


def leaves_group(worker, order):
    """Return whether an order makes a member leave its group or join another one."""
    membership = worker.engine_state.membership
    if membership is None:
        return False
    match order:
        case Join(group, epoch):
            return (group, epoch) != membership.key
        case Leave():
            return membership.rank != 0
    return False


class LateLeaveTest(PoolTestCase):
    """A group of three with one spare; the planner loses sight of a member."""

    domains = {"d0": 6}

    def setUp(self):
        super().setUp()
        self.view = View(self.pool)
        self.node = TestNode(self.view, 1)
        self.nodes.append(self.node)
        self.wait_serving(2)
        wait_until(lambda: self.serving("m0"), "a group of m0 serves")
        self.key = self.serving("m0")[0]
        self.members = self.member(0, self.key).members

    def phase(self):
        head = self.pool.by_id[self.members[0]]
        membership = head.engine_state.membership
        return membership.phase if membership and membership.key == self.key else None

    def lose(self, id):
        """Hide a member until the planner has ordered the others elsewhere."""
        self.view.holds = leaves_group
        self.view.hidden.add(id)
        wait_until(lambda: self.view.held, "the other members are ordered to leave")

    def wait_open(self):
        wait_until(lambda: self.phase() is MemberPhase.OPEN, "the group is open again")

    # Guards against two groups with one member, one of them open: a join that was not
    # answered arrives after the group that it ends has been opened again.
    def test_late_join_does_not_break_up_a_group_that_opened_again(self):
        self.lose(self.members[1])
        self.view.hidden.clear()
        self.wait_open()
        results = self.view.deliver()
        self.assertEqual({Refused(412, fenced=True)}, set(results))
        self.assertEqual(MemberPhase.OPEN, self.phase())

    # Guards against the same by a planner that has been replaced and doesn't know.
    def test_orders_of_a_replaced_planner_do_not_break_up_a_group(self):
        self.lose(self.members[1])
        self.node.active = False
        second = TestNode(self.pool, 2)
        self.nodes.append(second)
        self.wait_open()
        self.assertNotIn(Accepted(done=False), self.view.deliver())
        self.assertEqual(MemberPhase.OPEN, self.phase())

    # Guards against a group that loses a member long after its head has answered again.
    def test_late_leave_does_not_break_up_a_group_that_opened_again(self):
        self.lose(self.members[0])
        self.view.hidden.clear()
        others = [self.pool.by_id[id] for id in self.members[1:]]
        wait_until(
            lambda: all(worker.fence > self.view.held_fence for worker in others),
            "the members have accepted newer orders",
        )
        self.assertEqual({Refused(412, fenced=True)}, set(self.view.deliver()))
        self.assertIn(self.key, self.pool.serving())


class LateCloseTest(LifecycleTestCase):
    # Guards against a healthy group that closes seconds after its member is back.
    def test_open_group_with_a_close_outstanding_is_opened_again(self):
        orders = self.recorded_orders()
        orders.last_order_by_id["h"] = Close(*KEY, True)
        _, sent = self.run_pass(self.term(), phase=MemberPhase.OPEN)
        self.assertEqual([("h", Open(*KEY))], sent)
        orders.last_order_by_id["h"] = Open(*KEY)
        _, sent = self.run_pass(self.term(), phase=MemberPhase.OPEN)
        self.assertEqual([], sent)


class ConfirmedMembersTest(LifecycleTestCase):
    join = Join(*KEY, "m1", ("h", "m"))

    def test_group_opens_once_its_members_have_confirmed(self):
        orders = self.recorded_orders(joined=False)
        _, sent = self.run_pass(self.term())
        self.assertEqual([("m", self.join)], sent)
        orders.joined = True
        _, sent = self.run_pass(self.term())
        self.assertEqual([("h", Open(*KEY))], sent)

    # Without tokens, a member accepts any order to join a later group.
    def test_group_of_unfenced_servers_ends_instead(self):
        orders = self.recorded_orders(joined=False)
        orders.tokens = FencingTokens(enforced=False)
        term = self.term()
        _, sent = self.run_pass(term)
        self.assertEqual([], sent)
        _, sent = self.run_pass(term)
        self.assertEqual([("h", Leave(*KEY))], sent)


class ConfirmationTest(unittest.TestCase):
    """When a backend server is known to refuse late orders to leave its group."""

    def setUp(self):
        self.tokens = FencingTokens()
        self.tokens.start_term(1)
        self.dispatcher = OrderDispatcher(
            HealthMonitor(None, lambda: None), self, self.tokens
        )
        self.join = Join(*KEY, "m1", ("h", "m"))

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        return self.result

    def order(self, order, result):
        self.result = result
        self.dispatcher._busy_until_by_id.clear()
        self.dispatcher.dispatch(observation("m", 1), order)
        eventlet.sleep(0.01)
        return self.is_settled()

    def is_settled(self, key=KEY):
        return self.dispatcher.membership_orders.are_settled("m", *key)

    def test_only_an_accepted_join_after_all_others_confirms(self):
        self.assertFalse(self.is_settled())
        self.assertTrue(self.order(self.join, Accepted(done=True)))
        other = Join("m0-9", 9, "m0", ("m",))
        for order in (other, Leave(*KEY)):
            for result in (Unanswered(), Refused(409, fenced=False)):
                self.assertFalse(self.order(order, result))
                self.assertFalse(self.order(self.join, Unanswered()))
                self.assertTrue(self.order(self.join, Accepted(done=True)))
        self.assertFalse(self.order(other, Accepted(done=False)))

    def test_confirmation_ends_with_the_term(self):
        self.assertTrue(self.order(self.join, Accepted(done=True)))
        self.tokens.start_term(2)
        self.assertFalse(self.is_settled())

    def test_member_of_a_new_group_has_accepted_its_join(self):
        first, second = (self.tokens.next() for _ in range(2))
        join = Join("m1-n", first, "m1", ("h", "m"))
        self.order(join, Unanswered())
        self.order(join, Unanswered())
        self.assertTrue(self.is_settled(("m1-n", first)))
        self.order(Join("m1-o", second, "m1", ("m",)), Unanswered())
        self.order(join, Unanswered())
        self.assertFalse(self.is_settled(("m1-n", first)))

    # Guards against a member that counts as confirmed by an answer from before the
    # order that may still make it leave, when connecting takes longer than a time-out.
    def test_slow_answer_does_not_confirm_beyond_an_order_in_between(self):
        answers = [Signal() for _ in range(3)]
        sent = []

        def send(backend, order, *, fence, accepted_before, timeout_s):
            sent.append((order, fence))
            return answers[len(sent) - 1].wait()

        self.send = send
        member, other = observation("m", 1), Join("m0-9", 9, "m0", ("m",))
        self.dispatcher.confirm(member, self.join)
        eventlet.sleep(ORDER_TIMEOUT_S + 2 * REPEAT_INTERVAL_S)
        self.dispatcher.dispatch(member, other)
        eventlet.sleep(ORDER_TIMEOUT_S + 2 * REPEAT_INTERVAL_S)
        self.dispatcher.confirm(member, self.join)
        eventlet.sleep(0.01)
        answers[0].send(Accepted(done=True))
        eventlet.sleep(0.01)
        accepted_fence = sent[0][1]
        late = [order for order, fence in sent if fence > accepted_fence]
        self.assertTrue(not late or not self.is_settled(), late)

    # Guards against a group whose members are released while its head opens: the head's
    # answer to the order to close came after the order to open it again.
    def test_no_order_to_open_while_one_to_close_is_not_answered(self):
        answer, sent = Signal(), []

        def send(backend, order, *, fence, accepted_before, timeout_s):
            sent.append(order)
            return answer.wait()

        self.send = send
        head = observation("h", 0)
        self.dispatcher.dispatch(head, Close(*KEY, True), 0.0)
        eventlet.sleep(ORDER_TIMEOUT_S + 2 * REPEAT_INTERVAL_S)
        self.assertFalse(self.dispatcher.dispatch(head, Open(*KEY)))
        answer.send(Unanswered())
        eventlet.sleep(0.01)
        self.assertEqual([Close(*KEY, True)], sent)

    # Guards against a planner that gives up since a backend server has joined a later
    # group than the one that it is to confirm.
    def test_refusal_of_an_earlier_epoch_does_not_supersede(self):
        self.order(self.join, Refused(412, fenced=True))
        self.assertFalse(self.tokens.superseded)
        epoch = self.tokens.next()
        self.order(Join("m1-n", epoch, "m1", ("m",)), Refused(412, fenced=True))
        self.assertTrue(self.tokens.superseded)


if __name__ == "__main__":
    unittest.main()

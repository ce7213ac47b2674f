"""Which waiting request gets room, and which is refused, without network or clock."""

import standins.common  # noqa: F401  # isort: skip

import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

from poplarspar.coordination.forwarding import RetryBudget, Targets
from poplarspar.coordination.forwarding.choice import AnyRoom, TimelyRoom
from poplarspar.coordination.forwarding.first_events import FirstEvents
from poplarspar.coordination.forwarding.queues import (
    ModelQueue,
    WaitingRequest,
    kinds_of,
)
from poplarspar.coordination.forwarding.retry_budget import KEPT_SHARE, kept_share
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.waiting import ByUrgency, Standing, Unordered
from poplarspar.state.serving import Fleet, KeyHolder, RouteKind, ServiceSpec
from tests.test_forwarding import ENGINE, backend, configuration, request, route

ENGINE_24 = replace(ENGINE, slots=24, mean_answer_tokens=150)
LLM = ServiceSpec("llm", 100, 0.0, ENGINE_24)
LEDGER = ServiceSpec("ledger", 100, 0.0, None)
TARGET = object()


class WaitingTestCase(unittest.TestCase):
    """A queue in front of `self.free` slots, at the time `self.now`."""

    def setUp(self):
        self.now = 1000.0
        self.free = 0
        patch = mock.patch("time.monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.queue = ModelQueue(
            lambda *parts: TARGET if self.free > 0 else None, FirstEvents()
        )

    def routed(self, priority=0, workspace="w", service=LLM, tokens=500, **changes):
        received = request(
            "/draft/1", model="m0", prompt_tokens=tokens, arrived_at=self.now
        )
        found = route("draft", RouteKind.STREAM, service.name, target_latency_s=0.25)
        values = {"deadline": self.now + 6.0, "prioritized": True, **changes}
        return RoutedRequest(received, found, service, workspace, priority, **values)

    def enter(self, *parts, standing=Standing.FIRST_ATTEMPT, wait_s=0.125, **changes):
        return self.queue.enter(self.routed(*parts, **changes), set(), wait_s, standing)

    def wait(self, *parts, **changes):
        """Let a request wait, without the task that would sleep."""
        waiter = self.enter(*parts, **changes)
        with mock.patch("eventlet.Timeout"), mock.patch.object(waiter, "signal"):
            self.queue.wait(waiter, 0.0)
        return waiter

    def called(self, waiters):
        return [waiter for waiter in waiters if waiter.called]

    def serve_next(self, waiters):
        """Free one slot, and return the request that takes it."""
        self.free = 1
        self.queue.offer_room()
        (waiter,) = self.called(waiters)
        self.assertIs(TARGET, self.queue.try_take(waiter))
        self.free = 0
        self.queue.leave(waiter)
        waiters.remove(waiter)
        return waiter


class OrderTest(WaitingTestCase):
    def test_burst_of_the_least_urgent_stands_behind_the_urgent(self):
        # Load: a burst of the least urgent kind on the model of the urgent one.
        waiters = [self.wait(2) for _ in range(2)]
        urgent = self.wait(0)
        waiters.append(urgent)
        self.assertIs(urgent, self.serve_next(waiters))

    def test_freed_slot_is_offered_to_one_request_and_not_overtaken(self):
        waiters = [self.wait(1), self.wait(1)]
        self.free = 1
        self.queue.offer_room()
        self.queue.offer_room()
        self.assertEqual(waiters[:1], self.called(waiters))
        self.assertIsNone(self.queue.try_take(self.enter(1)))
        self.assertIs(TARGET, self.queue.try_take(self.enter(0)))

    def test_offer_passes_on_from_a_request_whose_caller_has_left(self):
        waiters = [self.wait(1), self.wait(1)]
        self.free = 1
        self.queue.offer_room()
        self.queue.leave(waiters[0])
        self.assertTrue(waiters[1].called)

    def test_workspace_with_half_of_the_traffic_gets_its_share(self):
        # Load: one workspace with half of the traffic, in front of few slots.
        quick = {"tokens": 100, "wait_s": 1.0}
        large = [self.wait(1, "large", **quick)]
        small = [self.wait(1, f"small{number}", **quick) for number in range(2)]
        for _ in range(5):
            self.queue.shares.record_started(kinds_of(self.routed(1, "large")), 1000)
        waiters = large + small
        served = [self.serve_next(waiters).routed.workspace for _ in range(3)]
        self.assertEqual(["small0", "small1", "large"], served)

    def test_start_that_is_of_use_for_the_shortest_time_goes_first(self):
        short, long = self.wait(1, tokens=200), self.wait(1, tokens=8000)
        self.assertIs(long, self.serve_next([short, long]))

    def test_plain_service_of_four_offers_the_fast_server_s_slot_in_order(self):
        # Load: a plain service of four servers, one slow, all full.
        fleet = Fleet(configuration(route("pay", RouteKind.IDEMPOTENT, "ledger")))
        for id in ("s1", "s2", "s3", "slow"):
            fleet.backends_by_id[id] = backend(id, slots=1)
        targets = Targets("a", lambda service, id: 0)
        targets.update(fleet, {})
        plain = {"service": LEDGER}
        for target in targets.by_key.values():
            targets.record_sent(target, 0)
            targets.record_sent(target, 0)
        self.queue = targets.waiting.queue_of(self.routed(**plain))
        waiters = [self.wait(**plain) for _ in range(3)]
        fast = next(t for t in targets.by_key.values() if t.backend.id == "s1")
        targets.record_end(fast)
        self.assertEqual(waiters[:1], self.called(waiters))
        self.assertIsNone(self.queue.try_take(self.enter(**plain)))
        self.assertIs(fast, self.queue.try_take(waiters[0]))


class RefusalTest(WaitingTestCase):
    def test_returning_callers_are_spread_over_the_time_in_which_room_comes(self):
        # Load: returning callers all at once. Room comes for ten a second.
        waiters = [self.wait(1) for _ in range(40)]
        waiting = [waiter for waiter in waiters if not waiter.displaced]
        self.assertEqual(waiters[:2], waiting)
        delays = [self.queue.retry_after_s(waiter) for waiter in waiters[2:]]
        self.assertTrue(all(0.1 < delay <= 2.0 for delay in delays))
        within_s = Counter(int(delay * 2.0) for delay in delays)
        self.assertLessEqual(max(within_s.values()), 20)

    def test_time_to_come_back_follows_the_rate_of_room(self):
        waiter = self.wait(1)
        first_s = 1.0 / self.queue.room_per_s(self.now)
        self.now += 1.0
        self.assertGreater(1.0 / self.queue.room_per_s(self.now), first_s + 0.7)
        self.queue.leave(waiter)

    def test_urgent_arrival_displaces_what_would_start_too_late(self):
        least = [self.wait(2), self.wait(2)]
        resumed = self.wait(2, standing=Standing.DELIVERED_IN_PART)
        self.assertTrue(least[1].displaced)
        self.wait(0)
        self.assertTrue(least[0].displaced)
        self.assertFalse(resumed.displaced)

    def test_without_priorities_none_is_displaced(self):
        waiters = [self.wait(2, prioritized=False) for _ in range(40)]
        self.assertFalse(any(waiter.displaced for waiter in waiters))


class AgeingTest(WaitingTestCase):
    def ask(self, count, *parts, started=False, **changes):
        kinds = kinds_of(self.routed(*parts, **changes))
        for _ in range(count):
            self.queue.shares.record_asked(kinds, self.now)
            if started:
                self.queue.shares.record_started(kinds, self.now)

    def claim(self, *parts, **changes):
        waiter = self.enter(*parts, **changes)
        return waiter.claim.rank, waiter.room.kept_share

    def test_starved_priority_goes_with_the_most_urgent_until_it_is_served(self):
        # Load: the most urgent take all room, and the least urgent are refused.
        self.ask(20, 0, started=True, workspace="a", tokens=100)
        self.ask(8, 2, workspace="b", tokens=2000)
        self.assertEqual((0, 0.0), self.claim(2, "c", tokens=9000))
        self.ask(8, 2, started=True, workspace="b", tokens=2000)
        rank, kept = self.claim(2, "c", tokens=9000)
        self.assertEqual(2, rank)
        self.assertGreater(kept, 0.0)

    # Guards against a kind that counts as served though its targets declined it.
    def test_request_that_its_target_declined_counts_as_not_started(self):
        kinds = kinds_of(self.routed(2))
        shares = self.queue.shares
        for _ in range(8):
            shares.record_asked(kinds_of(self.routed(0)), self.now)
            shares.record_started(kinds_of(self.routed(0)), self.now)
            shares.record_asked(kinds, self.now)
            shares.record_started(kinds, self.now)
        self.assertFalse(shares.is_starved(kinds, self.now))
        for _ in range(8):
            self.queue.record_declined(self.routed(2))
        self.assertTrue(shares.is_starved(kinds, self.now))

    def test_starved_workspace_and_size_go_first_too(self):
        self.ask(20, 1, "a", started=True, tokens=100)
        self.ask(5, 1, "b", tokens=3000)
        self.assertEqual(0, self.claim(1, "b", tokens=100)[0])
        self.assertEqual(0, self.claim(1, "a", tokens=3000)[0])
        self.assertEqual(1, self.claim(1, "a", tokens=100)[0])


class RoomTest(WaitingTestCase):
    """One group of 24 slots, among many nodes."""

    def setUp(self):
        super().setUp()
        fleet = Fleet(configuration())
        fleet.backends_by_id["h1"] = backend("h1", "llm")
        fleet.configuration.services_by_name["llm"] = LLM
        self.targets = Targets("a", lambda service, id: 0, lambda: 40)
        self.targets.update(fleet, {"h1": (("g1", 1), "m0")})
        (self.target,) = self.targets.by_key.values()

    def send_all(self, count, room, tokens, keep_reading=False):
        sent = 0
        for _ in range(count):
            routed = self.routed(tokens=tokens)
            if self.targets.choose(routed, set(), room) is not None:
                self.targets.record_sent(self.target, tokens)
                if not keep_reading:
                    self.targets.record_prefill_end(self.target, tokens)
                sent += 1
        return sent

    def first_event_s(self, tokens):
        routed = self.routed(tokens=tokens)
        return self.targets.first_events.expected_s(routed, self.target, self.now)

    def test_burst_of_the_most_urgent_is_admitted_as_far_as_it_is_in_time(self):
        # Load: a burst of the most urgent kind beyond what can be in time.
        sent = self.send_all(60, TimelyRoom(0.0), 674, keep_reading=True)
        self.assertGreater(self.first_event_s(674), 0.25 - 0.03)
        self.targets.record_prefill_end(self.target, 674)
        self.target.in_flight -= 1
        self.assertLessEqual(self.first_event_s(674), 0.25)
        self.assertGreater(sent, 4)

    def test_room_counts_what_engines_add_to_their_figures(self):
        self.target.in_flight = 12
        self.target.prefill_tokens = 5000
        self.assertEqual(1, self.send_all(1, TimelyRoom(0.0), 674))
        for _ in range(40):
            routed = self.routed(tokens=674)
            record = self.targets.first_events.measure(routed, self.target, self.now)
            record(self.now + 0.4)
        self.assertAlmostEqual(0.4, self.first_event_s(674), delta=0.1)
        self.assertEqual(0, self.send_all(1, TimelyRoom(0.0), 674))

    def test_slots_beyond_the_group_s_count_only_if_they_free_up_in_time(self):
        slow = replace(self.target, slowdown=4.0)
        self.targets.by_key.update(dict.fromkeys(self.targets.by_key, slow))
        self.assertEqual(30, self.send_all(60, AnyRoom(), 100))
        self.target.in_flight = 0
        self.target.slowdown = 2.0
        self.assertLess(self.send_all(60, TimelyRoom(0.0), 100), 28)
        self.assertGreaterEqual(self.target.in_flight, 24)

    def test_less_urgent_requests_leave_slots_to_the_urgent_of_other_nodes(self):
        self.assertEqual(21, self.send_all(60, TimelyRoom(0.125), 100))
        self.assertGreater(self.send_all(60, TimelyRoom(0.0), 100), 0)

    def test_request_too_large_to_be_in_time_takes_an_idle_group(self):
        self.assertEqual(1, self.send_all(1, TimelyRoom(0.0), 60_000))


class ResendTest(WaitingTestCase):
    def test_resends_stand_by_what_was_delivered(self):
        # Load: servers are lost, and their streams resume in front of full groups.
        order = (Standing.RESEND, Standing.FIRST_ATTEMPT, Standing.DELIVERED_IN_PART)
        quick = {"tokens": 100, "wait_s": 1.0}
        waiters = [self.wait(0, standing=standing, **quick) for standing in order]
        served = [self.serve_next(waiters).claim.standing for _ in range(3)]
        self.assertEqual(sorted(order), served)
        waiters = [self.wait(0), self.wait(1, standing=Standing.DELIVERED_IN_PART)]
        self.assertEqual(0, self.serve_next(waiters).routed.priority)

    def test_last_part_of_the_budget_is_kept_for_the_urgent_and_the_delivered(self):
        budget = RetryBudget(0.0, 100, 10.0)
        kept = kept_share(self.routed(1), Standing.RESEND)
        self.assertEqual(KEPT_SHARE, kept)
        used = Counter(budget.try_consume("llm", kept) for _ in range(100))
        self.assertEqual(60, used[True])
        for priority, standing in (
            (0, Standing.RESEND),
            (1, Standing.DELIVERED_IN_PART),
        ):
            kept = kept_share(self.routed(priority), standing)
            self.assertTrue(budget.try_consume("llm", kept))
        plain = kept_share(self.routed(1, prioritized=False), Standing.RESEND)
        self.assertEqual(0.0, plain)


class SwitchTest(WaitingTestCase):
    def test_services_with_one_priority_have_no_order(self):
        waiter = self.enter(2, prioritized=False)
        self.assertEqual((Unordered(), AnyRoom()), (waiter.claim, waiter.room))
        self.assertIsInstance(self.enter(2).claim, ByUrgency)
        waiters = [self.wait(2, prioritized=False) for _ in range(3)]
        with mock.patch.object(WaitingRequest, "wake") as wake:
            self.queue.offer_room()
        self.assertEqual(len(waiters), wake.call_count)
        self.free = 1
        self.assertIs(TARGET, self.queue.try_take(waiter))

    def test_routes_or_workspaces_give_a_service_several_priorities(self):
        one = route("draft", RouteKind.STREAM, "llm", priority=0)
        other = route("sum", RouteKind.STREAM, "llm", priority=2)
        pay = route("pay", RouteKind.IDEMPOTENT, "ledger")
        self.assertEqual(frozenset(), configuration(one, pay).prioritized_services)
        self.assertEqual({"llm"}, configuration(one, other, pay).prioritized_services)
        holders = {"k1": KeyHolder("w", 1)}
        found = replace(configuration(one, pay), holder_by_key=holders)
        self.assertEqual({"llm"}, found.prioritized_services)


if __name__ == "__main__":
    unittest.main()

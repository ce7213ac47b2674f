"""Orders of backend servers: the decision, and what becomes of orders."""

import math
import unittest
from collections import Counter

from poplarspar.coordination.duties import CapacityDuty
from poplarspar.coordination.duties.capacity_orders import STEP_PAUSE_S
from poplarspar.coordination.duties.forecast import (
    SETTLING_S,
    DemandForecast,
    LossForecast,
)
from poplarspar.coordination.duties.scaling import (
    RECOVERY_S,
    SERVED_SHARE,
    GroupDemand,
    SlotDemand,
    Unmeasured,
    ZoneSupply,
    assess_need,
    bearable_need,
    higher_counts,
    largest_step,
    surplus_of,
    useful_additions,
)
from poplarspar.state.backends import BackendServer, EngineState
from poplarspar.state.duties import (
    CapacityOrder,
    DutyTerm,
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
)
from poplarspar.state.plan import FleetPlan, ModelDemand, PlannedGroup
from poplarspar.state.serving import (
    CallerLimits,
    CapacityRange,
    Engine,
    EngineModel,
    Fleet,
    ServiceSpec,
    ServingConfiguration,
)

BOOT_S = 8.0
LEAD_S = 24.0
ENGINE = Engine(
    slots=8,
    models_by_name={
        "large": EngineModel("large", 4, 1.0, 0.5, 16.0, 1.6),
        "small": EngineModel("small", 2, 0.6, 0.5, 12.0, 1.1),
    },
    step_s=0.006,
    step_per_request_s=0.0005,
    tokens_read_per_s=46000.0,
    tokens_per_event=5,
    loads_per_s=14.0,
    concurrent_loads=4,
    open_s=0.3,
)
RANGE = CapacityRange(6, 12, BOOT_S)
WIDE = CapacityRange(1, 100, BOOT_S)


def demand(large=0.5, small=2.0):
    return GroupDemand({"large": large, "small": small}, ENGINE)


def supplies(present=12, zones="abc", **groups):
    counts = Counter(groups or {"large": 1, "small": 4})
    return {zone: ZoneSupply(present, groups_by_model=counts) for zone in zones}


class NeedTest(unittest.TestCase):
    def counts(self, needed, supply, capacity=RANGE, lost=0, evacuated=()):
        need = assess_need(needed, lost, supply, frozenset(evacuated))
        present = {zone: 0 for zone in need.zones}
        return higher_counts(need, capacity, present)

    def test_nothing_is_ordered_before_demand_is_measured(self):
        self.assertIsNone(assess_need(Unmeasured(), 0, supplies()))

    def test_demand_is_met_after_the_loss_of_a_zone(self):
        for large, small in [(0.1, 0.1), (2.0, 5.0), (5.0, 20.0)]:
            counts = self.counts(demand(large, small), supplies(), WIDE)
            left = sum(counts.values()) - max(counts.values())
            with self.subTest(large=large, small=small):
                self.assertGreaterEqual(left, 4 * large + 2 * small)

    def test_zones_that_are_left_carry_the_demand_of_a_lost_one(self):
        lost = supplies() | {"c": ZoneSupply(0, away=True)}
        counts = self.counts(demand(2.0, 5.0), lost, WIDE)
        self.assertEqual({"a", "b"}, counts.keys())
        self.assertGreaterEqual(sum(counts.values()), 1.5 * (4 * 2 + 2 * 5))

    def test_evacuated_zone_gets_no_order(self):
        counts = self.counts(demand(), supplies(), evacuated=["a"])
        self.assertEqual({"b", "c"}, counts.keys())

    def test_lost_pairs_raise_the_number(self):
        few, many = (
            sum(self.counts(demand(), supplies(), WIDE, lost).values())
            for lost in (2, 16)
        )
        self.assertEqual(few + 12, many)

    def test_losses_that_go_on_keep_more_groups(self):
        need = assess_need(demand(), 4, supplies())
        losing = bearable_need(need, ENGINE, 0.5, LEAD_S)
        late_share = 0.5 * RECOVERY_S / sum(losing.groups_by_model.values())
        self.assertGreater(losing.total, need.total)
        self.assertLessEqual(late_share, 1.0 - SERVED_SHARE + 1e-9)
        self.assertEqual(need, bearable_need(need, ENGINE, 0.0, LEAD_S))

    def test_losses_that_loads_cannot_make_up_for_keep_more(self):
        need = assess_need(demand(), 4, supplies())
        losing = bearable_need(need, ENGINE, 0.5, LEAD_S)
        self.assertEqual(need.losses + 6, losing.losses)

    def test_range_holds_for_each_zone(self):
        self.assertEqual({6}, set(self.counts(demand(0.1, 0.1), supplies()).values()))
        self.assertEqual({12}, set(self.counts(demand(9, 40), supplies()).values()))
        fixed = CapacityRange(7, 7, BOOT_S)
        for needed in (demand(0.1, 0.1), demand(9, 40)):
            counts = self.counts(needed, supplies(), fixed)
            self.assertEqual({7}, set(counts.values()))
            need = assess_need(needed, 0, supplies())
            self.assertEqual({}, higher_counts(need, fixed, counts))
            self.assertEqual(0, surplus_of("a", [need], fixed, counts))

    def test_surplus_leaves_what_each_recent_need_asks_for(self):
        needs = [assess_need(demand(0.5, small), 0, supplies()) for small in (1.0, 4.0)]
        counts = dict.fromkeys("abc", 12)
        surplus = surplus_of("a", needs, WIDE, counts)
        self.assertLess(0, surplus)
        self.assertEqual(surplus, surplus_of("a", needs[1:], WIDE, counts))

    def test_no_more_are_ordered_than_can_load_their_model(self):
        need = assess_need(demand(5.0, 20.0), 16, supplies())
        present = dict.fromkeys("abc", 6)
        more = useful_additions(ENGINE, BOOT_S, unready=4)
        counts = higher_counts(need, RANGE, present, more)
        self.assertEqual(2, sum(counts.values()) - 6 * len(counts))
        self.assertEqual(0, useful_additions(ENGINE, BOOT_S, unready=6))

    def test_plain_service_has_slots_for_its_requests(self):
        counts = self.counts(SlotDemand(60, 6), supplies(), WIDE)
        left = sum(counts.values()) - max(counts.values())
        self.assertGreaterEqual(left * 6, 60)


class StepTest(unittest.TestCase):
    def step(self, supply, needed, zone="a"):
        return largest_step(zone, supply, needed, ENGINE)

    def test_step_is_never_larger_than_the_spares(self):
        for small in range(6):
            for needed in range(18):
                supply = supplies(12, large=0, small=small)
                step = self.step(supply, {"large": 0, "small": needed})
                kept = max(0, needed - 2 * small)
                with self.subTest(small=small, needed=needed):
                    self.assertLessEqual(step, 12 - 2 * min(small, kept))

    def test_each_one_taken_may_break_another_group(self):
        supply = supplies(8, large=0, small=4)
        self.assertEqual(2, self.step(supply, {"large": 0, "small": 10}))

    def test_half_of_the_free_ones_may_replace_members(self):
        supply = supplies(12, large=0, small=4)
        self.assertEqual(4, self.step(supply, {"large": 0, "small": 10}))

    def test_zone_with_the_only_group_of_a_model_keeps_it(self):
        supply = supplies() | {
            "b": ZoneSupply(12, groups_by_model=Counter(small=4)),
            "c": ZoneSupply(12, groups_by_model=Counter(small=4)),
        }
        self.assertEqual(0, self.step(supply, {"large": 1, "small": 4}, "a"))
        self.assertLess(0, self.step(supply, {"large": 1, "small": 4}, "b"))


class ForecastTest(unittest.TestCase):
    def peaks(self, demand_at, until):
        forecast = DemandForecast(LEAD_S)
        expected = []
        for tick in range(int(until * 2)):
            forecast.record(tick / 2, {"m": demand_at(tick / 2)})
            expected.append(forecast.expected(tick / 2).get("m", 0.0))
        return expected

    def test_wave_shorter_than_the_lead_time_changes_nothing(self):
        wave = self.peaks(lambda t: 2.0 + 0.5 * math.sin(t * 2 * math.pi / 11), 90)
        settled = wave[2 * 24 :]
        self.assertLess(max(settled) - min(settled), 0.05)

    def test_demand_is_unknown_until_nodes_have_measured_it(self):
        forecast = DemandForecast(LEAD_S)
        forecast.record(0.0, {"m": 40.0})
        self.assertEqual({}, forecast.expected(0.0))
        forecast.record(SETTLING_S, {"m": 4.0})
        self.assertEqual({"m": 4.0}, forecast.expected(SETTLING_S))

    def test_growth_goes_on_until_new_servers_serve(self):
        growth = self.peaks(lambda t: 1.0 + 0.1 * t, 60)
        at = 2 * 40
        self.assertGreaterEqual(growth[at], 1.0 + 0.1 * (40 + LEAD_S) - 0.2)

    def test_losses_go_on_at_their_rate_for_the_lead_time(self):
        losses = LossForecast(LEAD_S, BOOT_S)
        losses.record(0.0, 0)
        losses.record(2.0, 2)
        self.assertEqual(6, losses.expected(4.0))
        self.assertEqual(2, losses.expected(24.0))
        losses.record(25.0, 4)
        self.assertEqual(12, losses.expected(26.0))
        self.assertEqual(4, losses.expected(40.0))


class Platform:
    """Keeps as many backend servers as ordered; orders may be lost or come late."""

    def __init__(self, per_zone=12, boot_s=BOOT_S):
        self.now = 0.0
        self.boot_s = boot_s
        self.ids = {zone: [f"{zone}{i}" for i in range(per_zone)] for zone in "abc"}
        self.booting = []
        self.late = []
        self.orders = []
        self.result = Performed()
        self.next = 100
        self.small = 2.0
        self.silent = set()
        self.leaving = []

    def order_capacity(self, term, order):
        self.orders.append((self.now, term.token, order))
        match self.result:
            case Performed():
                self.carry_out(order)
            case NotAnswered():
                self.late.append((self.now + 6.0, order))
        return self.result

    def carry_out(self, order):
        ids = self.ids[order.zone]
        coming = sum(zone == order.zone for _, zone in self.booting)
        for _ in range(order.count - len(ids) - coming):
            self.booting.append((self.now + self.boot_s, order.zone))
        self.leaving += [(self.now + 3.0, id, order.zone) for id in ids[order.count :]]
        del ids[order.count :]

    def advance(self, seconds):
        self.now += seconds
        for at, order in [entry for entry in self.late if entry[0] <= self.now]:
            self.late.remove((at, order))
            self.carry_out(order)
        for at, zone in [entry for entry in self.booting if entry[0] <= self.now]:
            self.booting.remove((at, zone))
            self.next += 1
            self.ids[zone].append(f"{zone}{self.next}")

    def fleet(self):
        service = ServiceSpec("s", 0, 0, ENGINE, RANGE)
        limits = CallerLimits(1, 1, 1, 1)
        configuration = ServingConfiguration(
            1, {}, {"s": service}, {}, keys_required=False, limits=limits
        )
        state = EngineState("small", (), "d", None, 0)
        listed = [(id, zone, False) for zone, ids in self.ids.items() for id in ids]
        listed += [(id, zone, True) for at, id, zone in self.leaving if at > self.now]
        backends = {
            id: BackendServer(id, 0, "s", "", zone, draining, 8, 0.0, state)
            for id, zone, draining in listed
        }
        return Fleet(configuration, backends_by_id=backends)

    def plan(self):
        groups = tuple(
            PlannedGroup(ids[0], f"{zone}-{i}", i, "large" if not i else "small")
            for zone, ids in self.ids.items()
            if ids
            for i in range(max(0, (len(ids) - 2) // 2))
        )
        demands = ModelDemand("s", "large", 0.5), ModelDemand("s", "small", self.small)
        return FleetPlan(1, groups=groups, demands=demands)

    def counts(self):
        return [len(ids) for ids in self.ids.values()]


class Holder:
    """A node that may or may not hold the duties."""

    def __init__(self, platform, token):
        self.token = token
        self.holds = True
        self.duty = CapacityDuty(
            self,
            platform,
            platform.fleet,
            platform.plan,
            lambda: platform.silent,
            lambda: platform.now,
        )

    def term(self):
        return DutyTerm(f"n{self.token}", self.token) if self.holds else None

    def lose(self, term):
        self.holds = False


class OrdersTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.holder = Holder(self.platform, 1)

    def play(self, seconds, *holders):
        for _ in range(int(seconds * 2)):
            self.platform.advance(0.5)
            for holder in holders or (self.holder,):
                holder.duty.check(self.platform.now)

    def test_surplus_goes_in_steps_one_zone_at_a_time(self):
        self.play(BOOT_S - 1.0)
        self.assertEqual([], self.platform.orders)
        self.play(40.0)
        counts = self.platform.counts()
        self.assertLess(sum(counts), 30)
        times = [at for at, _, _ in self.platform.orders]
        for earlier, later in zip(times, times[1:], strict=False):
            self.assertGreaterEqual(later - earlier, STEP_PAUSE_S)
        self.play(40.0)
        self.assertEqual(counts, self.platform.counts())

    def test_wave_of_demand_orders_nothing_more(self):
        self.play(60.0)
        orders = len(self.platform.orders)
        for tick in range(200):
            wave = math.sin(tick / 2 * 2 * math.pi / 11)
            self.platform.small = 1.7 + 0.3 * wave
            self.play(0.5)
        self.assertEqual(orders, len(self.platform.orders))

    def test_losses_are_ordered_again(self):
        self.play(60.0)
        self.assertEqual(6, len(self.platform.ids["a"]))
        del self.platform.ids["a"][-4:]
        self.play(BOOT_S + 2.0)
        self.assertGreaterEqual(len(self.platform.ids["a"]), 6)

    def test_nothing_is_taken_away_while_losses_go_on(self):
        self.play(2.0)
        for zone in "abcabc":
            self.platform.silent |= set(self.platform.ids[zone][-2:])
            self.play(3.0)
            del self.platform.ids[zone][-2:]
        taken = [order for _, _, order in self.platform.orders if order.count < 8]
        self.assertEqual([], taken)

    def test_servers_that_leave_unannounced_are_no_losses(self):
        self.play(60.0)
        orders = len(self.platform.orders)
        self.platform.ids["c"][-1] = "c-new"
        self.play(4.0)
        self.assertEqual(orders, len(self.platform.orders))

    def test_demand_that_jumps_is_ordered_at_once(self):
        self.play(60.0)
        self.platform.small = 6.0
        self.play(1.0)
        raised = {order.zone for at, _, order in self.platform.orders if at > 60.0}
        self.assertEqual({"a", "b", "c"}, raised)

    def test_late_order_that_lands_after_a_newer_one_is_corrected(self):
        self.play(60.0)
        counts = self.platform.counts()
        self.platform.late.append((62.0, CapacityOrder("s", "b", 2)))
        self.play(20.0)
        self.assertEqual(counts, self.platform.counts())

    def test_order_without_an_answer_is_repeated_until_the_list_shows_it(self):
        self.play(60.0)
        self.platform.result = NotAnswered()
        self.platform.small = 6.0
        self.play(3.0)
        self.platform.late.clear()
        self.platform.result = Performed()
        # Several orders, since more than can load their model at once are of no use.
        self.play(6 * BOOT_S)
        gauges = self.holder.duty.gauges()
        self.assertGreaterEqual(
            sum(self.platform.counts()), gauges["capacity_servers_needed"]
        )
        self.assertGreater(gauges["capacity_servers_needed"], 22)
        self.assertEqual(0, gauges["capacity_orders_unconfirmed"])

    def test_postponed_orders_come_less_and_less_often(self):
        self.platform.result = Postponed()
        self.play(60.0)
        times = [at for at, _, order in self.platform.orders if order.zone == "a"]
        gaps = [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]
        self.assertLess(len(times), 12)
        self.assertGreaterEqual(gaps[-1], 8.0)

    def test_superseded_holder_orders_nothing_more_in_its_term(self):
        self.platform.result = Superseded()
        self.play(60.0)
        self.assertEqual(1, len(self.platform.orders))

    def test_only_the_holder_orders(self):
        second = Holder(self.platform, 2)
        second.holds = False
        self.play(30.0, self.holder, second)
        self.holder.holds, second.holds = False, True
        self.play(30.0, self.holder, second)
        tokens = [token for _, token, _ in self.platform.orders]
        self.assertEqual(sorted(tokens), tokens)

    def test_new_holder_starts_from_the_list(self):
        self.play(60.0)
        counts, orders = self.platform.counts(), len(self.platform.orders)
        self.holder.holds = False
        self.play(60.0, Holder(self.platform, 2))
        self.assertEqual(counts, self.platform.counts())
        self.assertEqual(orders, len(self.platform.orders))


if __name__ == "__main__":
    unittest.main()

"""Tests of the replica group planner against virtual backend servers."""

import standins.common  # noqa: F401  # isort: skip

import unittest
from collections import Counter
from dataclasses import replace

import eventlet

from poplarspar.coordination.pools import (
    FencingTokens,
    HealthMonitor,
    OrderDispatcher,
    PlanExchange,
    PoolPlanner,
)
from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.group_selection import (
    MAX_COMPOSITIONS,
    FleetSize,
    GroupSelector,
)
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.coordination.pools.health_monitor import Observation
from poplarspar.coordination.pools.load_budget import LoadBudget
from poplarspar.coordination.pools.staging_selection import StagingSelector
from poplarspar.state.backends import (
    BackendReport,
    BackendServer,
    EngineState,
    MemberPhase,
)
from poplarspar.state.plan import ModelDemand, NodeLoad
from poplarspar.state.serving import (
    CallerLimits,
    EngineModel,
    Fleet,
    ServiceSpec,
    ServingConfiguration,
)
from standins.pool import Pool, small_engine

ENGINE = small_engine(slots=13)
WAIT_S = 15.0


def wait_until(condition, what):
    with eventlet.Timeout(WAIT_S, AssertionError(f"timed out waiting until {what}")):
        while not condition():
            eventlet.sleep(0.02)


class TestNode:
    """The planner of one node, which a test starts and stops."""

    __test__ = False

    def __init__(self, pool, term, engine=ENGINE):
        self.pool = pool
        self.engine = engine
        self.active = True
        self.tokens = FencingTokens()
        self.tokens.start_term(term)
        health_monitor = HealthMonitor(pool, lambda: self.planner.wake())
        self.plan_exchange = PlanExchange(lambda head: self.planner.suspect(head))
        self.planner = PoolPlanner(
            health_monitor,
            OrderDispatcher(health_monitor, pool, self.tokens),
            self.plan_exchange,
            self.fleet,
            lambda: (),
        )
        self.task = eventlet.spawn(self.planner.plan_while, self.may_plan)

    def may_plan(self):
        return self.active and not self.tokens.superseded

    def fleet(self):
        spec = ServiceSpec("llm", 100, 36.0, self.engine)
        limits = CallerLimits(1, 1, 1, 1)
        fleet = Fleet(ServingConfiguration(1, {}, {"llm": spec}, {}, True, limits))
        fleet.backends_by_id = self.pool.entries()
        return fleet

    def stop(self):
        """Stop at once, like a killed process."""
        self.task.kill()
        self.planner.stop()


class PoolTestCase(unittest.TestCase):
    engine = ENGINE
    domains = {"d0": 5, "d1": 6}
    late_share = 0.0

    def setUp(self):
        self.pool = Pool(self.engine, self.late_share, seed=1)
        for domain, count in self.domains.items():
            for index in range(count):
                self.pool.add(f"{domain}-{index}", domain)
        self.nodes = []
        self.addCleanup(self.stop_all)

    def stop_all(self):
        for node in self.nodes:
            node.stop()
        self.assertEqual([], self.pool.breaches)

    def start(self, term=1):
        node = TestNode(self.pool, term, self.engine)
        self.nodes.append(node)
        return node

    def wait_serving(self, count):
        wait_until(lambda: len(self.pool.serving()) >= count, f"{count} groups serve")

    def serving(self, model):
        """Return the serving groups of a model."""
        return [key for key in self.pool.serving() if key[0].startswith(model)]

    def member(self, rank, of=None):
        """Return the backend server with this rank in a serving group."""
        key = of or self.pool.serving()[0]
        for worker in self.pool.by_id.values():
            membership = worker.engine_state.membership
            if (
                membership is not None
                and membership.key == key
                and membership.rank == rank
            ):
                return worker
        return None


class GroupFormationTest(PoolTestCase):
    def test_group_members_share_one_domain(self):
        self.start()
        self.wait_serving(4)
        for key in self.pool.serving():
            domains = {self.pool.by_id[i].domain for i in self.member(0, key).members}
            self.assertEqual(1, len(domains))

    def test_plan_lists_serving_groups(self):
        node = self.start()
        self.wait_serving(4)
        wait_until(
            lambda: len(node.plan_exchange.exchange("n", NodeLoad(0)).groups) >= 4,
            "the plan names 4 groups",
        )

    def test_hosts_of_members_stage_the_other_model(self):
        self.start()
        self.wait_serving(4)
        wait_until(
            lambda: all(
                {w.engine_state.model, *w.engine_state.staged_models} >= {"m0", "m1"}
                for w in self.pool.by_id.values()
                if w.engine_state.membership
            ),
            "each member has both models",
        )


class MemberLossTest(PoolTestCase):
    def test_lost_member_leaves_serving_groups(self):
        self.start()
        self.wait_serving(4)
        lost = self.member(1)
        lost.silent = True
        wait_until(
            lambda: len(self.pool.serving()) == 3, "the planner detects the loss"
        )
        self.wait_serving(3)
        for key in self.pool.serving():
            self.assertNotIn(lost.id, self.member(0, key).members)

    def test_survivors_of_lost_head_serve_again(self):
        self.start()
        self.wait_serving(4)
        wait_until(lambda: self.serving("m0"), "a group of m0 serves")
        key = self.serving("m0")[0]
        head = self.member(0, key)
        survivors = set(head.members) - {head.id}
        head.silent = True

        def rejoined():
            return any(
                survivors & set(self.member(0, other).members)
                for other in self.pool.serving()
                if other != key
            )

        wait_until(rejoined, "survivors of the group serve")

    def test_restart_of_member_closes_its_group(self):
        self.start()
        self.wait_serving(4)
        key = self.pool.serving()[0]
        self.pool.restart(self.member(1, key).id)
        wait_until(
            lambda: key not in self.pool.serving(), "the planner detects the restart"
        )
        wait_until(
            lambda: (
                self.member(0, key) is None
                or self.member(0, key).engine_state.membership.phase
                is not MemberPhase.OPEN
            ),
            "the group closes",
        )

    def test_draining_member_leaves_serving_groups(self):
        self.check_leaving_member("draining")

    # Guards against a group that keeps a member whose entry says nothing of it.
    def test_member_that_says_it_leaves_leaves_serving_groups(self):
        self.check_leaving_member("says_leaving")

    def check_leaving_member(self, attribute):
        self.start()
        self.wait_serving(4)
        leaving = self.member(1)
        setattr(leaving, attribute, True)
        wait_until(
            lambda: (
                not any(
                    leaving.id in self.member(0, key).members
                    for key in self.pool.serving()
                )
            ),
            "its group closes",
        )

    def test_group_reported_stalled_closes_sooner(self):
        node = self.start()
        self.wait_serving(4)
        key = self.pool.serving()[0]
        head = self.member(0, key)
        self.member(1, key).silent = True
        node.planner.suspect(head.id)
        with eventlet.Timeout(
            0.6, AssertionError("timed out waiting until the group closes")
        ):
            while (
                head.engine_state.membership
                and head.engine_state.membership.phase.value == ("open")
            ):
                eventlet.sleep(0.01)


class TakeoverTest(PoolTestCase):
    def test_killed_planner_is_replaced(self):
        self.start().stop()
        self.start(2)
        self.wait_serving(4)

    def test_planner_killed_while_forming(self):
        first = self.start()
        wait_until(
            lambda: any(w.engine_state.membership for w in self.pool.by_id.values()),
            "a group is forming",
        )
        first.stop()
        self.start(2)
        self.wait_serving(4)

    def test_second_planner_supersedes_first(self):
        first = self.start()
        self.wait_serving(4)
        # The first planner has lost the store but still reaches the backend servers.
        self.start(2)
        self.member(1).silent = True
        wait_until(
            lambda: not first.may_plan() or first.task.dead,
            "the first planner is superseded",
        )
        self.wait_serving(3)


class AdoptionTest(PoolTestCase):
    domains = {"d0": 6}

    def joining(self):
        memberships = [w.engine_state.membership for w in self.pool.by_id.values()]
        joining = [p for p in memberships if p and p.phase is MemberPhase.JOINING]
        return {p.key for p in joining if p.group.startswith("m")}

    def test_next_planner_finishes_forming_group(self):
        first = self.start()
        wait_until(lambda: self.serving("m0"), "a group of m0 serves")
        wait_until(lambda: not self.joining(), "no group is joining")
        self.member(1, self.serving("m0")[0]).silent = True
        wait_until(self.joining, "another group forms")
        forming_keys = self.joining()
        first.stop()
        self.start(2)
        wait_until(
            lambda: forming_keys & set(self.pool.serving()), "the forming group serves"
        )


class LateOrdersTest(PoolTestCase):
    late_share = 0.3

    def test_groups_form_despite_late_orders(self):
        self.start()
        self.wait_serving(3)
        self.member(1).silent = True
        self.wait_serving(2)


class DemandTest(PoolTestCase):
    domains = {"d0": 8}

    def test_group_is_converted_to_model_in_demand(self):
        node = self.start()

        def served(model):
            return sum(key[0].startswith(model) for key in self.pool.serving())

        demand = (ModelDemand("llm", "m0", 8.0), ModelDemand("llm", "m1", 1.0))
        wait_until(
            lambda: (served("m0"), served("m1")) == (1, 2),
            "groups of both models serve",
        )

        def converted():
            node.plan_exchange.exchange("n", NodeLoad(0, (), demand))
            return served("m0") == 2

        wait_until(converted, "two groups of m0 serve")


def make_worker(id, domain="d0", model="", staged=()):
    """Return a spare as the planner observes it."""
    hosting = EngineState(model, staged, domain, None, 1)
    report = BackendReport(id, 1, hosting, 0, 0, False, 1.0)
    backend = BackendServer(id, 1, "llm", "10.0.0.1:80", "a", False, 13, 0.0, hosting)
    return Worker(Observation(backend, report), False, False, False, False)


def make_selector(groups_by_model, counts, max_load_s=0.2, mixed=True):
    return GroupSelector(
        ENGINE,
        Demand(groups_by_model),
        Counter(counts),
        {},
        FleetSize(54, 6),
        max_load_s,
        mixed,
    )


class SelectionTest(unittest.TestCase):
    def test_conversion_leaves_no_model_worse_off(self):
        members = {
            rank: make_worker(f"w{rank}", model="m0", staged=("m1",))
            for rank in range(3)
        }
        group = Group(("m0-1", 1), members)
        spare = make_worker("s0", model="m1", staged=("m0",))
        selector = make_selector({"m0": 2.0, "m1": 2.0}, {"m0": 2, "m1": 2})
        self.assertIsNone(selector.choose_conversion([group], [spare]))
        selector = make_selector({"m0": 2.0, "m1": 2.0}, {"m0": 4, "m1": 2})
        conversion = selector.choose_conversion([group], [spare])
        self.assertEqual((group,), conversion.retired_groups)
        new_member_ids = {w.id for new in conversion.new_groups for w in new.members}
        self.assertLessEqual(new_member_ids, {"w0", "w1", "w2", "s0"})

    def test_survivors_wait_if_staged_model_has_surplus(self):
        survivors = [make_worker(f"w{i}", model="m0", staged=("m1",)) for i in range(2)]
        surplus = make_selector({"m0": 4.0, "m1": 2.0}, {"m0": 3, "m1": 6})
        self.assertIsNone(surplus.choose_formation(survivors))
        shortage = make_selector({"m0": 4.0, "m1": 2.0}, {"m0": 3, "m1": 2})
        (new,) = shortage.choose_formation(survivors).groups
        self.assertEqual("m1", new.model.name)

    def test_domain_forms_groups_of_one_model(self):
        free = [make_worker(f"{d}-{i}", d) for d in ("d0", "d1") for i in range(6)]
        groups_by_model = {"m0": 2.0, "m1": 3.0}
        first = make_selector(groups_by_model, {}, 9.0, mixed=False).choose_formation(
            free
        )
        self.assertEqual(1, len({group.model.name for group in first.groups}))

    def test_formation_uses_all_backend_servers(self):
        free = [make_worker(f"w{i}", model="m0", staged=("m1",)) for i in range(7)]
        selector = make_selector({"m0": 3.0, "m1": 3.0}, {"m0": 1, "m1": 1})
        groups = selector.choose_formation(free).groups
        self.assertEqual(7, sum(len(group.members) for group in groups))

    def test_compositions_of_many_models_are_bounded(self):
        models = {
            f"m{i}": EngineModel(f"m{i}", 2, 1.0, 0.1, 2.0, 0.2) for i in range(6)
        }
        engine = replace(ENGINE, models_by_name=models)
        demand = Demand(dict.fromkeys(models, 2.0))
        selector = GroupSelector(
            engine, demand, Counter(), {}, FleetSize(54, 6), max_load_s=9.0
        )
        workers = [make_worker(f"w{i}") for i in range(37)]
        compositions = list(selector._candidate_compositions(workers))
        self.assertLessEqual(len(compositions), MAX_COMPOSITIONS)
        self.assertEqual(
            set(models), {name for c in compositions for name in +Counter(c)}
        )
        self.assertIsNotNone(selector.choose_formation(workers))

    def test_first_load_completes_group_soonest(self):
        free = [
            make_worker("a", "d0", "m0", ("m0",)),
            make_worker("b", "d0", "m0", ("m0",)),
            make_worker("c", "d0"),
            make_worker("d", "d1"),
            make_worker("e", "d1"),
        ]
        selector = StagingSelector(
            ENGINE, Demand({"m0": 2.0, "m1": 2.0}), Counter(), {}
        )
        first, *_ = selector.options_for_spares(free)
        self.assertEqual(("c",), tuple(w.id for w in first.members_to_load))
        self.assertEqual("m0", first.model.name)

    def test_load_budget_forgets_ended_loads(self):
        loads = LoadBudget()
        model = ENGINE.models_by_name["m0"]
        for id in ("a", "b", "c"):
            loads.start((id, 1), model, 10.0, before_traffic=False)
        # Backend server a has restarted; b has finished its load.
        loads.remove_finished({("a", 2): set(), ("b", 1): {"m0"}, ("c", 1): {"m1"}})
        self.assertEqual({"c": "m0"}, loads.loading(10.1))

    def test_fresh_spare_stages_model_of_its_domain(self):
        selector = StagingSelector(
            ENGINE, Demand({"m0": 9.0, "m1": 1.0}), Counter(), {}
        )
        model = selector.choose_model_to_stage(
            make_worker("a"), Counter(m1=2), Counter(m1=3)
        )
        self.assertEqual("m1", model.name)


if __name__ == "__main__":
    unittest.main()

"""The planner of replica groups against virtual backend servers."""

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
    with eventlet.Timeout(WAIT_S, AssertionError(f"not in time: {what}")):
        while not condition():
            eventlet.sleep(0.02)


class TestNode:
    """One node's planner, and the means to stop and start it."""

    __test__ = False

    def __init__(self, pool, term):
        self.pool = pool
        self.active = True
        self.fences = FencingTokens()
        self.fences.start_term(term)
        survey = HealthMonitor(pool, lambda: self.planner.wake())
        self.desk = PlanExchange(lambda head: self.planner.suspect(head))
        self.planner = PoolPlanner(
            survey,
            OrderDispatcher(survey, pool, self.fences),
            self.desk,
            self.fleet,
            lambda: (),
        )
        self.task = eventlet.spawn(self.planner.plan_while, self.may_plan)

    def may_plan(self):
        return self.active and not self.fences.superseded

    def fleet(self):
        spec = ServiceSpec("llm", 100, 36.0, ENGINE)
        limits = CallerLimits(1, 1, 1, 1)
        fleet = Fleet(ServingConfiguration(1, {}, {"llm": spec}, {}, True, limits))
        fleet.backends_by_id = self.pool.entries()
        return fleet

    def stop(self):
        """End like a killed process."""
        self.task.kill()
        self.planner.stop()


class PoolTestCase(unittest.TestCase):
    domains = {"d0": 5, "d1": 6}
    late_share = 0.0

    def setUp(self):
        self.pool = Pool(ENGINE, self.late_share, seed=1)
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
        node = TestNode(self.pool, term)
        self.nodes.append(node)
        return node

    def wait_serving(self, count):
        wait_until(lambda: len(self.pool.serving()) >= count, f"{count} serve")

    def serving(self, model):
        """Return the groups of a model that serve."""
        return [key for key in self.pool.serving() if key[0].startswith(model)]

    def member(self, rank, of=None):
        """Return a backend server that has a rank in a group that serves."""
        key = of or self.pool.serving()[0]
        for worker in self.pool.by_id.values():
            place = worker.engine_state.membership
            if place is not None and place.key == key and place.rank == rank:
                return worker
        return None


class FormingTest(PoolTestCase):
    def test_groups_lie_in_one_domain(self):
        self.start()
        self.wait_serving(4)
        for key in self.pool.serving():
            domains = {self.pool.by_id[i].domain for i in self.member(0, key).members}
            self.assertEqual(1, len(domains))

    def test_plan_names_what_serves(self):
        node = self.start()
        self.wait_serving(4)
        wait_until(
            lambda: len(node.desk.exchange("n", NodeLoad(0)).groups) >= 4, "planned"
        )

    def test_hosts_get_the_other_model(self):
        self.start()
        self.wait_serving(4)
        wait_until(
            lambda: all(
                {w.engine_state.model, *w.engine_state.staged_models} >= {"m0", "m1"}
                for w in self.pool.by_id.values()
                if w.engine_state.membership
            ),
            "staged",
        )


class LossTest(PoolTestCase):
    def test_lost_member_is_replaced(self):
        self.start()
        self.wait_serving(4)
        lost = self.member(1)
        lost.silent = True
        wait_until(lambda: len(self.pool.serving()) == 3, "noticed")
        self.wait_serving(3)
        for key in self.pool.serving():
            self.assertNotIn(lost.id, self.member(0, key).members)

    def test_survivors_of_a_lost_head_serve_again(self):
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

        wait_until(rejoined, "survivors serve")

    def test_restarted_member_is_no_member(self):
        self.start()
        self.wait_serving(4)
        key = self.pool.serving()[0]
        self.pool.restart(self.member(1, key).id)
        wait_until(lambda: key not in self.pool.serving(), "noticed")
        wait_until(
            lambda: (
                self.member(0, key) is None
                or self.member(0, key).engine_state.membership.phase
                is not MemberPhase.OPEN
            ),
            "closed",
        )

    def test_leaving_member_is_replaced(self):
        self.start()
        self.wait_serving(4)
        leaving = self.member(1)
        leaving.draining = True
        wait_until(
            lambda: (
                not any(
                    leaving.id in self.member(0, key).members
                    for key in self.pool.serving()
                )
            ),
            "its group closed",
        )

    def test_suspected_group_is_looked_at_sooner(self):
        node = self.start()
        self.wait_serving(4)
        key = self.pool.serving()[0]
        head = self.member(0, key)
        self.member(1, key).silent = True
        node.planner.suspect(head.id)
        with eventlet.Timeout(0.6, AssertionError("not in time")):
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
            "begun",
        )
        first.stop()
        self.start(2)
        self.wait_serving(4)

    def test_two_planners_at_once(self):
        first = self.start()
        self.wait_serving(4)
        # The first one is cut off from the store, but not from backend servers.
        self.start(2)
        self.member(1).silent = True
        wait_until(lambda: not first.may_plan() or first.task.dead, "overtaken")
        self.wait_serving(3)


class AdoptionTest(PoolTestCase):
    domains = {"d0": 6}

    def joining(self):
        places = [w.engine_state.membership for w in self.pool.by_id.values()]
        joining = [p for p in places if p and p.phase is MemberPhase.JOINING]
        return {p.key for p in joining if p.group.startswith("m")}

    def test_group_that_is_being_formed_is_finished_by_the_next_planner(self):
        first = self.start()
        wait_until(lambda: self.serving("m0"), "a group of m0 serves")
        wait_until(lambda: not self.joining(), "all groups are formed")
        self.member(1, self.serving("m0")[0]).silent = True
        wait_until(self.joining, "another one forms")
        begun = self.joining()
        first.stop()
        self.start(2)
        wait_until(lambda: begun & set(self.pool.serving()), "it serves")


class LateOrdersTest(PoolTestCase):
    late_share = 0.3

    def test_groups_form_through_late_orders(self):
        self.start()
        self.wait_serving(3)
        self.member(1).silent = True
        self.wait_serving(2)


class DemandTest(PoolTestCase):
    domains = {"d0": 8}

    def test_group_is_given_up_for_a_model_in_demand(self):
        node = self.start()

        def served(model):
            return sum(key[0].startswith(model) for key in self.pool.serving())

        demand = (ModelDemand("llm", "m0", 8.0), ModelDemand("llm", "m1", 1.0))
        wait_until(lambda: (served("m0"), served("m1")) == (1, 2), "formed")

        def converted():
            node.desk.exchange("n", NodeLoad(0, (), demand))
            return served("m0") == 2

        wait_until(converted, "two groups of the model in demand")


def worker(id, domain="d0", model="", staged=()):
    """Return a spare that the planner sees."""
    hosting = EngineState(model, staged, domain, None, 1)
    report = BackendReport(id, 1, hosting, 0, 0, False, 1.0)
    backend = BackendServer(id, 1, "llm", "10.0.0.1:80", "a", False, 13, 0.0, hosting)
    return Worker(Observation(backend, report), False, False, False, False)


def chooser(needs, counts, longest_s=0.2, mixed=True):
    return GroupSelector(ENGINE, Demand(needs), Counter(counts), {}, longest_s, mixed)


class ChoiceTest(unittest.TestCase):
    def test_conversion_leaves_no_model_worse_off(self):
        members = {
            rank: worker(f"w{rank}", model="m0", staged=("m1",)) for rank in range(3)
        }
        group = Group(("m0-1", 1), members)
        spare = worker("s0", model="m1", staged=("m0",))
        found = chooser({"m0": 2.0, "m1": 2.0}, {"m0": 2, "m1": 2})
        self.assertIsNone(found.choose_conversion([group], [spare]))
        found = chooser({"m0": 2.0, "m1": 2.0}, {"m0": 4, "m1": 2})
        conversion = found.choose_conversion([group], [spare])
        self.assertEqual((group,), conversion.retired_groups)
        formed = {w.id for new in conversion.new_groups for w in new.members}
        self.assertLessEqual(formed, {"w0", "w1", "w2", "s0"})

    def test_survivors_wait_when_their_staged_model_has_plenty(self):
        survivors = [worker(f"w{i}", model="m0", staged=("m1",)) for i in range(2)]
        plenty = chooser({"m0": 4.0, "m1": 2.0}, {"m0": 3, "m1": 6})
        self.assertIsNone(plenty.choose_formation(survivors))
        few = chooser({"m0": 4.0, "m1": 2.0}, {"m0": 3, "m1": 2})
        (new,) = few.choose_formation(survivors).groups
        self.assertEqual("m1", new.model.name)

    def test_domains_keep_to_one_model(self):
        free = [worker(f"{d}-{i}", d) for d in ("d0", "d1") for i in range(6)]
        needs = {"m0": 2.0, "m1": 3.0}
        first = chooser(needs, {}, 9.0, mixed=False).choose_formation(free)
        self.assertEqual(1, len({group.model.name for group in first.groups}))

    def test_no_backend_server_is_left_over_if_it_need_not_be(self):
        free = [worker(f"w{i}", model="m0", staged=("m1",)) for i in range(7)]
        found = chooser({"m0": 3.0, "m1": 3.0}, {"m0": 1, "m1": 1})
        groups = found.choose_formation(free).groups
        self.assertEqual(7, sum(len(group.members) for group in groups))

    def test_many_models_take_no_longer_than_few(self):
        models = {
            f"m{i}": EngineModel(f"m{i}", 2, 1.0, 0.1, 2.0, 0.2) for i in range(6)
        }
        engine = replace(ENGINE, models_by_name=models)
        needs = Demand(dict.fromkeys(models, 2.0))
        found = GroupSelector(engine, needs, Counter(), {}, max_load_s=9.0)
        workers = [worker(f"w{i}") for i in range(37)]
        compositions = list(found._candidate_compositions(workers))
        self.assertLessEqual(len(compositions), MAX_COMPOSITIONS)
        self.assertEqual(
            set(models), {name for c in compositions for name in +Counter(c)}
        )
        self.assertIsNotNone(found.choose_formation(workers))

    def test_loads_go_where_a_group_comes_of_them_soonest(self):
        free = [
            worker("a", "d0", "m0", ("m0",)),
            worker("b", "d0", "m0", ("m0",)),
            worker("c", "d0"),
            worker("d", "d1"),
            worker("e", "d1"),
        ]
        loader = StagingSelector(ENGINE, Demand({"m0": 2.0, "m1": 2.0}), Counter(), {})
        first, *_ = loader.options_for_spares(free)
        self.assertEqual(("c",), tuple(w.id for w in first.members_to_load))
        self.assertEqual("m0", first.model.name)

    def test_loads_end_with_their_backend_server(self):
        loads = LoadBudget()
        model = ENGINE.models_by_name["m0"]
        for id in ("a", "b", "c"):
            loads.start((id, 1), model, 10.0, before_traffic=False)
        # One has restarted, one is done.
        loads.remove_finished({("a", 2): set(), ("b", 1): {"m0"}, ("c", 1): {"m1"}})
        self.assertEqual({"c": "m0"}, loads.loading(10.1))

    def test_fresh_spare_gets_what_its_domain_serves(self):
        loader = StagingSelector(ENGINE, Demand({"m0": 9.0, "m1": 1.0}), Counter(), {})
        model = loader.choose_model_to_stage(worker("a"), Counter(m1=2))
        self.assertEqual("m1", model.name)


if __name__ == "__main__":
    unittest.main()

"""Choice of targets by the beginnings of prompts that they may hold, without a network.

Each test names the load that it answers.
"""

import json
import random
import time
import unittest
from collections import Counter
from dataclasses import replace

from poplarspar.coordination.forwarding import Targets
from poplarspar.coordination.forwarding.attempts import Sender
from poplarspar.coordination.forwarding.held_prompts import (
    MAX_BEGINNINGS,
    HeldPrompts,
    beginnings_of,
)
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.exceptions import MalformedDocument
from poplarspar.platform.callers import MAX_SECTIONS, _parse_prompt_sections
from poplarspar.platform.documents import parse_configuration
from poplarspar.state.callers import PromptSection
from poplarspar.state.serving import (
    CallerLimits,
    Fleet,
    PromptMemory,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
)
from tests.test_forwarding import (
    ENGINE,
    FakeExchange,
    FakeUpstream,
    backend,
    request,
    route,
)

MEMORY = PromptMemory(30.0, 100_000, 1_000)
ROUTE = route("draft", RouteKind.STREAM, "llm", target_latency_s=1.0)
LONG, SHORT = 1_400, 40


def prompt(shared_tokens, own_tokens=60, shared="s1", own="own"):
    """Return a request with a beginning that others share."""
    return request(
        "/draft/1",
        model="m0",
        prompt_tokens=shared_tokens + own_tokens,
        prompt_sections=(
            PromptSection(shared, shared_tokens),
            PromptSection(own, own_tokens),
        ),
    )


class BeginningsTestCase(unittest.TestCase):
    memory = MEMORY
    count = 6

    def setUp(self):
        self.engine = replace(ENGINE, slots=8, prompt_memory=self.memory)
        self.heads = [f"h{number}" for number in range(self.count)]
        self.targets = self.node()

    def node(self):
        """Return the targets of another node that knows nothing of the others."""
        targets = Targets("a", lambda service, id: 100)
        service = ServiceSpec("llm", 100, 0.0, self.engine)
        limits = CallerLimits(1, 1, 1.0, 1.0)
        configuration = ServingConfiguration(1, {}, {"llm": service}, {}, True, limits)
        fleet = Fleet(configuration)
        fleet.backends_by_id = {id: backend(id, "llm") for id in self.heads}
        self.fleet = fleet
        groups = {id: ((f"g-{id}", 1), "m0") for id in self.heads}
        targets.update(fleet, groups)
        return targets

    def configure(self, memory):
        """Give the service's backend servers another memory."""
        service = ServiceSpec(
            "llm", 100, 0.0, replace(self.engine, prompt_memory=memory)
        )
        self.fleet.configuration = replace(
            self.fleet.configuration, services_by_name={"llm": service}
        )

    def routed(self, caller_request):
        service = ServiceSpec("llm", 100, 0.0, self.engine)
        deadline = time.monotonic() + 1.0
        return RoutedRequest(caller_request, ROUTE, service, "w", 1, deadline)

    def choose(self, caller_request, targets=None):
        targets = targets or self.targets
        return targets.choose(self.routed(caller_request), set())

    def send(self, caller_request, targets=None):
        """Choose a target, which then reads the prompt and keeps running it."""
        targets = targets or self.targets
        target = self.choose(caller_request, targets)
        target.in_flight += 1
        targets.record_read(target, caller_request, None)
        return target

    def target(self, id):
        return next(t for t in self.targets.by_key.values() if t.backend.id == id)


class ChoiceTest(BeginningsTestCase):
    def test_long_beginning_goes_where_it_is_held_under_light_load(self):
        first = self.send(prompt(LONG))
        first.in_flight = 0
        for number in range(20):
            chosen = self.choose(prompt(LONG, own=f"own{number}"))
            self.assertIs(first, chosen)

    def test_no_preference_where_prompts_are_not_kept(self):
        self.engine = replace(self.engine, prompt_memory=None)
        self.targets = self.node()
        chosen = {self.send(prompt(LONG)).backend.id for _ in range(6)}
        self.assertEqual(set(self.heads), chosen)
        self.assertEqual(0, self.targets.prompt_use.requests)

    def test_hot_beginning_spreads_before_a_target_exceeds_the_bound(self):
        for number in range(36):
            self.send(prompt(LONG, own=f"own{number}"))
        loads = [t.in_flight for t in self.targets.by_key.values()]
        mean = sum(loads) / len(loads)
        self.assertLessEqual(max(loads), mean * 1.25 + 1)

    # A beginning of 40 tokens of 1,400, as where only a fixed introduction is shared.
    def test_short_beginning_never_moves_a_request_to_a_longer_wait(self):
        holder = self.target("h0")
        self.targets.record_read(holder, prompt(SHORT, LONG), None)
        # The first is within the load bound, the second is over it.
        for holder.in_flight in (1, 2):
            for number in range(30):
                chosen = self.choose(prompt(SHORT, LONG, own=f"own{number}"))
                self.assertIsNot(holder, chosen)

    def test_short_beginning_moves_no_request_of_a_slow_engine(self):
        self.engine = replace(self.engine, tokens_read_per_s=500.0)
        self.targets = self.node()
        self.test_short_beginning_never_moves_a_request_to_a_longer_wait()

    # A target that is three times slower would save three times as long, of its own.
    def test_slow_target_gains_nothing_by_its_slowness(self):
        holder = self.target("h0")
        self.targets.record_read(holder, prompt(6_000, 60_000), None)
        holder.slowdown = 3.0
        for number in range(30):
            chosen = self.choose(prompt(6_000, 60_000, own=f"own{number}"))
            self.assertIsNot(holder, chosen)

    def test_saving_is_weighed_against_the_wait(self):
        holder = self.target("h0")
        self.targets.record_read(holder, prompt(LONG), None)
        holder.prefill_tokens = LONG // 4
        self.assertIs(holder, self.choose(prompt(LONG, own="a")))
        holder.prefill_tokens = 4 * LONG
        self.assertIsNot(holder, self.choose(prompt(LONG, own="b")))

    def test_memory_does_not_make_a_full_or_evacuated_target_usable(self):
        holder = self.target("h0")
        self.targets.record_read(holder, prompt(LONG), None)
        holder.in_flight = self.engine.slots + 1
        self.assertIsNot(holder, self.choose(prompt(LONG, own="a")))
        holder.in_flight = 0
        self.fleet.evacuated_zones = frozenset({"a"})
        self.assertIsNone(self.choose(prompt(LONG, own="b")))

    def test_failing_target_is_not_preferred(self):
        holder = self.target("h0")
        self.targets.record_read(holder, prompt(LONG), None)
        holder.record_failure()
        self.assertIsNot(holder, self.choose(prompt(LONG, own="a")))

    def test_nodes_that_know_nothing_of_each_other_choose_alike(self):
        chosen_by_beginning = {}
        for number in range(40):
            caller_request = prompt(LONG, shared=f"s{number}")
            first, second = (self.choose(caller_request, self.node()) for _ in "ab")
            self.assertEqual(first.backend.id, second.backend.id)
            chosen_by_beginning[number] = first.backend.id
        self.assertEqual(set(self.heads), set(chosen_by_beginning.values()))

    def test_prompt_that_nobody_shares_goes_by_load_alone(self):
        own = PromptSection("own", LONG)
        unshared = request("/draft/1", model="m0", prompt_sections=(own,))
        chosen = {self.choose(unshared).backend.id for _ in range(100)}
        self.assertEqual(set(self.heads), chosen)

    def test_nothing_is_assumed_where_a_beginning_has_no_room(self):
        for capacity_tokens in (0, LONG - 1):
            self.engine = replace(
                self.engine,
                prompt_memory=replace(MEMORY, capacity_tokens=capacity_tokens),
            )
            node = self.node()
            chosen = {self.choose(prompt(LONG), node).backend.id for _ in range(100)}
            self.assertEqual(set(self.heads), chosen)

    def test_many_nodes_meet_at_the_preferred_target_beyond_their_samples(self):
        chosen = Counter()
        for _ in range(10):
            node = self.node()
            node._choice._node_count = lambda: 1000
            chosen[self.choose(prompt(LONG), node).backend.id] += 1
        self.assertEqual(1, len(chosen))

    def test_preferred_target_beyond_a_sample_must_not_be_full_or_cold(self):
        preferred_id = self.choose(prompt(LONG)).backend.id
        for changes in ({"in_flight": 9}, {"cold_until": float("inf")}):
            self.targets = self.node()
            self.targets._choice._node_count = lambda: 1000
            self.targets._choice._cold_limit = lambda service, id: 0
            vars(self.target(preferred_id)).update(changes)
            for _ in range(30):
                chosen = self.choose(prompt(LONG))
                self.assertNotEqual(preferred_id, chosen.backend.id)


class BeliefTest(BeginningsTestCase):
    def held(self, held, caller_request, now=0.0, in_flight=0):
        return held.tokens_held(beginnings_of(caller_request), now, in_flight)

    def record(self, held, caller_request, now=0.0, version=None):
        held.record(beginnings_of(caller_request), now, version)

    def test_belief_ends_with_the_life_of_a_target_and_its_group(self):
        self.send(prompt(LONG))
        first = next(t for t in self.targets.by_key.values() if t.in_flight)
        id = first.backend.id
        groups = {head: ((f"g-{head}", 1), "m0") for head in self.heads}
        for changed_groups, started_ms in (
            ({**groups, id: (("g-new", 2), "m0")}, 1),
            (groups, 2),
        ):
            self.fleet.backends_by_id[id] = replace(
                backend(id, "llm"), started_ms=started_ms
            )
            self.targets.update(self.fleet, changed_groups)
            self.assertEqual(0, self.held(self.target(id).held, prompt(LONG)))
            self.targets.record_read(self.target(id), prompt(LONG), None)

    def test_belief_ends_with_the_weights(self):
        held = HeldPrompts(MEMORY)
        self.record(held, prompt(LONG), version=1)
        self.record(held, prompt(LONG, shared="s2"), version=1)
        self.assertEqual(LONG + 60, self.held(held, prompt(LONG)))
        self.record(held, prompt(LONG, shared="s2"), version=2)
        self.assertEqual(0, self.held(held, prompt(LONG)))
        self.assertEqual(LONG + 60, self.held(held, prompt(LONG, shared="s2")))

    def test_request_of_older_weights_renews_no_belief(self):
        held = HeldPrompts(MEMORY)
        self.record(held, prompt(LONG), version=1)
        self.record(held, prompt(LONG, shared="s2"), version=2)
        held.renew(beginnings_of(prompt(LONG)), 1.0, 1)
        self.assertEqual(0, self.held(held, prompt(LONG)))
        held.renew(beginnings_of(prompt(LONG, shared="s2")), 31.0, 2)
        renewed = self.held(held, prompt(LONG, shared="s2"), now=32.0)
        self.assertEqual(LONG + 60, renewed)

    def test_belief_ends_with_a_changed_memory(self):
        holder = self.send(prompt(LONG))
        groups = {id: ((f"g-{id}", 1), "m0") for id in self.heads}
        for changes in ({"keep_s": 1.0}, {"capacity_tokens": 5_000}):
            self.configure(replace(MEMORY, **changes))
            self.targets.update(self.fleet, groups)
            self.assertIs(holder, self.target(holder.backend.id))
            self.assertEqual(0, self.held(holder.held, prompt(LONG)))
            self.targets.record_read(holder, prompt(LONG), None)
        self.configure(None)
        self.targets.update(self.fleet, groups)
        self.assertIsNone(holder.held)

    def test_answer_that_is_an_error_makes_no_belief(self):
        holder = self.target("h0")
        for status, tokens in ((500, 0), (400, 0), (200, LONG + 60)):
            sender = Sender(self.targets, FakeUpstream(FakeExchange(status)))
            routed = self.routed(prompt(LONG))
            sender.finish(sender.send(routed, holder, response_timeout_s=1.0))
            now = time.monotonic()
            self.assertEqual(tokens, self.held(holder.held, prompt(LONG), now))
            self.assertEqual(0, holder.in_flight)

    def test_belief_ends_after_the_time_for_which_prompts_are_kept(self):
        held = HeldPrompts(MEMORY)
        self.record(held, prompt(LONG), now=0.0)
        self.assertEqual(LONG, self.held(held, prompt(LONG, own="b"), now=30.0))
        self.assertEqual(0, self.held(held, prompt(LONG, own="b"), now=30.1))

    def test_belief_ends_with_the_memory(self):
        held = HeldPrompts(MEMORY)
        self.record(held, prompt(LONG))
        in_flight = (MEMORY.capacity_tokens - LONG) // MEMORY.mean_request_tokens
        self.assertEqual(
            LONG, self.held(held, prompt(LONG, own="b"), in_flight=in_flight)
        )
        self.assertEqual(
            0, self.held(held, prompt(LONG, own="b"), in_flight=in_flight + 1)
        )
        # The target has evicted it, so later room does not bring it back.
        self.assertEqual(0, self.held(held, prompt(LONG, own="b")))

    def test_least_recently_used_beginning_goes_first(self):
        held = HeldPrompts(replace(MEMORY, capacity_tokens=2 * LONG + 300))
        for shared in ("s1", "s2", "s1", "s3"):
            self.record(held, prompt(LONG, shared=shared))
        tokens = [
            self.held(held, prompt(LONG, shared=shared, own="b"))
            for shared in ("s1", "s2", "s3")
        ]
        self.assertEqual([LONG, 0, LONG], tokens)

    def test_memory_of_a_node_is_bounded(self):
        held = HeldPrompts(replace(MEMORY, capacity_tokens=10**9))
        for number in range(3 * MAX_BEGINNINGS):
            self.record(held, prompt(LONG, own=f"own{number}"))
        self.assertLessEqual(len(held._held_by_key), MAX_BEGINNINGS)

    def test_odd_lengths_neither_gain_nor_evict_anything(self):
        held = HeldPrompts(MEMORY)
        self.record(held, prompt(1, shared="s1"))
        self.record(held, prompt(LONG, shared="s2"))
        self.assertEqual(0, self.held(held, prompt(90_000, shared="s1")))
        self.record(held, prompt(999_999_999, shared="s1"))
        self.assertEqual(LONG + 60, self.held(held, prompt(LONG, shared="s2")))
        parts = tuple(PromptSection(f"p{number}", 0) for number in range(64))
        for number in range(MAX_BEGINNINGS):
            last = PromptSection(f"last{number}", 0)
            self.record(held, request("/draft/1", prompt_sections=(*parts, last)))
        self.assertEqual(LONG + 60, self.held(held, prompt(LONG, shared="s2")))

    def test_order_of_parts_makes_another_beginning(self):
        sections = (PromptSection("a", 500), PromptSection("b", 500))
        first = request("/draft/1", prompt_sections=sections)
        second = request("/draft/1", prompt_sections=sections[::-1])
        held = HeldPrompts(MEMORY)
        self.record(held, first)
        self.assertEqual(1000, self.held(held, first))
        self.assertEqual(0, self.held(held, second))


class BorderTest(unittest.TestCase):
    def test_sections_end_at_the_first_malformed_one(self):
        parse = _parse_prompt_sections
        self.assertEqual(
            (PromptSection("a1", 40), PromptSection("b2", 7)), parse("A1:40, b2:7")
        )
        self.assertEqual((PromptSection("a1", 40),), parse("a1:40,b2,c3:5"))
        for text in ("", ":", "a:-1", "a:1.5", "a b:1", "x" * 65 + ":1"):
            self.assertEqual((), parse(text), text)
        self.assertEqual(MAX_SECTIONS, len(parse("a:1," * 5000)))
        random.seed(1)
        for _ in range(500):
            parse("".join(random.choices("a1:,- \x00é", k=12)))

    def test_memory_comes_from_the_configuration(self):
        engine = {
            "slots": 4,
            "models": [{"name": "m0", "size": 2}],
            "kv_capacity_tokens": 9000,
            "usual": {"prompt": 800, "answer": 200},
        }
        self.assertIsNone(self.engine_of(engine).prompt_memory)
        engine["prompt_memory"] = {"keep_ms": 1500}
        self.assertEqual(
            PromptMemory(1.5, 9000, 1000), self.engine_of(engine).prompt_memory
        )
        for number in (float("inf"), float("nan")):
            with self.assertRaises(MalformedDocument):
                self.engine_of({**engine, "usual": {"prompt": number}})

    def engine_of(self, engine):
        document = {
            "version": 1,
            "routes": [],
            "services": [{"name": "llm", "engine": engine}],
        }
        configuration = parse_configuration(json.dumps(document))
        return configuration.services_by_name["llm"].engine


if __name__ == "__main__":
    unittest.main()

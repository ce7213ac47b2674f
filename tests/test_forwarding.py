"""Decisions on single requests: routing, retries, and refusals without false claims."""

import time
import unittest
from dataclasses import replace

from poplarspar.coordination.forwarding import (
    DemandMeter,
    Forwarder,
    NoLimit,
    RetryBudget,
    Sender,
    StallDetector,
    StreamEvent,
    Targets,
)
from poplarspar.coordination.forwarding.demand import expected_answer_tokens
from poplarspar.coordination.quarantine import Quarantine
from poplarspar.exceptions import BackendFailed
from poplarspar.state.backends import BackendServer, EngineState, Load
from poplarspar.state.callers import CallerRequest, CompleteAnswer, StreamedAnswer
from poplarspar.state.refusals import Ran, Reason
from poplarspar.state.results import Error, Ok
from poplarspar.state.serving import (
    CallerLimits,
    Engine,
    EngineModel,
    Fleet,
    KeyHolder,
    RouteKind,
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)

ENGINE = Engine(
    slots=4,
    models_by_name={"m0": EngineModel("m0", 2, 1.0, 1.0, 16.0, 1.6)},
    step_s=0.006,
    step_per_request_s=0.0001,
    tokens_read_per_s=50_000.0,
    tokens_per_event=7,
    loads_per_s=4.0,
    concurrent_loads=6,
    open_s=0.3,
)


def route(name, kind, service, **changes):
    values = {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "services": (WeightedService(service, 1),),
        "timeout_s": 1.0,
        "target_latency_s": 0.1,
        "target_gap_s": 0.2,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "resumable": True,
    }
    return ServiceRoute(**{**values, **changes})


def configuration(*routes, version=1):
    rows = tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
    return ServingConfiguration(
        version=version,
        routes_by_host={"a.example": rows},
        services_by_name={
            "llm": ServiceSpec("llm", 100, 36.0, ENGINE),
            "ledger": ServiceSpec("ledger", 100, 2.0, None),
        },
        holder_by_key={"k1": KeyHolder("pilots", None)},
        keys_required=True,
        limits=CallerLimits(16_384, 4_000_000, 3.0, 15.0),
    )


def backend(id, service="ledger", **changes):
    values = {
        "id": id,
        "started_ms": 1,
        "service": service,
        "address": f"{id}:1",
        "zone": "a",
        "draining": False,
        "slots": 4,
        "cold_s": 0.0,
        "engine_state": EngineState("m0", (), "d0", None, 1)
        if service == "llm"
        else None,
    }
    return BackendServer(**{**values, **changes})


def request(path="/pay/1", **changes):
    values = {
        "id": "r1",
        "method": "POST",
        "target": path,
        "host": "a.example",
        "path": path,
        "headers": (),
        "body": b"",
        "api_key": "k1",
        "timeout_s": 1.0,
        "last_event": None,
        "model": "",
        "prompt_tokens": 0,
        "max_answer_tokens": 0,
        "expected_tokens": None,
        "arrived_at": time.monotonic(),
    }
    return CallerRequest(**{**values, **changes})


class FakeExchange:
    """An answer with a body or events; the stream breaks after `break_after` events."""

    def __init__(self, status=200, body=b"ok", **options):
        self.status = status
        self.headers = ()
        self.authentic = options.get("authentic", True)
        self.not_executed = options.get("not_executed", False)
        self.load = options.get("load")
        self.rate_limit = options.get("rate_limit", NoLimit())
        self.notices = options.get("notices", ())
        self.is_stream = "numbers" in options
        self.framed = options.get("framed", True)
        self._event_numbers = options.get("numbers", ())
        self._break_after = options.get("break_after")
        self._disconnected = options.get("disconnected", False)
        self._broken_body = options.get("broken_body", False)
        self._body = body
        self.closed = False
        self.aborted = False

    def read_body(self):
        if self._broken_body:
            raise BackendFailed("reset", sent=True)
        return self._body

    def events(self):
        for position, number in enumerate(self._event_numbers):
            if position == self._break_after:
                disconnected = self._disconnected
                raise BackendFailed("reset", sent=True, disconnected=disconnected)
            yield StreamEvent(number, b"id: %d\n\n" % number)

    def set_read_timeout(self, timeout_s):
        pass

    def abort(self):
        self.aborted = True

    def close(self):
        self.closed = True


class FakeUpstream:
    """Returns prepared exchanges, or raises prepared `BackendFailed` errors."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.attempts = []

    def send(self, attempt):
        self.attempts.append(attempt)
        answer = self.answers.pop(0)
        if isinstance(answer, BackendFailed):
            raise answer
        return answer


class ForwardingTestCase(unittest.TestCase):
    routes = (
        route("pay", RouteKind.NON_IDEMPOTENT, "ledger"),
        route("look", RouteKind.IDEMPOTENT, "ledger"),
        route("draft", RouteKind.STREAM, "llm"),
        route("draft/once", RouteKind.STREAM, "llm", resumable=False),
        route("open", RouteKind.IDEMPOTENT, "ledger", public=True),
    )

    def setUp(self):
        self.fleet = Fleet(configuration(*self.routes))
        for id in ("s1", "s2", "s3"):
            self.fleet.backends_by_id[id] = backend(id)
        for id in ("h1", "h2"):
            self.fleet.backends_by_id[id] = backend(id, "llm")
        self.open_groups = {"h1": (("g1", 1), "m0"), "h2": (("g2", 2), "m0")}
        self.budget = RetryBudget(0.2, 100, 10.0)
        self.quarantine = Quarantine("n1")
        self.node_count = 1
        self.begun = []
        self.targets = Targets(
            "a",
            lambda service, id: service.cold_requests_per_s,
            lambda: self.node_count,
        )
        self.update()

    def update(self):
        self.targets.update(self.fleet, self.open_groups)

    def serve(self, received, *answers):
        self.upstream = FakeUpstream(*answers)
        forwarder = Forwarder(
            lambda: self.fleet.configuration,
            self.targets,
            Sender(self.targets, self.upstream),
            self.budget,
            DemandMeter(),
            self.quarantine,
            record_begin=self.begun.append,
        )
        return forwarder.serve(received)

    def refused(self, result):
        self.assertIsInstance(result, Error)
        return result.cause

    def answered(self, result):
        self.assertIsInstance(result, Ok)
        return result.value


class LookupTest(ForwardingTestCase):
    def test_longest_prefix_wins(self):
        found = self.fleet.configuration.find_route("a.example", "/draft/once/1")
        self.assertEqual("draft/once", found.name)

    def test_unknown_path_host_and_key(self):
        for changes in ({"path": "/nowhere/"}, {"host": "b.example"}):
            refusal = self.refused(self.serve(request(**changes)))
            self.assertEqual(Reason.NOT_FOUND, refusal.reason)
        refusal = self.refused(self.serve(request(api_key="k2")))
        self.assertEqual(Reason.UNAUTHORIZED, refusal.reason)

    def test_public_route_needs_no_key(self):
        answer = self.answered(
            self.serve(request("/open/1", api_key=""), FakeExchange())
        )
        self.assertEqual(200, answer.status)

    def test_refusal_without_configuration_states_not_run(self):
        self.fleet.configuration = None
        refusal = self.refused(self.serve(request()))
        self.assertEqual((Reason.STALE, Ran.NO), (refusal.reason, refusal.ran))


class PlainCallTest(ForwardingTestCase):
    def test_attempt_has_workspace_and_remaining_time(self):
        self.answered(self.serve(request(), FakeExchange()))
        attempt = self.upstream.attempts[0]
        self.assertEqual("pilots", attempt.workspace)
        self.assertLess(attempt.remaining_s, 1.0)

    def test_failed_connection_is_retried_at_another_backend_server(self):
        failed = BackendFailed("no connection", sent=False)
        answer = self.answered(self.serve(request(), failed, FakeExchange()))
        self.assertEqual(b"ok", answer.body)
        ids = [attempt.backend_id for attempt in self.upstream.attempts]
        self.assertEqual(2, len(set(ids)))

    def test_non_idempotent_request_is_not_retried_after_lost_answer(self):
        lost = BackendFailed("reset", sent=True)
        refusal = self.refused(self.serve(request(), lost, FakeExchange()))
        self.assertEqual(Ran.UNKNOWN, refusal.ran)
        self.assertEqual(1, len(self.upstream.attempts))

    def test_non_idempotent_request_is_not_retried_after_broken_body(self):
        torn = FakeExchange(broken_body=True)
        refusal = self.refused(self.serve(request(), torn, FakeExchange()))
        self.assertEqual(Ran.UNKNOWN, refusal.ran)
        self.assertEqual(1, len(self.upstream.attempts))

    def test_idempotent_request_is_retried_after_lost_answer(self):
        lost = BackendFailed("reset", sent=True)
        answer = self.answered(self.serve(request("/look/1"), lost, FakeExchange()))
        self.assertEqual(b"ok", answer.body)

    def test_retries_stop_at_max_attempts(self):
        lost = [BackendFailed("reset", sent=True) for _ in range(3)]
        self.refused(self.serve(request("/look/1"), *lost))
        self.assertEqual(2, len(self.upstream.attempts))

    def test_refusal_after_all_targets_decline_states_not_run(self):
        declined = [FakeExchange(503, not_executed=True) for _ in range(3)]
        refusal = self.refused(self.serve(request(), *declined))
        self.assertEqual(Ran.NO, refusal.ran)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_answer_without_signature_is_not_forwarded(self):
        forged = FakeExchange(200, authentic=False)
        refusal = self.refused(self.serve(request(), forged))
        self.assertEqual(Ran.UNKNOWN, refusal.ran)

    def test_error_answer_is_forwarded_when_all_attempts_fail(self):
        failed = [FakeExchange(500), FakeExchange(500)]
        answer = self.answered(self.serve(request("/look/1"), *failed))
        self.assertEqual(500, answer.status)

    def test_retries_stop_when_the_budget_is_exhausted(self):
        self.budget = RetryBudget(0.0, 0.0, 10.0)
        lost = BackendFailed("reset", sent=True)
        self.refused(self.serve(request("/look/1"), lost, FakeExchange()))
        self.assertEqual(1, len(self.upstream.attempts))

    def test_evacuated_zone_gets_no_requests(self):
        self.fleet.evacuated_zones = frozenset({"a"})
        refusal = self.refused(self.serve(request()))
        self.assertEqual(Reason.NO_BACKEND, refusal.reason)

    def test_draining_backend_server_gets_no_requests(self):
        for id in ("s1", "s2"):
            self.fleet.backends_by_id[id] = backend(id, draining=True)
        self.update()
        for _ in range(8):
            self.answered(self.serve(request(), FakeExchange()))
            self.assertEqual("s3", self.upstream.attempts[0].backend_id)

    def test_many_nodes_compare_a_sample_of_targets(self):
        targets = [self.targets.by_key[key] for key in self.targets.by_key]
        candidates = targets * 10
        self.assertEqual(candidates, self.targets._choice._sample(candidates))
        self.node_count = 1000
        self.assertEqual(2, len(self.targets._choice._sample(candidates)))

    def test_cold_backend_server_gets_no_more_than_its_limit(self):
        for id in ("s1", "s2", "s3"):
            self.fleet.cold_until_by_id[id] = time.monotonic() + 10
        self.update()
        results = [self.serve(request(), FakeExchange()) for _ in range(8)]
        self.assertEqual(6, sum(isinstance(result, Ok) for result in results))

    def test_failing_backend_server_is_avoided(self):
        target = next(t for t in self.targets.by_key.values() if t.backend.id == "s1")
        target.record_failure()
        target.record_failure()
        for _ in range(8):
            self.answered(self.serve(request(), FakeExchange()))
            self.assertNotEqual("s1", self.upstream.attempts[0].backend_id)


class StreamTest(ForwardingTestCase):
    def open(self, *answers, path="/draft/1", **changes):
        received = request(path, model="m0", prompt_tokens=100, **changes)
        return self.serve(received, *answers)

    def read(self, answer):
        self.assertIsInstance(answer, StreamedAnswer)
        self.addCleanup(answer.events.close)
        return [int(data[4:].strip()) for data in answer.events]

    def test_complete_stream_is_forwarded(self):
        answer = self.answered(self.open(FakeExchange(numbers=(1, 2, 3))))
        self.assertEqual([1, 2, 3], self.read(answer))

    def test_broken_stream_resumes_at_another_target(self):
        first = FakeExchange(numbers=(1, 2, 3), break_after=2)
        second = FakeExchange(numbers=(3, 4))
        answer = self.answered(self.open(first, second))
        self.assertEqual([1, 2, 3, 4], self.read(answer))
        self.assertEqual(2, self.upstream.attempts[1].last_event)
        self.assertTrue(first.closed)

    def test_duplicate_events_after_resuming_are_dropped(self):
        first = FakeExchange(numbers=(1, 2, 3), break_after=2)
        answer = self.answered(self.open(first, FakeExchange(numbers=(2, 3))))
        self.assertEqual([1, 2, 3], self.read(answer))

    def test_broken_stream_of_a_non_resumable_route_raises(self):
        first = FakeExchange(numbers=(1, 2, 3), break_after=2)
        answer = self.answered(
            self.open(first, FakeExchange(numbers=(3,)), path="/draft/once/1")
        )
        with self.assertRaises(BackendFailed):
            self.read(answer)

    def test_error_answer_does_not_continue_a_broken_stream(self):
        first = FakeExchange(numbers=(1, 2, 3), break_after=2)
        answer = self.answered(self.open(first, FakeExchange(500, b"error")))
        with self.assertRaises(BackendFailed):
            self.read(answer)

    def test_error_events_do_not_continue_a_broken_stream(self):
        first = FakeExchange(numbers=(1, 2, 3), break_after=2)
        answer = self.answered(self.open(first, FakeExchange(503, numbers=(3, 4))))
        with self.assertRaises(BackendFailed):
            self.read(answer)

    def test_events_with_other_numbers_do_not_continue_a_broken_stream(self):
        first = FakeExchange(numbers=(1, 2, 3, 4), break_after=3)
        answer = self.answered(self.open(first, FakeExchange(numbers=(7, 8))))
        with self.assertRaises(BackendFailed):
            self.read(answer)

    def test_one_server_may_leave_out_numbers(self):
        answer = self.answered(self.open(FakeExchange(numbers=(1, 2, 3, 7, 8))))
        self.assertEqual([1, 2, 3, 7, 8], self.read(answer))

    def test_stream_whose_numbers_have_gaps_is_resumed(self):
        first = FakeExchange(numbers=(10, 20, 30, 40), break_after=3)
        answer = self.answered(self.open(first, FakeExchange(numbers=(40, 50))))
        self.assertEqual([10, 20, 30, 40, 50], self.read(answer))

    def test_groups_of_other_models_get_no_request(self):
        refusal = self.refused(self.serve(request("/draft/1", model="m9")))
        self.assertEqual((Reason.NO_BACKEND, Ran.NO), (refusal.reason, refusal.ran))

    def test_refusal_when_all_groups_are_full_has_a_retry_time(self):
        for target in self.targets.by_key.values():
            target.in_flight = target.slots + 1
        refusal = self.refused(self.open())
        self.assertEqual((Reason.QUEUE_FULL, Ran.NO), (refusal.reason, refusal.ran))
        self.assertIsNotNone(refusal.retry_after_s)

    def stalled_stream(self, path="/draft/1"):
        """Return the target of a stream without progress for 0.4 s."""
        answer = self.answered(
            self.open(FakeExchange(numbers=(1, 2), break_after=1), path=path)
        )
        self.addCleanup(answer.events.close)
        (target,) = [t for t in self.targets.by_key.values() if t.streams]
        target.progress_at -= 0.4
        return target

    def check_for_stalls(self, delay_s=0.0):
        detector = StallDetector(self.targets)
        detector._checked_at = time.monotonic() - delay_s
        detector.check()

    def aborted(self, target):
        return any(exchange.aborted for exchange in target.exchanges)

    def test_stream_of_a_stalled_group_is_moved(self):
        target = self.stalled_stream()
        self.check_for_stalls()
        self.assertTrue(self.aborted(target))

    def test_delayed_check_detects_no_stall(self):
        target = self.stalled_stream()
        self.check_for_stalls(delay_s=1.0)
        self.assertFalse(self.aborted(target))

    def test_stalled_stream_stays_when_no_other_group_has_free_slots(self):
        target = self.stalled_stream()
        for other in self.targets.by_key.values():
            if other is not target:
                other.others_in_flight = other.slots
        self.check_for_stalls()
        self.assertFalse(self.aborted(target))

    def test_prefill_is_not_a_stall(self):
        target = self.stalled_stream()
        engine = self.fleet.configuration.services_by_name["llm"].engine
        target.others_prefill_tokens = int(0.5 * engine.tokens_read_per_s)
        self.check_for_stalls()
        self.assertFalse(self.aborted(target))

    def test_stalled_stream_of_a_non_resumable_route_is_not_moved(self):
        target = self.stalled_stream("/draft/once/1")
        self.check_for_stalls()
        self.assertFalse(self.aborted(target))

    def test_group_with_long_pending_prefill_is_full(self):
        engine = self.fleet.configuration.services_by_name["llm"].engine
        aim_tokens = int(0.1 * engine.tokens_read_per_s)
        first, second = [
            target for target in self.targets.by_key.values() if target.group
        ]
        first.others_prefill_tokens = aim_tokens
        for _ in range(4):
            self.answered(self.open(FakeExchange(numbers=(1,))))
            self.assertEqual("h2", self.upstream.attempts[-1].backend_id)
        second.others_prefill_tokens = aim_tokens
        refusal = self.refused(self.open())
        self.assertEqual((Reason.QUEUE_FULL, Ran.NO), (refusal.reason, refusal.ran))

    def test_reported_load_of_other_nodes_counts(self):
        busy = Load(running=5, waiting=0, slots=4)
        for target in self.targets.by_key.values():
            target.record_load(busy)
        self.refused(self.open())

    def test_closed_group_keeps_its_streams_unless_it_has_stalled(self):
        working, stalled = FakeExchange(numbers=(1,)), FakeExchange(numbers=(1,))
        for exchange in (working, stalled):
            answer = self.answered(self.open(exchange))
            self.addCleanup(answer.events.close)
        for target in self.targets.by_key.values():
            if stalled in target.exchanges:
                target.progress_at -= 0.5
        both = [t for t in self.targets.by_key.values() if t.exchanges]
        self.assertEqual(2, len(both))
        self.open_groups = {}
        self.update()
        self.assertEqual((False, True), (working.aborted, stalled.aborted))

    def test_finished_stream_releases_its_slot(self):
        answer = self.answered(self.open(FakeExchange(numbers=(1,))))
        self.read(answer)
        answer.events.close()
        self.assertEqual([0], [*{t.in_flight for t in self.targets.by_key.values()}])


class DemandTest(unittest.TestCase):
    engine = configuration().services_by_name["llm"].engine

    def expected(self, usual, **fields):
        engine = replace(self.engine, mean_answer_tokens=usual)
        return expected_answer_tokens(engine, request("/draft/1", **fields))

    def test_callers_estimate_overrides_the_mean_length(self):
        self.assertEqual(
            70, self.expected(90, max_answer_tokens=400, expected_tokens=70)
        )
        self.assertEqual(90, self.expected(90, max_answer_tokens=400))
        self.assertEqual(400, self.expected(0, max_answer_tokens=400))

    def test_expected_length_is_within_the_callers_limit(self):
        self.assertEqual(
            40, self.expected(90, max_answer_tokens=40, expected_tokens=70)
        )


class AnswerTypeTest(ForwardingTestCase):
    def test_error_answer_on_a_stream_route_is_not_streamed(self):
        result = self.serve(
            request("/draft/1", model="m0"), FakeExchange(400, b"bad prompt")
        )
        match result:
            case Ok(CompleteAnswer(status, _, body)):
                self.assertEqual((400, b"bad prompt"), (status, body))
            case other:
                self.fail(other)


if __name__ == "__main__":
    unittest.main()

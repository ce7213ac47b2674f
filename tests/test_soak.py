"""Tests of the soak: a short run, and each check on constructed observations."""

import standins.common  # noqa: F401  # isort: skip

import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import eventlet

from soak.callers import EVENTS_PER_STREAM, SentRequest
from soak.checks import Observations, find_breaches
from soak.duties import ReportCall, report_problems, usage_problems
from soak.environment import Change, Harm, NamedLimit
from soak.faults import Disturbance, PlannedStop, draw_faults, draw_version_faults
from soak.nodes import Node
from soak.pressure import pressure_problems
from soak.probes import Probe
from soak.versions import KeyKnown, OwnRoute, RanAt
from standins.engines import event_text
from standins.platform import Run

REPOSITORY = Path(__file__).resolve().parent.parent
# This seed has broken two guarantees: findings 19 and 20 in docs/FINDINGS.md.
SHORT_SEED = 7
SHORT_S = 8.0
TIMEOUT_S = 150.0


class ShortSoakTest(unittest.TestCase):
    def run_seed(self, seed, seconds, *options):
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        done = subprocess.run(
            [*command, f"--seconds={seconds}", *options],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)

    def test_short_run(self):
        self.run_seed(SHORT_SEED, SHORT_S)

    def test_short_run_with_harmful_requests_and_a_limit(self):
        self.run_seed(SHORT_SEED, 10.0, "--troubles", "--rate=0")

    def test_short_run_with_bursts_of_urgent_and_relaxed_requests(self):
        self.run_seed(SHORT_SEED, 10.0, "--pressure", "--rate=0")

    def test_short_run_while_versions_follow_each_other(self):
        self.run_seed(SHORT_SEED, 14.0, "--versions", "--rate=0")


class PressureCheckTest(unittest.TestCase):
    def problems(self, *rows):
        requests = [
            SimpleNamespace(
                kind=kind,
                workspace=workspace,
                complete=number < served,
                status=200 if number < served else 503,
            )
            for kind, workspace, served, count in rows
            for number in range(count)
        ]
        return list(pressure_problems(requests))

    def test_most_urgent_kind_must_not_be_served_worst(self):
        self.assertEqual(
            [], self.problems(("draft", "a", 50, 100), ("digest", "a", 54, 100))
        )
        found = self.problems(("draft", "a", 50, 100), ("digest", "a", 60, 100))
        self.assertIn("most urgent", found[0])

    def test_no_kind_and_no_workspace_is_starved(self):
        found = self.problems(("draft", "a", 90, 100), ("digest", "a", 5, 100))
        self.assertIn("digest was served 0.05", found[0])
        found = self.problems(("draft", "a", 90, 100), ("draft", "b", 5, 100))
        self.assertIn("b was served 0.05", found[0])


class DutyCheckTest(unittest.TestCase):
    def call(self, window, counts, holder="front-0", token=7, at=0.0):
        return ReportCall(at, holder, token, window, counts)

    def test_one_window_has_one_report_and_one_token_one_holder(self):
        calls = [self.call(1, {"a": 5}), self.call(1, {"a": 5})]
        self.assertEqual([], list(report_problems(calls)))
        changed = [*calls, self.call(1, {"a": 6}, token=8)]
        self.assertIn("window 1", next(report_problems(changed)))
        other = [*calls, self.call(2, {"a": 5}, holder="front-1")]
        self.assertIn("token 7", next(report_problems(other)))

    def test_reports_agree_with_what_began(self):
        runs = [
            Run("w", f"r{n}", "GET", "/", b"", "a", False, 2.0 + n / 100)
            for n in range(100)
        ]
        runs.append(runs[0])

        def problems(counts, at=4.0):
            calls = [self.call(1, counts, at=at)]
            return list(usage_problems(calls, runs, [1], 0.0))

        self.assertEqual([], problems({"a": 96}))
        self.assertEqual(1, len(problems({"a": 90})))
        self.assertEqual(1, len(problems({})))
        self.assertIn("late", problems({"a": 100}, at=15.0)[0])
        self.assertEqual(1, len(list(usage_problems([], runs, [1], 0.0))))


class StopDuringKillTest(unittest.TestCase):
    # Guards against reporting a kill by the soak, seed 15, as the process's own exit.
    def test_stop_of_a_node_that_is_killed_meanwhile_is_no_problem(self):
        for killed_at, problems in (([50.0], 1), ([1e12], 0)):
            with self.subTest(killed_at=killed_at):
                stopped = Node.__new__(Node)
                stopped.name, stopped.problems = "front-0", []
                stopped.killed_at, stopped.was_ready = killed_at, True
                stopped._process = SimpleNamespace(
                    poll=lambda: -9, returncode=-9, pid=0
                )
                stopped.terminate()
                self.assertEqual(problems, len(stopped.problems))


class RestartTest(unittest.TestCase):
    # Guards against reporting a planned restart, seed 32, as an unexpected exit.
    def test_node_that_is_being_restarted_has_not_exited_unexpectedly(self):
        restarted = Node.__new__(Node)
        restarted.name, restarted.problems, restarted.killed_at = "front-0", [], []
        restarted.was_ready, restarted.stopping_since = True, time.monotonic()
        restarted._failed_checks = 0
        restarted._process = SimpleNamespace(poll=lambda: 0, returncode=0)
        with tempfile.TemporaryDirectory() as folder:
            restarted._log = restarted._settings = Path(folder) / "front-0.log"

            def popen(*arguments, **options):
                eventlet.sleep(0.5)
                return SimpleNamespace(poll=lambda: None)

            with mock.patch("soak.nodes.subprocess.Popen", popen):
                starting = eventlet.spawn(restarted.start)
                eventlet.sleep(0)
                with mock.patch.object(Node, "_is_ready", lambda self: True):
                    checking = eventlet.spawn(restarted.check_readiness)
                    starting.wait()
                    checking.kill()
        self.assertEqual([], restarted.problems)
        self.assertIsNone(restarted.stopping_since)


class FaultsTest(unittest.TestCase):
    def test_same_seed_draws_same_faults(self):
        self.assertEqual(draw_faults(3, 10.0, 8), draw_faults(3, 10.0, 8))
        self.assertNotEqual(draw_faults(3, 10.0, 8), draw_faults(4, 10.0, 8))
        self.assertEqual(draw_version_faults(3, 10.0), draw_version_faults(3, 10.0))


def node(name="front-0"):
    return SimpleNamespace(name=name, problems=[], killed_at=[])


def sent_request(kind="pay", **changes):
    fields = {
        "attempt_id": f"{kind}-1",
        "kind": kind,
        "node": node(),
        "workspace": "pilots",
        "target": f"/{kind}/1",
        "body": b"" if kind == "look" else b"sum=1",
        "sent_at": 100.0,
        "ended_at": 100.1,
        "timeout_s": 1.5,
        "complete": True,
    }
    return SentRequest(**{**fields, **changes})


def run_for(request, worker="p-0", **changes):
    method = "GET" if request.kind == "look" else "POST"
    fields = {
        "worker": worker,
        "attempt_id": request.attempt_id,
        "method": method,
        "target": request.target,
        "body": request.body,
        "workspace": request.workspace,
        "has_api_key": False,
        "started_at": request.sent_at,
    }
    return Run(**{**fields, **changes})


def probe(outcome, sent_at):
    return Probe(node(), 0.0, outcome, sent_at, sent_at)


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.environment = SimpleNamespace(
            runs=[],
            changes=[],
            harms=[],
            limits=[],
            pool=SimpleNamespace(breaches=[]),
            worker_by_id={
                "p-0": SimpleNamespace(zone="z-a", arrivals=[]),
                "p-1": SimpleNamespace(zone="z-b", arrivals=[]),
            },
        )

    def check(self, requests, runs=(), probes=(), disturbances=(), stops=()):
        self.environment.runs = list(runs)
        served = [
            sent_request(kind, attempt_id=f"{kind}-end", target="/end", sent_at=999.0)
            for kind in ("pay", "look", "draft", "explain")
        ]
        for request in served:
            request.status = 200
            request.ended_at = 999.1
            worker = "p-0" if request.kind in ("pay", "look") else "d0-0"
            self.environment.runs.append(run_for(request, worker))
            request.content = b"ran at p-0"
            if worker != "p-0":
                numbers = range(1, EVENTS_PER_STREAM + 1)
                request.events = [event_text(request.attempt_id, n) for n in numbers]
        observations = Observations(
            [*requests, *served],
            list(probes),
            self.environment,
            [node()],
            list(disturbances),
            list(stops),
            recovery_deadline=900.0,
        )
        return find_breaches(observations)

    def assert_found(self, text, *arguments, **options):
        lines = self.check(*arguments, **options)
        self.assertEqual(1, len(lines), lines)
        self.assertIn(text, lines[0])

    def test_correct_run_has_no_breach(self):
        request = sent_request(status=200, content=b"ran at p-0")
        self.assertEqual([], self.check([request], [run_for(request)]))

    def test_non_idempotent_request_runs_twice(self):
        request = sent_request(status=200, content=b"ran at p-0")
        runs = [run_for(request), run_for(request, "p-1")]
        self.assert_found("ran 2 times", [request], runs)

    def test_refused_request_has_run(self):
        request = sent_request(status=503)
        self.assert_found("was answered 503", [request], [run_for(request)])

    def test_backend_server_runs_changed_request(self):
        request = sent_request(status=502)
        changed = run_for(request, body=b"sum=2")
        self.assert_found("ran as POST", [request], [changed])
        forged = run_for(request, workspace="forged")
        self.assert_found("ran for forged", [request], [forged])

    def test_answer_of_other_backend_server(self):
        request = sent_request(status=200, content=b"ran at p-1")
        self.assert_found("has the answer", [request], [run_for(request)])

    def test_event_is_missing(self):
        request = sent_request("draft", status=200)
        numbers = [n for n in range(1, EVENTS_PER_STREAM + 1) if n != 3]
        request.events = [event_text(request.attempt_id, n) for n in numbers]
        self.assert_found("events are missing", [request], [run_for(request, "d0-0")])

    def test_truncated_stream_ends_as_complete(self):
        request = sent_request("draft", status=200, events=[event_text("draft-1", 1)])
        runs = [run_for(request, "d0-0")]
        self.assert_found("ended as complete after 1", [request], runs)

    def test_answer_after_timeout(self):
        request = sent_request(status=504, ended_at=103.0)
        self.assert_found("no final answer", [request])
        paused = Disturbance("node_pause", 101.0, 102.0, "front-0")
        self.assertEqual([], self.check([request], disturbances=[paused]))

    def test_request_runs_at_draining_backend_server(self):
        self.environment.changes = [Change(90.0, leaving="p-0")]
        request = sent_request(status=200, content=b"ran at p-0")
        self.environment.changes.append(Change(200.0, leaving="-p-0"))
        self.assert_found("too late at p-0", [request], [run_for(request)])

    def test_request_runs_in_evacuated_zone(self):
        self.environment.changes = [
            Change(90.0, zone="z-a"),
            Change(200.0, zone="-z-a"),
        ]
        request = sent_request(status=200, content=b"ran at p-0")
        self.assert_found("too late at z-a", [request], [run_for(request)])
        outage = Disturbance("store_down", 85.0, 95.0)
        self.assertEqual(
            [], self.check([request], [run_for(request)], disturbances=[outage])
        )

    def publish_versions(self, count):
        """Add versions 1 to `count`, ten seconds apart from time 10 on."""
        self.environment.changes = [
            Change(10.0 * number, version=number) for number in range(1, count + 1)
        ]

    def test_configuration_is_late_or_rolled_back(self):
        self.publish_versions(2)
        late = probe(OwnRoute(2, exists=False), 23.0)
        self.assert_found("late with version 2 after 3.00 s", [], probes=[late])
        newer = probe(OwnRoute(2, exists=True), 20.5)
        older = probe(OwnRoute(1, exists=True), 21.0)
        self.assert_found("rolled back from version 2", [], probes=[newer, older])

    def test_moved_split_and_dropped_routes_and_keys_are_late(self):
        # Version 3 is the third of three splits, the second place of the moved route,
        # and the first one without the key of version 1.
        self.publish_versions(3)
        for outcome in (
            OwnRoute(2, exists=True),
            RanAt("moved", "ledger"),
            RanAt("split", "vault"),
            KeyKnown("key-v1", is_valid=True),
            KeyKnown("key-v3", is_valid=False),
        ):
            with self.subTest(outcome=outcome):
                late = probe(outcome, 32.5)
                self.assert_found("late with version 3", [], probes=[late])
                in_time = probe(outcome, 31.5)
                self.assertEqual([], self.check([], probes=[in_time]))

    def test_node_is_excused_for_a_while_only_after_a_disturbance(self):
        self.publish_versions(2)
        outage = Disturbance("store_down", 20.5, 22.0)
        excused = probe(OwnRoute(2, exists=False), 24.9)
        late = probe(OwnRoute(2, exists=False), 25.1)
        self.assertEqual([], self.check([], probes=[excused], disturbances=[outage]))
        self.assert_found("late", [], probes=[late], disturbances=[outage])

    def test_outcome_of_no_version(self):
        self.publish_versions(1)
        self.assert_found(
            "no version allows", [], probes=[probe(RanAt("moved", "llm"), 11.0)]
        )

    def test_stop_cuts_running_request(self):
        request = sent_request(complete=False)
        stop = PlannedStop(request.node, 99.0, 101.0)
        self.assert_found(
            "cut by the stop", [request], [run_for(request)], stops=[stop]
        )

    def harmful_requests(self, count, **changes):
        requests = [
            sent_request(
                "draft",
                attempt_id=f"draft-{number}",
                target=f"/draft/{number}",
                sent_at=110.0 + number,
                ended_at=110.1 + number,
                parts=("a0", "bad1", f"f{number}"),
                **changes,
            )
            for number in range(count)
        ]
        return requests, [run_for(request, "d0-0") for request in requests]

    def test_harmful_part_reaches_backend_servers_after_the_bound(self):
        self.environment.harms = [Harm("bad1", [("d0-0", 100.0 + n) for n in range(5)])]
        requests, runs = self.harmful_requests(4)
        self.assert_found("bad1 reached backend servers 4 times", requests, runs)
        self.assertEqual([], self.check(requests[:3], runs[:3]))
        outage = Disturbance("store_down", 105.0, 112.0)
        self.assertEqual([], self.check(requests, runs, disturbances=[outage]))

    def test_sound_prompt_is_refused_as_quarantined(self):
        self.environment.harms = [Harm("bad1")]
        refusal = {"status": 503, "content": b'{"reason": "quarantined"}'}
        sound = sent_request("draft", parts=("a0", "f1"), **refusal)
        self.assert_found("sound and was refused", [sound])
        harmful, _ = self.harmful_requests(1, **refusal)
        self.assertEqual([], self.check(harmful))

    def test_backend_server_gets_more_than_its_limit(self):
        self.environment.limits = [NamedLimit("p-0", 1.0, 100.0, 120.0)]
        requests = [
            sent_request(
                "look",
                attempt_id=f"look-{number}",
                target=f"/look/{number}",
                sent_at=100.5 + number / 4,
                ended_at=100.6 + number / 4,
            )
            for number in range(40)
        ]
        runs = [run_for(request) for request in requests]
        self.assert_found("p-0 got 16 requests, 11 allowed", requests, runs)
        self.assertEqual([], self.check(requests[::2], runs[::2]))
        pause = Disturbance("node_pause", 104.0, 112.0, "front-0")
        self.assertEqual([], self.check(requests, runs, disturbances=[pause]))

    def test_backend_server_gets_requests_in_its_pause(self):
        requests = [
            sent_request("look", attempt_id=f"look-{number}") for number in range(5)
        ]
        arrivals = [("look-0", 100.0, 4.0), ("look-1", 100.3, 0.0)]
        arrivals += [("look-2", 101.0, 0.0), ("look-3", 102.0, 0.0)]
        self.environment.worker_by_id["p-0"].arrivals = arrivals
        for request in requests[1:]:
            request.node = requests[0].node
        self.assertEqual([], self.check(requests))
        arrivals.append(("look-4", 103.9, 0.0))
        self.assert_found("front-0 sent p-0 3 requests in its pause", requests)

    def test_stop_is_not_blamed_for_a_crash_of_the_backend_server(self):
        request = sent_request("draft", complete=False)
        stop = PlannedStop(request.node, 99.0, 101.0)
        runs = [run_for(request, "d0-0")]
        for backend, at, is_blamed in (
            ("d0-0", 100.05, False),
            ("d0-1", 100.05, True),
            ("d0-0", 99.5, True),
        ):
            with self.subTest(backend=backend, at=at):
                self.environment.harms = [Harm("bad1", [(backend, at)])]
                lines = self.check([request], runs, stops=[stop])
                self.assertEqual(is_blamed, bool(lines))

    def test_kind_is_not_served_after_faults(self):
        requests = [
            sent_request("look", sent_at=950.0 + i, status=503) for i in range(9)
        ]
        for request in requests:
            request.ended_at = request.sent_at
        self.assert_found("look: 1 of 10", requests)


if __name__ == "__main__":
    unittest.main()

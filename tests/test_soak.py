"""A short soak, seeds that once failed, and the checks on made-up evidence."""

import standins.common  # noqa: F401  # isort: skip

import subprocess
import sys
import unittest
from pathlib import Path
from types import SimpleNamespace

from soak.callers import EVENTS_PER_STREAM, SentRequest
from soak.checks import Observations, find_breaches
from soak.environment import Change
from soak.faults import Disturbance, PlannedStop, draw_faults
from soak.probes import Probe
from standins.engines import event_text
from standins.platform import Run

REPOSITORY = Path(__file__).resolve().parent.parent
# This seed once broke two promises: findings 19 and 20 in docs/FINDINGS.md.
SHORT_SEED = 7
SHORT_S = 8.0
TIMEOUT_S = 150.0


class ShortSoakTest(unittest.TestCase):
    def run_seed(self, seed, seconds):
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        done = subprocess.run(
            [*command, f"--seconds={seconds}"],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)

    def test_short_run(self):
        self.run_seed(SHORT_SEED, SHORT_S)


class FaultsTest(unittest.TestCase):
    def test_seed_decides(self):
        self.assertEqual(draw_faults(3, 10.0, 8), draw_faults(3, 10.0, 8))
        self.assertNotEqual(draw_faults(3, 10.0, 8), draw_faults(4, 10.0, 8))


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


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.environment = SimpleNamespace(
            runs=[],
            changes=[],
            pool=SimpleNamespace(breaches=[]),
            worker_by_id={
                "p-0": SimpleNamespace(zone="z-a"),
                "p-1": SimpleNamespace(zone="z-b"),
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

    def test_nothing_to_find(self):
        request = sent_request(status=200, content=b"ran at p-0")
        self.assertEqual([], self.check([request], [run_for(request)]))

    def test_second_run(self):
        request = sent_request(status=200, content=b"ran at p-0")
        runs = [run_for(request), run_for(request, "p-1")]
        self.assert_found("ran 2 times", [request], runs)

    def test_refusal_of_what_has_run(self):
        request = sent_request(status=503)
        self.assert_found("was answered 503", [request], [run_for(request)])

    def test_changed_request(self):
        request = sent_request(status=502)
        changed = run_for(request, body=b"sum=2")
        self.assert_found("ran as POST", [request], [changed])
        forged = run_for(request, workspace="forged")
        self.assert_found("ran for forged", [request], [forged])

    def test_answer_of_another_request(self):
        request = sent_request(status=200, content=b"ran at p-1")
        self.assert_found("has the answer", [request], [run_for(request)])

    def test_missing_event(self):
        request = sent_request("draft", status=200)
        numbers = [n for n in range(1, EVENTS_PER_STREAM + 1) if n != 3]
        request.events = [event_text(request.attempt_id, n) for n in numbers]
        self.assert_found("events are missing", [request], [run_for(request, "d0-0")])

    def test_short_stream_that_looks_complete(self):
        request = sent_request("draft", status=200, events=[event_text("draft-1", 1)])
        runs = [run_for(request, "d0-0")]
        self.assert_found("ended as complete after 1", [request], runs)

    def test_late_answer(self):
        request = sent_request(status=504, ended_at=103.0)
        self.assert_found("no final answer", [request])
        paused = Disturbance("node_pause", 101.0, 102.0, "front-0")
        self.assertEqual([], self.check([request], disturbances=[paused]))

    def test_work_for_a_leaving_worker(self):
        self.environment.changes = [Change(90.0, leaving="p-0")]
        request = sent_request(status=200, content=b"ran at p-0")
        self.environment.changes.append(Change(200.0, leaving="-p-0"))
        self.assert_found("too late at p-0", [request], [run_for(request)])

    def test_work_for_a_zone_that_is_out(self):
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

    def test_configuration_that_is_late_or_goes_back(self):
        self.environment.changes = [Change(10.0, version=1), Change(20.0, version=2)]
        front = node()
        late = Probe(front, 0.0, 2, 23.0, route_exists=False)
        self.assert_found("late with version 2", [], probes=[late])
        newer = Probe(front, 0.0, 2, 20.5, route_exists=True)
        older = Probe(front, 0.0, 1, 21.0, route_exists=True)
        self.assert_found("went back from version 2", [], probes=[newer, older])

    def test_request_that_a_stop_cut(self):
        request = sent_request(complete=False)
        stop = PlannedStop(request.node, 99.0, 101.0)
        self.assert_found(
            "cut by the stop", [request], [run_for(request)], stops=[stop]
        )

    def test_kind_that_is_not_served_any_more(self):
        requests = [
            sent_request("look", sent_at=950.0 + i, status=503) for i in range(9)
        ]
        for request in requests:
            request.ended_at = request.sent_at
        self.assert_found("look: 1 of 10", requests)


if __name__ == "__main__":
    unittest.main()

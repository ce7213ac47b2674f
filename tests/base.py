"""Shared base classes and helpers of the tests."""

import json
import re
import threading
import time
import unittest
from collections import Counter
from pathlib import Path

import urllib3

from standins.cluster import LocalCluster, VmSpec, wait_for
from standins.tokens import token_text

GOLD = Path(__file__).resolve().parent / "gold"
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TIDEWATER = (EXAMPLES / "tidewater.ini").read_text()
ENGINE = {"cold": 2, "warm": 8, "boot_s": 0.5, "token_s": 0.01}
SERVICE = {"cold": 4, "warm": 16, "boot_s": 0.5}
LOG_TAIL = 2000


def engine_vms(zones="abc", per_zone=3, **options) -> list[VmSpec]:
    """Return engine VMs, those of a zone in one fabric domain."""
    return [
        VmSpec(f"vm-{zone}{i}", zone, f"gulf-{zone}1", "engine", {**ENGINE, **options})
        for zone in zones
        for i in range(per_zone)
    ]


def service_vms(zones="ab", **options) -> list[VmSpec]:
    """Return VMs of the plain service, one in each zone."""
    return [
        VmSpec(f"svc-{zone}", zone, f"gulf-{zone}2", "service", {**SERVICE, **options})
        for zone in zones
    ]


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(token_text(prompt, offset) for offset in range(max_tokens))


def streamed_text(body: bytes) -> str:
    """Return the text of a whole streamed answer; fails if it is not whole."""
    events = body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        raise AssertionError(f"the stream did not end well: {events[-3:]}")
    texts = [json.loads(event.removeprefix("data: "))["text"] for event in events[:-2]]
    return "".join(texts)


class GoldTestCase(unittest.TestCase):
    """Compares texts with gold files."""

    maxDiff = None

    def assert_gold(self, name: str, text: str) -> None:
        path = GOLD / f"{name}.txt"
        self.assertEqual(path.read_text(), text)


class ClusterTestCase(GoldTestCase):
    """Runs each test on a cluster of its own."""

    vms = engine_vms() + service_vms()
    objects = TIDEWATER
    groups = 5
    options: dict = {}

    def setUp(self):
        self.cluster = LocalCluster(self.vms, **self.options)
        self.addCleanup(self.cluster.__exit__)
        self.cluster.__enter__()
        self.publish(self.objects)
        self.cluster.wait_serving(self.groups)

    def run(self, result=None):
        problems = len(result.failures) + len(result.errors)
        super().run(result)
        if len(result.failures) + len(result.errors) > problems:
            print(getattr(self, "logs", ""))

    def tearDown(self):
        parts = []
        for name, process in self.cluster.by_name.items():
            text = process.log.read_text()[-LOG_TAIL:]
            parts.append(f"--- {name} ({process.popen.poll()})\n{text}")
        self.logs = "\n".join(parts)

    def publish(self, text: str) -> int:
        status, answer = self.cluster.publish(text)
        self.assertEqual(200, status, answer)
        return answer["revision"]

    def wait_in_force(self, revision: int, timeout_s: float = 10.0) -> None:
        wait_for(
            lambda: self.cluster.in_force(revision), f"{revision} in force", timeout_s
        )

    def call(self, entry, route, document, key="", workspace="pilots", timeout=30.0):
        """Send a caller's request and return the answer."""
        headers = {"Idempotency-Key": key} if key else {}
        address = self.cluster.address(entry)
        path = f"/v1/{workspace}/{route}"
        return self.cluster.http.send("POST", address, path, document, headers, timeout)

    def groups_in_zone(self, zone: str) -> list[dict]:
        groups = self.cluster.status()["groups_by_name"].values()
        return [group for group in groups if group["zone"] == zone]

    def total(self, name: str) -> int:
        """Return a counter's sum over all backend servers."""
        return sum(
            self.cluster.counts(vm).get(name, 0)
            for vm in self.cluster.vm_by_name
            if self.cluster.by_name[vm].popen.poll() is None
        )


class Load:
    """Callers in threads that send one kind of request after the other.

    Parameters
    ----------
    test : ClusterTestCase
        Test whose cluster is called.
    route : str
        Route to call; ``draft`` is streamed.
    """

    def __init__(self, test, route, callers=6, max_tokens=20, entries=None):
        self.test = test
        self.route = route
        self.max_tokens = max_tokens
        self.entries = entries or test.cluster.entry_names
        self.outcomes: Counter[str] = Counter()
        self.problems: list[str] = []
        self.refusals_by_key: dict[str, str] = {}
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(i,)) for i in range(callers)
        ]

    def __enter__(self) -> "Load":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *details) -> None:
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def wait_served(self, more: int, timeout_s: float = 60.0) -> None:
        """Wait until so many more requests were served."""
        goal = self.outcomes["served"] + more
        wait_for(lambda: self.outcomes["served"] >= goal, f"{goal} served", timeout_s)

    def _run(self, caller: int) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            entry = self.entries[(caller + number) % len(self.entries)]
            try:
                self.outcomes[self._send(entry, f"{self.route}-{caller}-{number}")] += 1
            except (urllib3.exceptions.HTTPError, OSError, AssertionError) as error:
                self.outcomes["broken"] += 1
                self.problems.append(
                    f"{entry} {self.route}-{caller}-{number}: {error!r}"
                )

    def _send(self, entry: str, name: str) -> str:
        if self.route != "draft":
            answer = self.test.call(entry, self.route, {"pay": name}, key=name)
            return self._note(name, answer, answer.status == 200)
        document = {"prompt": f"draft {name}", "max_tokens": self.max_tokens}
        answer = self.test.call(entry, self.route, document)
        if answer.status != 200:
            return self._note(name, answer, False)
        text = streamed_text(answer.data)
        whole = text == expected_text(document["prompt"], self.max_tokens)
        return self._note(name, answer, whole)

    def _note(self, name: str, answer, served: bool) -> str:
        if served:
            return "served"
        problem = f"{name}: {answer.status} {answer.data[-300:]!r}"
        self.problems.append(problem)
        ran = re.search(rb'"ran": "(\w+)"', answer.data)
        self.refusals_by_key[name] = ran.group(1).decode() if ran else "?"
        time.sleep(0.02)
        return f"refused_{self.refusals_by_key[name]}"

"""Shared base classes and helpers of the tests."""

import unittest
from pathlib import Path

from standins.callers import Load, expected_text, streamed_text
from standins.cluster import LocalCluster, VmSpec, wait_for

__all__ = [
    "EXAMPLES",
    "ONE_COLD_REQUEST",
    "TIDEWATER",
    "ClusterTestCase",
    "GoldTestCase",
    "engine_vms",
    "expected_text",
    "service_vms",
    "streamed_text",
]

GOLD = Path(__file__).resolve().parent / "gold"
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TIDEWATER = (EXAMPLES / "tidewater.ini").read_text()
ONE_COLD_REQUEST = TIDEWATER.replace("cold_requests = 2", "cold_requests = 1")
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

    def load(self, route: str, callers: int = 6, **options) -> Load:
        """Return callers of a route, to be used in a ``with`` statement."""
        return Load(self.cluster, route, callers, **options)

    def groups_in_zone(self, zone: str) -> list[dict]:
        groups = self.cluster.status()["groups_by_name"].values()
        return [group for group in groups if group["zone"] == zone]

    def total_count(self, name: str) -> int:
        """Return a counter's sum over all backend servers."""
        return sum(
            self.cluster.counts(vm).get(name, 0)
            for vm in self.cluster.vm_by_name
            if self.cluster.by_name[vm].popen.poll() is None
        )

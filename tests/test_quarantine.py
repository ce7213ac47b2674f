"""Requests with a prompt part that crashes backend servers, sent to several nodes."""

import standins.common  # noqa: F401  # isort: skip

import time
import unittest
from unittest import mock

import eventlet

from poplarspar.coordination import announcements
from poplarspar.platform.headers import PROMPT_PARTS
from standins.platform import PlainWorker
from tests.test_platform import NodeTestCase, wait_until

NODES = 3
BACKENDS = 8
# The bound on requests with the part begins this long after the fifth crash.
STABLE_WINDOW_S = 3.0
ALLOWED_AFTERWARDS = 3


class CrashingBackend(PlainWorker):
    """Crashes on each request with the prompt part `bad0` or the body `bad`."""

    crashes: list[float] = []

    def __init__(self, id, store):
        self._store = store
        self._started_ms = 1
        super().__init__(id)

    def register(self):
        entry = self.entry("ledger", born=self._started_ms)
        self._store.put(f"servers/{self.id}", entry)

    def handle(self, request):
        has_bad_part = "bad0" in request.headers.get(PROMPT_PARTS, "")
        if has_bad_part or request.body == b"bad":
            self.crashes.append(time.monotonic())
            self.answer_modes = ["lost"]
            self._started_ms += 1
            self.register()
        return super().handle(request)


class CrashingBackendTestCase(NodeTestCase):
    backend_count = BACKENDS

    def setUp(self):
        super().setUp()
        self.nodes = [self.node, *(self.start_node() for _ in range(NODES - 1))]
        for backend in self.workers:
            self.store.remove(f"servers/{backend.id}")
        self.workers = [
            CrashingBackend(f"i-c{index}", self.store)
            for index in range(self.backend_count)
        ]
        CrashingBackend.crashes = []
        for backend in self.workers:
            self.addCleanup(backend.close)
            backend.register()
        listed = {backend.id for backend in self.workers}
        for node in self.nodes:
            # A node uses the removed backend servers until the store has answered for a
            # while; an answer of theirs with the part would clear it.
            wait_until(
                lambda node=node: (
                    node.is_ready()
                    and set(node._fleet_updater.fleet.backends_by_id) == listed
                ),
                "node lists the crashing backend servers only",
            )
        wait_until(lambda: self.send_parts(0, "aa0") == 200, "backends are used")

    def send_parts(self, number, *parts, path="/look/1", body=b""):
        """Send a request with shared prompt parts to a node; return the status."""
        prefix = ",".join(f"{part}:40" for part in (*parts, f"f{number:x}"))
        node = self.nodes[number % NODES]
        return self.send(
            path, node=node, body=body, Attempt_Id=f"a{number}", Prompt_Prefix=prefix
        ).status


class CrashingPromptPartTest(CrashingBackendTestCase):
    def crash_five(self):
        """Send requests with the harmful part until five backend servers crashed."""
        for number in range(40):
            self.send_parts(number, "aa0", "bad0")
            if len(CrashingBackend.crashes) >= 5:
                return
            eventlet.sleep(0.35)

    # Guards against nodes that each learn anew that a prompt part crashes backends.
    def test_crashing_part_stops_reaching_backend_servers_at_all_nodes(self):
        self.crash_five()
        since = time.monotonic()
        statuses = []
        number = 100
        while time.monotonic() < since + STABLE_WINDOW_S + 3.0:
            statuses.append(self.send_parts(number, "ab0", "bad0"))
            number += 1
            eventlet.sleep(0.2)
        late = [at for at in CrashingBackend.crashes if at > since + STABLE_WINDOW_S]
        self.assertLessEqual(len(late), ALLOWED_AFTERWARDS)
        self.assertEqual([503], sorted(set(statuses[-10:])))

    # Guards against refusing callers whose prompts share only sound parts.
    def test_sound_requests_with_the_same_first_part_and_caller_are_served(self):
        self.crash_five()
        eventlet.sleep(2.0)
        for number in range(100, 112):
            self.send_parts(number, "aa0", "bad0")
            self.assertEqual(200, self.send_parts(number + 20, "aa0", "cc0"))
            self.assertEqual(200, self.send_parts(number + 40, "aa0"))


class CrashingRequestTest(CrashingBackendTestCase):
    def send_until_late(self, path, *parts):
        """Repeat a harmful request among sound ones; return the late crashes.

        Late are those after `STABLE_WINDOW_S` from the third crash on.
        """
        ends_at = time.monotonic() + 30.0
        number = 100
        crashes = CrashingBackend.crashes
        while len(crashes) < 3 or time.monotonic() < crashes[2] + STABLE_WINDOW_S + 4.0:
            self.assertLess(time.monotonic(), ends_at, "fewer than three crashes")
            status = self.send_parts(number, *parts, path=path, body=b"bad")
            self.assertNotEqual(200, status)
            sound = self.send_parts(number + 1, *parts, path=path, body=b"%d" % number)
            if len(crashes) >= 3 and time.monotonic() > crashes[2] + STABLE_WINDOW_S:
                self.assertEqual((503, 200), (status, sound))
            number += 5
            eventlet.sleep(0.1)
        return [at for at in crashes if at > crashes[2] + STABLE_WINDOW_S]

    # Guards against a request that crashes backend servers without end, since sound
    # requests with the same prompt parts are answered.
    def test_crashing_request_is_refused_and_others_with_its_parts_are_served(self):
        late = self.send_until_late("/look/1", "aa0")
        self.assertLessEqual(len(late), ALLOWED_AFTERWARDS)

    # Guards against the same where requests have no parts, and may not be repeated.
    def test_crashing_request_without_parts_is_refused(self):
        late = self.send_until_late("/pay/1")
        self.assertLessEqual(len(late), ALLOWED_AFTERWARDS)


class SmallPoolTest(CrashingRequestTest):
    """A pool that one request and its retries crash as a whole."""

    backend_count = 3


class LargeFleetTestCase(CrashingBackendTestCase):
    """The planner reads the evidence for the other nodes."""

    def setUp(self):
        patch = mock.patch.object(announcements, "MAX_NODES_READING", 1)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
        wait_until(lambda: any(map(self.plans, self.nodes)), "a node plans")
        (planner,) = filter(self.plans, self.nodes)
        # Without a service of models, the planner has nothing to publish by itself.
        planner._planning._plan_exchange.publish((), ())
        for node in self.nodes:
            if node is not planner:
                wait_until(
                    lambda node=node: node._announcements.conviction_delay_s() is None,
                    "the other nodes follow",
                )

    @staticmethod
    def plans(node):
        return node._planning.may_plan()


class LargeFleetPartTest(LargeFleetTestCase, CrashingPromptPartTest):
    """Harmful parts in a large fleet."""


class LargeFleetRequestTest(LargeFleetTestCase, CrashingRequestTest):
    """Harmful requests in a large fleet."""


if __name__ == "__main__":
    unittest.main()

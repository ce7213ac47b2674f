"""Probes that show which configuration versions may be in force at each node."""

import time
from dataclasses import dataclass

import eventlet

from poplarspar.exceptions import TransportError
from poplarspar.transport.http import HttpAnswer, send_request
from soak.environment import HOST, KEYS, Environment
from soak.nodes import Node
from soak.versions import (
    KEY_ROUTE,
    KEY_VERSIONS,
    LEDGER,
    MOVED_ROUTE,
    SPLIT_ROUTE,
    VAULT,
    KeyKnown,
    Outcome,
    OwnRoute,
    RanAt,
    version,
)

PERIOD_S = 0.3
TIMEOUT_S = 0.5
OK = 200
UNAUTHORIZED = 401
ROUTE_UNKNOWN = 404
# A node without a configuration or backend servers answers 503 for every route.
UNAVAILABLE = 503
SERVICE_BY_ANSWER = {b"ran at p": LEDGER, b"ran at q": VAULT}


@dataclass(frozen=True)
class Probe:
    """Outcome of a request that not all configuration versions allow.

    Attributes
    ----------
    process_started_at : float
        Start of the node process that answered; a restarted node may answer with an
        older version again.
    """

    node: Node
    process_started_at: float
    outcome: Outcome
    sent_at: float
    answered_at: float


class Prober:
    """Probes each node for what the newest versions have added, moved and dropped."""

    def __init__(self, nodes: list[Node], environment: Environment) -> None:
        self._environment = environment
        self.probes: list[Probe] = []
        self._tasks = [eventlet.spawn(self._probe_forever, node) for node in nodes]

    def close(self) -> None:
        """Stop all probes."""
        for task in self._tasks:
            task.kill()

    def _probe_forever(self, node: Node) -> None:
        while True:
            newest = self._environment.version
            for number in range(newest, max(0, newest - KEY_VERSIONS - 1), -1):
                if node.in_rotation:
                    self._probe_own_route(node, number)
                    self._probe_key(node, version(number).keys[-1])
            for route in (MOVED_ROUTE, SPLIT_ROUTE):
                if node.in_rotation:
                    self._probe_service(node, route)
            eventlet.sleep(PERIOD_S)

    def _probe_own_route(self, node: Node, number: int) -> None:
        sent_at, started_at = time.monotonic(), node.started_at
        answer = self._send(node, version(number).own_route)
        if answer is not None and answer.status != UNAVAILABLE:
            outcome = OwnRoute(number, answer.status != ROUTE_UNKNOWN)
            self._record(node, started_at, outcome, sent_at)

    def _probe_key(self, node: Node, key: str) -> None:
        sent_at, started_at = time.monotonic(), node.started_at
        answer = self._send(node, KEY_ROUTE, key)
        if answer is not None and answer.status in (OK, UNAUTHORIZED):
            outcome = KeyKnown(key, answer.status == OK)
            self._record(node, started_at, outcome, sent_at)

    def _probe_service(self, node: Node, route: str) -> None:
        sent_at, started_at = time.monotonic(), node.started_at
        answer = self._send(node, route)
        if answer is not None and answer.status == OK:
            service = SERVICE_BY_ANSWER[answer.body[:8]]
            self._record(node, started_at, RanAt(route, service), sent_at)

    def _send(self, node: Node, route: str, key: str = "") -> HttpAnswer | None:
        """Return the answer to a probe, None without one.

        The checks of callers' requests cover a node that doesn't answer.
        """
        key = key or next(iter(KEYS.values()))
        headers = {
            "Host": HOST,
            "Attempt-Id": f"probe-{time.monotonic()}",
            "Authorization": f"Token {key}",
        }
        try:
            return send_request(
                node.address,
                "GET",
                f"/{route}/",
                read_timeout_s=TIMEOUT_S,
                headers=headers,
            )
        except TransportError:
            return None

    def _record(
        self, node: Node, started_at: float, outcome: Outcome, sent_at: float
    ) -> None:
        self.probes.append(Probe(node, started_at, outcome, sent_at, time.monotonic()))

"""Requests that show which configuration is in force at each node."""

import time
from dataclasses import dataclass

import eventlet

from poplarspar.exceptions import TransportError
from poplarspar.transport.http import send_request
from soak.environment import HOST, KEYS, Environment
from soak.nodes import Node

PERIOD_S = 0.3
TIMEOUT_S = 0.5
ROUTE_UNKNOWN = 404
# A node without any configuration, or without workers, says nothing of routes.
UNAVAILABLE = 503


@dataclass(frozen=True)
class Probe:
    """A question for the route of a version, and whether it was there."""

    node: Node
    process_started_at: float
    version: int
    sent_at: float
    route_exists: bool


class Prober:
    """Asks each node for the route of the newest version and of the one before."""

    def __init__(self, nodes: list[Node], environment: Environment) -> None:
        self._environment = environment
        self.probes: list[Probe] = []
        self._tasks = [eventlet.spawn(self._probe_forever, node) for node in nodes]

    def close(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.kill()

    def _probe_forever(self, node: Node) -> None:
        while True:
            newest = self._environment.version
            for version in (newest, newest - 1):
                if version > 0 and node.in_rotation:
                    self._probe(node, version)
            eventlet.sleep(PERIOD_S)

    def _probe(self, node: Node, version: int) -> None:
        sent_at, process_started_at = time.monotonic(), node.started_at
        try:
            response = send_request(
                node.address,
                "GET",
                f"/v{version}/",
                read_timeout_s=TIMEOUT_S,
                headers={
                    "Host": HOST,
                    "Attempt-Id": f"probe-{sent_at}",
                    "Authorization": f"Token {next(iter(KEYS.values()))}",
                },
            )
        except TransportError:
            # Whether it answers at all is checked elsewhere.
            return
        if response.status != UNAVAILABLE:
            route_exists = response.status != ROUTE_UNKNOWN
            self.probes.append(
                Probe(node, process_started_at, version, sent_at, route_exists)
            )

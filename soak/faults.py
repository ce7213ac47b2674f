"""Faults of a soak: drawn from a seed, in series and overlapping."""

import random
import time
from dataclasses import dataclass

import eventlet

from soak.environment import ZONES, Surroundings
from soak.nodes import Node
from standins.engines import ModelWorker

# Times of pauses and outages, in seconds: around the node's time-outs and leases.
SHORTEST_S = 0.3
LONGEST_S = 4.0
RESTART_S = 0.4
DELAY_S = 0.15
PATH_MODES = ("freeze", "drop_up", "drop_down", "cut", "forget")
LOST_ANSWERS = ("lost", "broken", "unsigned", "slow", "shed", "misdirected")


@dataclass(frozen=True)
class Fault:
    """One planned fault.

    Attributes
    ----------
    at, for_s : float
        Seconds from the beginning of the faults.
    planned : bool
        Whether operators bring it about, so that it excuses nothing.
    """

    kind: str
    at: float
    for_s: float
    target: int
    planned: bool


@dataclass(frozen=True)
class Span:
    """A time in which something was wrong; no node for what concerns them all."""

    kind: str
    begin: float
    end: float
    node: str = ""

    def concerns(self, node: str) -> bool:
        """Return whether it disturbed a node."""
        return self.node in ("", node)


@dataclass(frozen=True)
class Stop:
    """A planned stop of a node, from SIGTERM to its end."""

    node: Node
    begin: float
    end: float


UNPLANNED = (
    "node_kill",
    "node_pause",
    "store_down",
    "store_loses_answers",
    "store_forgets",
    "store_path",
    "store_slow",
    "worker_dark",
    "worker_path",
    "answers_lost",
    "herd_kill",
)
PLANNED = ("node_stop", "node_reload", "publish", "evacuate", "worker_drain")


def draw_faults(seed: int, length_s: float, count: int) -> list[Fault]:
    """Return the faults of a seed, in order."""
    chance = random.Random(seed)
    faults = []
    for _ in range(count):
        planned = chance.random() < 0.4
        # Whatever happens often to others comes twice in a row at times.
        kind = chance.choice(PLANNED if planned else UNPLANNED)
        at = chance.uniform(0.0, length_s)
        for _ in range(chance.choice((1, 1, 2))):
            for_s = chance.uniform(SHORTEST_S, LONGEST_S)
            faults.append(Fault(kind, at, for_s, chance.randrange(1000), planned))
            at += chance.uniform(0.1, 2.0)
    return sorted(faults, key=lambda fault: fault.at)


class Injector:
    """Brings faults about and notes when each disturbed what."""

    def __init__(self, nodes: list[Node], surroundings: Surroundings, seed: int):
        self._nodes = nodes
        self._outside = surroundings
        self._chance = random.Random(seed + 1)
        self.spans: list[Span] = []
        self.stops: list[Stop] = []
        self.lines: list[str] = []

    def run(self, faults: list[Fault]) -> None:
        """Bring about all faults, each in its own task, and wait for their ends."""
        began_at = time.monotonic()
        tasks = []
        for fault in faults:
            eventlet.sleep(max(0.0, began_at + fault.at - time.monotonic()))
            self.lines.append(f"{fault.at:6.2f} {fault.kind} for {fault.for_s:.2f} s")
            tasks.append(eventlet.spawn(self._bring_about, fault))
        for task in tasks:
            task.wait()

    def _bring_about(self, fault: Fault) -> None:
        begin = time.monotonic()
        node = self._nodes[fault.target % len(self._nodes)]
        concerned = self._act(fault, node)
        if not fault.planned:
            self.spans.append(Span(fault.kind, begin, time.monotonic(), concerned))

    def _act(self, fault: Fault, node: Node) -> str:
        """Bring a fault about and return the name of the node, if it is about one."""
        outside = self._outside
        match fault.kind:
            case "node_kill":
                self._kill([node])
                return node.name
            case "herd_kill":
                self._kill(self._nodes)
            case "node_pause":
                if node.running:
                    node.pause(fault.for_s)
                return node.name
            case "node_stop":
                self._stop(node)
            case "node_reload":
                node.reload()
            case "store_down":
                self._while_set(outside.store, "down", fault.for_s)
            case "store_loses_answers":
                self._while_set(outside.store, "lose_answers", fault.for_s)
            case "store_forgets":
                outside.store.forget_history()
            case "store_path" | "store_slow":
                self._harm_path(fault, node.store_path)
                return node.name
            case "worker_path":
                self._harm_path(fault, self._pick_worker(fault)[1].path)
            case "worker_dark":
                self._darken(fault)
            case "answers_lost":
                self._lose_answers(fault)
            case "publish":
                outside.publish()
            case "evacuate":
                zone = ZONES[fault.target % len(ZONES)]
                outside.evacuate(zone)
                eventlet.sleep(fault.for_s)
                outside.take_back(zone)
            case "worker_drain":
                self._replace(fault)
        return ""

    def _kill(self, nodes: list[Node]) -> None:
        victims = [node for node in nodes if node.running and not node.stopping_since]
        for node in victims:
            node.kill()
        eventlet.sleep(RESTART_S)
        for node in victims:
            if not node.running:
                node.start()

    def _stop(self, node: Node) -> None:
        if node.running and node.stopping_since is None:
            begin = time.monotonic()
            node.terminate()
            self.stops.append(Stop(node, begin, time.monotonic()))
            node.start()

    @staticmethod
    def _while_set(target: object, name: str, for_s: float) -> None:
        setattr(target, name, True)
        eventlet.sleep(for_s)
        setattr(target, name, False)

    def _harm_path(self, fault: Fault, path: str) -> None:
        if fault.kind == "store_slow":
            self._outside.set_path(path, "pass", DELAY_S)
        else:
            mode = PATH_MODES[fault.target % len(PATH_MODES)]
            self._outside.set_path(path, mode)
        eventlet.sleep(fault.for_s)
        self._outside.set_path(path, "pass")

    def _pick_worker(self, fault: Fault, plain: bool | None = None):
        found = [
            (id, member)
            for id, member in sorted(self._outside.member_by_id.items())
            if member.silent_since is None
            and (plain is None or plain != isinstance(member.server, ModelWorker))
        ]
        return found[fault.target % len(found)]

    def _darken(self, fault: Fault) -> None:
        id, _ = self._pick_worker(fault)
        self._outside.darken(id)
        eventlet.sleep(fault.for_s)
        self._outside.restart(id)

    def _replace(self, fault: Fault) -> None:
        id, member = self._pick_worker(fault)
        if not member.draining:
            self._outside.drain(id)
            eventlet.sleep(max(2.5, fault.for_s))
            self._outside.darken(id)
            eventlet.sleep(1.0)
            self._outside.restart(id)

    def _lose_answers(self, fault: Fault) -> None:
        _, member = self._pick_worker(fault, plain=True)
        ends_at = time.monotonic() + fault.for_s
        while time.monotonic() < ends_at:
            member.server.answers = [self._chance.choice(LOST_ANSWERS)]
            eventlet.sleep(0.1)
        member.server.answers = []

"""Faults of a soak: drawn from a seed, repeated and overlapping."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from poplarspar.coordination.session import PLANNER_KEY
from soak.environment import ZONES, Environment
from soak.nodes import Node
from soak.versions import VAULT
from standins.engines import ModelWorker

# Faults last shorter and longer than the node's time-outs and leases.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0
RESTART_DELAY_S = 0.4
PATH_DELAY_S = 0.15
# Printed with all its digits.
LIMIT_PER_S = 10 / 3
PAUSES_S = (0.3, 1.5, 4.0)
PAUSING_S = 1.0
# What backend servers write of a stream before they crash on a harmful part.
CRASH_WRITES = (
    "",
    "id: {number}\nda",
    "id: {number}\ndata: {attempt}.{number}\n\nid",
)
LATE_ORDERS = 0.35
LATE_S = (1.0, 6.0)
CUT_S = 1.2
# Watches report nothing for so long; then the store drops its history and cuts them.
OMIT_S = 1.0
HARMFUL_KINDS = ("look", "draft", "pay")
PATH_MODES = ("freeze", "drop_up", "drop_down", "cut", "forget")
ANSWER_FAULTS = (
    "lost",
    "broken",
    "unsigned",
    "slow",
    "shed",
    "misdirected",
    "earlier_refusal",
)


@dataclass(frozen=True)
class Fault:
    """One scheduled fault.

    Attributes
    ----------
    starts_at_s : float
        Seconds after the start of the fault period.
    duration_s : float
        Length of the fault in seconds.
    target : int
        Number that selects the node, backend server, zone or path mode.
    planned : bool
        Whether the fault is an operator's action. The checks excuse no breach
        for such an action.
    """

    kind: str
    starts_at_s: float
    duration_s: float
    target: int
    planned: bool


@dataclass(frozen=True)
class Disturbance:
    """Duration of one unplanned fault; `node` is empty if it affected all nodes."""

    kind: str
    begin: float
    end: float
    node: str = ""

    def affects(self, node: str) -> bool:
        """Return whether the fault affected a node."""
        return self.node in ("", node)


@dataclass(frozen=True)
class PlannedStop:
    """A planned stop of a node, from SIGTERM to the exit of its process."""

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
VERSION_FAULTS = (
    "connections_silent",
    "connection_silent",
    "planner_kill",
    "planner_pause",
    "watches_omit",
)
PLANNED = ("node_stop", "node_reload", "publish", "evacuate", "worker_drain")


def draw_faults(seed: int, length_s: float, count: int) -> list[Fault]:
    """Return the faults of a seed, ordered by start time."""
    rng = random.Random(seed)
    faults = []
    for _ in range(count):
        planned = rng.random() < 0.4
        # Some faults occur twice in a row, as they often do in practice.
        kind = rng.choice(PLANNED if planned else UNPLANNED)
        starts_at_s = rng.uniform(0.0, length_s)
        for _ in range(rng.choice((1, 1, 2))):
            duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            faults.append(
                Fault(kind, starts_at_s, duration_s, rng.randrange(1000), planned)
            )
            starts_at_s += rng.uniform(0.1, 2.0)
    return sorted(faults, key=lambda fault: fault.starts_at_s)


def draw_troubles(seed: int, length_s: float) -> list[Fault]:
    """Return faults of requests and backend servers for most of the run, and restores.

    They are drawn apart from the other faults, which stay the same for a seed. All but
    the restores of the store and the late orders, beside which backend servers are cut
    off for a moment, excuse nothing, so they count as planned.
    """
    rng = random.Random(seed + 2)
    return (
        [
            Fault(
                kind,
                rng.uniform(0.0, length_s / 4),
                rng.uniform(0.6, 0.9) * length_s,
                rng.randrange(1000),
                planned=True,
            )
            for kind in (
                "harmful_part",
                "limit",
                "repeated_reports",
                "slow_streams",
                "harmful_request",
                "pauses",
            )
        ]
        + [
            Fault(
                "store_restored",
                rng.uniform(0.2, 0.9) * length_s,
                rng.uniform(0.1, 1.5),
                rng.randrange(1000),
                planned=False,
            )
            for _ in range(rng.choice((1, 2)))
        ]
        + [
            Fault(
                kind,
                rng.uniform(0.1, 0.8) * length_s,
                rng.uniform(2.0, MAX_FAULT_S),
                rng.randrange(1000),
                planned=kind == "watches_interrupted",
            )
            for kind in ("late_orders", "late_orders", "watches_interrupted")
        ]
    )


def draw_version_faults(seed: int, length_s: float) -> list[Fault]:
    """Return faults that strike while versions of the configuration follow each other.

    They are drawn apart from the other faults, which stay the same for a seed.
    """
    rng = random.Random(seed + 3)
    faults = []
    starts_at_s = rng.uniform(0.0, 1.0)
    while starts_at_s < length_s:
        kinds = rng.sample(VERSION_FAULTS, rng.choice((1, 2)))
        for kind in kinds:
            duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            faults.append(
                Fault(kind, starts_at_s, duration_s, rng.randrange(1000), planned=False)
            )
        for _ in range(rng.choice((1, 2, 4))):
            starts_at_s += rng.uniform(0.1, 1.2)
            faults.append(
                Fault("publish", starts_at_s, 0.0, rng.randrange(1000), planned=True)
            )
        # The nodes have time to settle, and to be late, before the next round.
        starts_at_s += rng.uniform(3.0, 6.0)
    return sorted(faults, key=lambda fault: fault.starts_at_s)


class Injector:
    """Injects faults and records the disturbance that each one causes."""

    def __init__(
        self,
        nodes: list[Node],
        environment: Environment,
        seed: int,
        burst: Callable[[int, float], None],
    ):
        self._nodes = nodes
        self._burst = burst
        self._environment = environment
        self._rng = random.Random(seed + 1)
        self.disturbances: list[Disturbance] = []
        self.stops: list[PlannedStop] = []
        self.lines: list[str] = []

    def run(self, faults: list[Fault]) -> None:
        """Inject all faults, each in its own task, and wait until all have ended."""
        began_at = time.monotonic()
        tasks = []
        for fault in faults:
            eventlet.sleep(max(0.0, began_at + fault.starts_at_s - time.monotonic()))
            self.lines.append(
                f"{fault.starts_at_s:6.2f} {fault.kind} for {fault.duration_s:.2f} s"
            )
            tasks.append(eventlet.spawn(self._inject, fault))
        for task in tasks:
            task.wait()

    def _inject(self, fault: Fault) -> None:
        begin = time.monotonic()
        node = self._nodes[fault.target % len(self._nodes)]
        affected = self._apply(fault, node)
        if not fault.planned:
            self.disturbances.append(
                Disturbance(fault.kind, begin, time.monotonic(), affected)
            )

    def _apply(self, fault: Fault, node: Node) -> str:
        """Apply a fault; return the affected node's name, empty if it affects all."""
        environment = self._environment
        match fault.kind:
            case "node_kill":
                self._kill([node])
                return node.name
            case "herd_kill":
                self._kill(self._nodes)
            case "connections_silent":
                for each in self._nodes:
                    environment.set_path(each.store_address, "forget")
            case "connection_silent":
                environment.set_path(node.store_address, "forget")
                return node.name
            case "planner_kill":
                planner = self._planner(node)
                self._kill([planner])
                return planner.name
            case "planner_pause":
                planner = self._planner(node)
                if planner.running:
                    planner.pause(fault.duration_s)
                return planner.name
            case "watches_omit":
                environment.store.omit_changes(OMIT_S)
                eventlet.sleep(OMIT_S)
            case "node_pause":
                if node.running:
                    node.pause(fault.duration_s)
                return node.name
            case "node_stop":
                self._stop(node)
            case "node_reload":
                node.reload()
            case "store_down":
                self._set_for(environment.store, "down", fault.duration_s)
            case "store_loses_answers":
                self._set_for(environment.store, "lose_answers", fault.duration_s)
            case "store_forgets":
                environment.store.forget_history()
            case "store_path" | "store_slow":
                self._disturb_path(fault, node.store_address)
                return node.name
            case "worker_path":
                self._disturb_path(fault, self._choose_worker(fault)[1].path)
            case "worker_dark":
                self._silence(fault)
            case "answers_lost":
                self._disturb_answers(fault)
            case "publish":
                environment.publish()
            case "evacuate":
                zone = ZONES[fault.target % len(ZONES)]
                environment.evacuate(zone)
                eventlet.sleep(fault.duration_s)
                environment.restore_zone(zone)
            case "harmful_part":
                written = CRASH_WRITES[fault.target % len(CRASH_WRITES)]
                environment.begin_harm(f"bad{fault.target}", written)
                eventlet.sleep(fault.duration_s)
                environment.end_harm()
            case "harmful_request":
                kind = HARMFUL_KINDS[fault.target % len(HARMFUL_KINDS)]
                environment.begin_harmful_request(kind, fault.target)
                eventlet.sleep(fault.duration_s)
                environment.end_harmful_request()
            case "pauses":
                self._let_pause(fault)
            case "burst":
                self._burst(fault.target, fault.duration_s)
            case "store_restored":
                environment.restore_store(2.0 + fault.target % 8, fault.duration_s)
            case "limit":
                id, _ = self._choose_worker(fault, plain=True)
                limit = environment.begin_limit(id, LIMIT_PER_S)
                eventlet.sleep(fault.duration_s)
                environment.end_limit(limit)
            case "repeated_reports":
                server = self._choose_worker(fault, plain=False)[1].server
                self._set_for(server, "repeats_reports", fault.duration_s)
            case "slow_streams":
                server = self._choose_worker(fault, plain=False)[1].server
                self._set_for(server, "slows_streams", fault.duration_s)
            case "late_orders":
                self._delay_orders(fault)
            case "watches_interrupted":
                environment.store.interrupt_watches()
                eventlet.sleep(fault.duration_s)
                environment.store.interrupt_watches()
            case "worker_drain":
                self._drain_and_restart(fault)
        return ""

    def _planner(self, default: Node) -> Node:
        """Return the node that holds the planner's key, or another without one."""
        name = self._environment.store.text(PLANNER_KEY).partition(".")[0]
        return next((node for node in self._nodes if node.name == name), default)

    def _kill(self, nodes: list[Node]) -> None:
        killed = [node for node in nodes if node.running and not node.stopping_since]
        for node in killed:
            node.kill()
        eventlet.sleep(RESTART_DELAY_S)
        for node in killed:
            if not node.running:
                node.start()

    def _stop(self, node: Node) -> None:
        if node.running and node.stopping_since is None:
            begin = time.monotonic()
            node.terminate()
            self.stops.append(PlannedStop(node, begin, time.monotonic()))
            node.start()

    @staticmethod
    def _set_for(target: object, name: str, duration_s: float) -> None:
        setattr(target, name, True)
        eventlet.sleep(duration_s)
        setattr(target, name, False)

    def _disturb_path(self, fault: Fault, path: str) -> None:
        if fault.kind == "store_slow":
            self._environment.set_path(path, "pass", PATH_DELAY_S)
        else:
            mode = PATH_MODES[fault.target % len(PATH_MODES)]
            self._environment.set_path(path, mode)
        eventlet.sleep(fault.duration_s)
        self._environment.set_path(path, "pass")

    def _choose_worker(self, fault: Fault, plain: bool | None = None):
        """Return the id and the backend server of a fault, once any is running."""
        while not (candidates := self._running_workers(plain)):
            eventlet.sleep(0.1)
        return candidates[fault.target % len(candidates)]

    def _running_workers(self, plain: bool | None) -> list:
        return [
            (id, worker)
            for id, worker in sorted(self._environment.worker_by_id.items())
            if worker.silent_since is None
            and worker.service != VAULT
            and (plain is None or plain != isinstance(worker.server, ModelWorker))
        ]

    def _silence(self, fault: Fault) -> None:
        id, _ = self._choose_worker(fault)
        self._environment.silence(id)
        eventlet.sleep(fault.duration_s)
        self._environment.restart(id)

    def _drain_and_restart(self, fault: Fault) -> None:
        id, worker = self._choose_worker(fault)
        if not worker.draining:
            self._environment.drain(id)
            eventlet.sleep(max(2.5, fault.duration_s))
            self._environment.silence(id)
            eventlet.sleep(1.0)
            self._environment.restart(id)

    def _delay_orders(self, fault: Fault) -> None:
        """Delay orders, and cut members of open groups off from all nodes in turn."""
        pool = self._environment.pool
        ends_at = time.monotonic() + fault.duration_s
        pool.late_share, pool.late_s = LATE_ORDERS, LATE_S
        while time.monotonic() < ends_at:
            members = {
                id for key in pool.serving() for id in pool.head(key).members[1:]
            }
            path = self._environment.worker_by_id[
                self._rng.choice(sorted(members) or sorted(pool.by_id))
            ].path
            self._environment.set_path(path, "freeze")
            eventlet.sleep(CUT_S)
            self._environment.set_path(path, "pass")
        pool.late_share = 0.0

    def _let_pause(self, fault: Fault) -> None:
        """Let a plain backend server refuse all requests for some time, in turns."""
        _, worker = self._choose_worker(fault, plain=True)
        ends_at = time.monotonic() + fault.duration_s
        while time.monotonic() < ends_at:
            worker.server.pause_s = self._rng.choice(PAUSES_S)
            eventlet.sleep(PAUSING_S)
            worker.server.pause_s = None
            eventlet.sleep(PAUSING_S)

    def _disturb_answers(self, fault: Fault) -> None:
        _, worker = self._choose_worker(fault, plain=True)
        ends_at = time.monotonic() + fault.duration_s
        while time.monotonic() < ends_at:
            worker.server.answer_modes = [self._rng.choice(ANSWER_FAULTS)]
            eventlet.sleep(0.1)
        worker.server.answer_modes = []

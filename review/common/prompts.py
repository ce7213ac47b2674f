"""Prompts with a part that crashes workers: deployment, clients and the check.

The check is the rule BUDGET: of the requests with such a part, at most three reach
workers that machines in touch send later than the stable window after the fifth crash.
"""

import standins.common  # noqa: F401  # isort: skip

import itertools
import os
import shutil
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import eventlet

import soak.environment
from poplarspar.state.serving import EngineModel
from poplarspar.transport.server import Request, Response
from review.common.nodes import (
    STABLE_WINDOW_S,
    NodeProcess,
    loopback_prefix,
    wait_until,
)
from soak.environment import Environment
from standins.engines import ModelWorker
from standins.pool import small_engine

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODE_COUNT = 3
ZONES = ("z-a", "z-b", "z-c")
PART = "bad0"
SOUND_PER_S = 6.0
EVENTS = 20
TIMEOUT_S = 5.0
CRASHES_BEFORE_BOUND = 5
ALLOWED = 3
MODELS = ("m0", "m1")
PATHS = {"m0": "draft", "m1": "explain"}
GROUPS_AT_START = 12
MISDIRECTED = 421


@dataclass
class Sent:
    """One request of a client and its outcome."""

    id: str
    node: str
    model: str
    parts: tuple[str, ...]
    at: float
    status: int = 0
    events: int = 0


class RecordingWorker(ModelWorker):
    """A model worker that records when requests of clients reach it."""

    arrivals: list[tuple[str, float]] = []

    def handle(self, request: Request) -> Response:
        """Answer a request for a report, an order or a caller's request."""
        at = time.monotonic()
        response = super().handle(request)
        if "Attempt-Id" in request.headers and response.status != MISDIRECTED:
            self.arrivals.append((request.headers["Attempt-Id"], at))
        return response


def start_environment(environment_type: type[Environment]) -> Environment:
    """Return a store and 54 model workers in domains of nine, as on the sheets."""
    module = soak.environment
    module.ENGINE = replace(
        small_engine(slots=13),
        models_by_name={
            "m0": EngineModel("m0", 4, 1.0, 0.57, 2.0, 0.2),
            "m1": EngineModel("m1", 3, 0.6, 0.43, 1.5, 0.15),
        },
    )
    module.DOMAINS = {f"d{index}": 9 for index in range(6)}
    module.ZONES = ZONES * 2
    module.ModelWorker = RecordingWorker
    return environment_type()


class Clients:
    """Clients that send each request on a connection of its own, to each node in turn.

    They send no request again.

    Attributes
    ----------
    environment : Environment
        Store and workers of the case.
    """

    environment: Environment

    def __init__(self, nodes: list[NodeProcess]) -> None:
        self._nodes = itertools.cycle(nodes)
        self._numbers = itertools.count(1)
        self.sent: list[Sent] = []

    def send(self, model: str, part: str = "") -> None:
        """Send one request; a part stands between the shared one and its own."""
        number = next(self._numbers)
        node = next(self._nodes)
        first, own = f"a{number % 4}", f"f{number:x}"
        parts = (first, part, own) if part else (first, own)
        request = Sent(f"r{number}", node.name, model, parts, time.monotonic())
        self.sent.append(request)
        eventlet.spawn(self._exchange, request, node.address)

    def send_sound(self) -> None:
        """Send sound requests without end."""
        for model in itertools.cycle(MODELS):
            self.send(model)
            eventlet.sleep(1.0 / SOUND_PER_S)

    @staticmethod
    def _exchange(request: Sent, address: str) -> None:
        host, port = address.split(":")
        connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        headers = {
            "Host": soak.environment.HOST,
            "Attempt-Id": request.id,
            "Authorization": "Token key-1",
            "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
            "Model": request.model,
            "Token-Count": f"120,{EVENTS}",
            "Prompt-Prefix": ",".join(f"{part}:40" for part in request.parts),
        }
        path = f"/{PATHS[request.model]}/{request.id}"
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            request.status = response.status
            while chunk := response.read1(65_536):
                request.events += chunk.count(b"\n\n")
        except (OSError, HTTPException):
            # The request stays incomplete.
            pass
        finally:
            connection.close()


def run_case(
    folder: Path,
    send_harmful: Callable[[Clients], None],
    environment_type: type[Environment] = Environment,
    judge: Callable[..., int] | None = None,
) -> int:
    """Run a case with its record, and return the exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case, for the record.
    send_harmful : callable
        Sends the requests with the part and returns after the last one.
    environment_type : type
        Workers and store; its `begin_harm` begins the crashes.
    judge : callable or None
        Checks another rule, given the record, the environment, the requests and the
        time at which the disruption began.
    """
    files = Path(tempfile.mkdtemp())
    with (folder / "record.txt").open("w") as record, ExitStack() as stack:
        stack.callback(shutil.rmtree, files, ignore_errors=True)
        status = _play(
            record, stack, files, send_harmful, environment_type, judge or _judge
        )
        print(f"exit status {status}", file=record)
    return status


def _play(
    record,
    stack: ExitStack,
    files: Path,
    send_harmful: Callable[[Clients], None],
    environment_type: type[Environment],
    judge: Callable[..., int],
) -> int:
    environment = start_environment(environment_type)
    stack.callback(environment.close)
    prefix = loopback_prefix()
    nodes = []
    for index in range(NODE_COUNT):
        name, host = f"front-{index + 1}", f"{prefix}.{index + 1}"
        store = environment.store.address
        node = NodeProcess(name, host, ZONES[index], files, store)
        stack.callback(node.stop)
        node.start()
        nodes.append(node)
    if not wait_until(lambda: all(n.is_ready() for n in nodes), 20.0):
        print("the nodes did not become ready", file=record)
        return 2
    if not wait_until(lambda: len(environment.pool.serving()) >= GROUPS_AT_START, 20.0):
        print("the replica groups did not form", file=record)
        return 2
    clients = Clients(nodes)
    stack.callback(eventlet.spawn(clients.send_sound).kill)
    # The machines are in touch before the first harmful request.
    eventlet.sleep(2 * STABLE_WINDOW_S)
    began_at = time.monotonic()
    if TROUBLE:
        environment.begin_harm(PART)
    clients.environment = environment
    send_harmful(clients)
    eventlet.sleep(2.0)
    ended = [node.name for node in nodes if node.process.poll() is not None]
    if ended:
        print(f"processes ended: {ended}", file=record)
        return 2
    return judge(record, environment, clients.sent, began_at)


def _judge(record, environment: Environment, sent: list[Sent], began_at: float) -> int:
    """Write the record and return 1 if the rule was broken."""
    crashes = [crash for harm in environment.harms for crash in harm.crashes]
    harmful = {request.id: request for request in sent if PART in request.parts}
    runs = [run for run in environment.runs if run.attempt_id in harmful]
    lines = [
        (
            r.at,
            f"{r.node} gets {r.id} of {r.model}: status {r.status}, {r.events} events",
        )
        for r in harmful.values()
    ]
    lines += [(run.started_at, f"{run.worker} runs {run.attempt_id}") for run in runs]
    lines += [(at, f"{worker} crashes") for worker, at in crashes]
    for at, text in sorted(lines):
        print(f"{at - began_at:8.3f} {text}", file=record)
    sound = [r for r in sent if PART not in r.parts and r.at > began_at]
    print(f"sound requests complete: {_complete(sound)}", file=record)
    print(
        f"requests with the part complete: {_complete(harmful.values())}", file=record
    )
    if len(crashes) < CRASHES_BEFORE_BOUND:
        print(f"{len(crashes)} crashes: the rule binds from the fifth on", file=record)
        return 0
    fifth_at = sorted(at for _, at in crashes)[CRASHES_BEFORE_BOUND - 1]
    bound = fifth_at + STABLE_WINDOW_S
    late = [id for id, at in RecordingWorker.arrivals if id in harmful and at > bound]
    print(
        f"fifth crash at {fifth_at - began_at:.3f} s; later than {STABLE_WINDOW_S} s "
        f"after it, {len(late)} requests with the part reached workers, "
        f"{ALLOWED} are allowed: {' '.join(late)}",
        file=record,
    )
    return 1 if len(late) > ALLOWED else 0


def _complete(requests) -> str:
    complete = sum(r.status == 200 and r.events == EVENTS for r in requests)
    return f"{complete} of {len(requests)}"

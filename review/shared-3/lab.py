"""What the scripts of this review share: node processes, settings and clients.

The store and the servers are the project's stand-ins and run in the script's process.
Nodes are processes of their own, started by the command of the deploy file.
"""

from standins.common import LIMITS  # isort: skip  # noqa: F401  patches sockets

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import eventlet

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_TIMEOUT_S = 20.0
# The stand-ins count as late from such a delay on, and may be for so long in a run.
LAG_PERIOD_S = 0.05
LAG_S = 0.1
MAX_LATE_S = 3.0
# The bounds of the small deployments, as `fleetbench wire` shows them.
BOUNDS = """
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 136
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 5000
require_fencing = true
ceiling_window_s = 5
load_burst_factor = 1.1
"""


def _free_port(host: str) -> int:
    with socket.create_server((host, 0)) as listener:
        return listener.getsockname()[1]


class NodeProcess:
    """One machine of the system, with an address of its own."""

    def __init__(self, index: int, folder: Path, store: str, zone: str) -> None:
        self.name = f"front-{index}"
        # The metrics page has a fixed port, so each script has addresses of its own.
        self.host = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}.{index}"
        self.zone = zone
        self.store = store
        self._folder = folder
        ports = [_free_port(self.host) for _ in range(4)]
        self.address = f"{self.host}:{ports[0]}"
        self.ready = f"{self.host}:{ports[1]}"
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            f"""node_name = "{self.name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{zone}"
region = "r"
port_range = [{ports[2]}, {ports[2]}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
frontend = "{self.address}"
ready = "{self.ready}"
admin = "{self.host}:{ports[3]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
{BOUNDS}"""
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["POPLARSPAR_SETTINGS"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether it answers the readiness check with 200."""
        try:
            answer = exchange(self.ready, "GET", "/poplarspar/readyz", {}, b"", 1.0)
        except (OSError, HTTPException):
            return False
        return answer.status == 200


@dataclass
class Answer:
    """What a client saw of one answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict,
    body: bytes,
    timeout_s: float,
    connection: HTTPConnection | None = None,
) -> Answer:
    """Send one request, on a new connection by default, and return the answer."""
    host, port = address.split(":")
    kept = connection is not None
    connection = connection or HTTPConnection(host, int(port), timeout=timeout_s)
    late = TimeoutError("no whole answer in time")
    try:
        with eventlet.Timeout(timeout_s, late):
            connection.request(method, target, body or None, headers)
            response = connection.getresponse()
            data = response.read()
    finally:
        if not kept:
            connection.close()
    named = {name.title(): value for name, value in response.getheaders()}
    return Answer(response.status, named, data)


class Lab:
    """The node processes of one script, and its record."""

    def __init__(self, folder: Path) -> None:
        self.stack = ExitStack()
        self.temporary = Path(
            self.stack.enter_context(tempfile.TemporaryDirectory(prefix="review-"))
        )
        self.nodes: list[NodeProcess] = []
        self.began_at = time.monotonic()
        self.latest_s = 0.0
        self.late_s = 0.0
        self.stack.callback(eventlet.spawn(self._watch_lag).kill)
        self._record = (folder / "record.txt").open("w")
        self.stack.callback(self._record.close)
        self.stack.callback(self._end_nodes)

    def note(self, *words: object) -> None:
        """Write a line to the record, with the seconds since the start."""
        if self._record.closed:
            # A client that is still waiting as the script ends.
            return
        at = time.monotonic() - self.began_at
        print(f"{at:8.3f}", *words, file=self._record, flush=True)

    def say(self, *words: object) -> None:
        """Write a line to the record and to the output."""
        self.note(*words)
        print(*words, flush=True)

    def start_nodes(self, stores: list[str], zones: list[str]) -> None:
        """Start a node for each store address and wait until all are ready."""
        for index, (store, zone) in enumerate(zip(stores, zones, strict=True), 1):
            node = NodeProcess(index, self.temporary, store, zone)
            self.nodes.append(node)
            node.start()
        self.wait_until(lambda: all(n.is_ready() for n in self.nodes), "nodes ready")
        self.note("all nodes are ready")

    def wait_until(self, condition, what: str, timeout_s: float = READY_TIMEOUT_S):
        """Wait for a condition; without it, the case can't run."""
        ends_at = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRun(f"not in time: {what}")
            eventlet.sleep(0.1)

    def planner(self, text: str) -> NodeProcess | None:
        """Return the node whose process the planner's key names."""
        name = text.split(".")[0] if text else ""
        return next((node for node in self.nodes if node.name == name), None)

    def _watch_lag(self) -> None:
        """Measure how late the tasks of this process run, which slows all stand-ins."""
        while True:
            due_at = time.monotonic() + LAG_PERIOD_S
            eventlet.sleep(LAG_PERIOD_S)
            lag_s = time.monotonic() - due_at
            self.latest_s = max(self.latest_s, lag_s)
            self.late_s += lag_s if lag_s > LAG_S else 0.0

    def check_lag(self) -> None:
        """Raise `CannotRun` if the stand-ins were too slow to be sound ones."""
        self.say(
            f"stand-ins ran late for {self.late_s:.1f} s, {self.latest_s:.2f} s at most"
        )
        if self.late_s > MAX_LATE_S:
            raise CannotRun("this machine is too busy for the stand-ins")

    def _end_nodes(self) -> None:
        for node in self.nodes:
            node.end()
        # What the nodes have logged, to trace a run by hand.
        kept = os.environ.get("KEEP_LOGS")
        for node in self.nodes if kept else ():
            shutil.copy(node.log, kept)


class CannotRun(Exception):
    """The case can't run here."""


def run_case(file: str, case) -> None:
    """Run a case, which returns whether the rule was broken, and exit.

    The record is written beside the case's file.
    """
    status = NOT_RUN
    lab = Lab(Path(file).resolve().parent)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        lab.note("with the disruption" if TROUBLE else "without the disruption")
        status = BROKEN if case(lab) else HELD
        lab.say("the rule was broken" if status == BROKEN else "the rule held")
    except CannotRun as error:
        lab.say(f"the case could not run: {error}")
    finally:
        lab.stack.close()
    sys.stdout.flush()
    os._exit(status)

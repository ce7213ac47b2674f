"""Node processes, started with the command of the deploy file."""

import standins.common  # noqa: F401  # isort: skip

import os
import shlex
import socket
import subprocess
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

import eventlet

from poplarspar.exceptions import TransportError
from poplarspar.transport.http import send_request

REPOSITORY = Path(__file__).resolve().parent.parent.parent
READY_PATH = "/poplarspar/readyz"
STABLE_WINDOW_S = 3.0
# The figures of the small deployments' sheets.
SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "z"
port_range = [{peer}, {peer}]
seeds = []
bootstrap = true
[listen]
frontend = "{host}:{caller}"
ready = "{host}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
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
retry_budget = 0.2
budget_window_s = 10
budget_slack = 136
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
stall_ms = 5000
require_fencing = true
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def loopback_prefix() -> str:
    """Return the first three numbers of loopback addresses for this run alone."""
    number = os.getpid()
    return f"127.{1 + number % 200}.{1 + number // 200 % 200}"


def run_command() -> list[str]:
    """Return the command by which the deploy file starts a node."""
    with (REPOSITORY / "deploy" / "system.toml").open("rb") as file:
        return shlex.split(tomllib.load(file)["roles"]["node"]["run"])


class NodeProcess:
    """One node process on a loopback address of its own."""

    def __init__(self, name: str, host: str, zone: str, folder: Path, store: str):
        self.name = name
        ports = _free_ports(host, 3)
        self.address = f"{host}:{ports[0]}"
        self._ready_address = f"{host}:{ports[1]}"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                caller=ports[0],
                ready=ports[1],
                peer=ports[2],
                store=store,
            )
        )
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the platform does."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = kept | {
            "POPLARSPAR_SETTINGS": str(self._settings),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run_command(), cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process at the end of a run."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            with eventlet.Timeout(1.0, TransportError("no answer")):
                answer = send_request(
                    self._ready_address, "GET", READY_PATH, read_timeout_s=1.0
                )
        except TransportError:
            return False
        return answer.status == 200


def end_with(run_case: Callable[[], int]) -> None:
    """Run a case and end the process with its exit status, 2 if it raises."""
    status = 2
    try:
        status = run_case()
    except Exception:
        traceback.print_exc()
    # Tasks that still wait for a socket would delay an orderly end.
    os._exit(status)


def wait_until(condition, timeout_s: float) -> bool:
    """Wait until a condition holds; return False after the time-out."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            return False
        eventlet.sleep(0.05)
    return True


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports

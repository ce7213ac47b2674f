"""Node processes of a soak, which starts, pauses, stops and kills them."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import eventlet

from poplarspar.exceptions import TransportError
from poplarspar.transport.http import send_request
from standins.platform import settings_text

REPOSITORY = Path(__file__).resolve().parent.parent
GRACE_S = 8.0
POLL_S = 0.25
READY_TIMEOUT_S = 0.5
# Consecutive failed readiness checks that remove a node from the rotation.
FAILED_CHECKS_TO_REMOVE = 2
PORTS_PER_NODE = 4


class Node:
    """One node process, with a record of the faults applied to it.

    Attributes
    ----------
    disturbed_at : float
        Monotonic time of the latest start, fault or stop of the process.
    killed_at : list of float
        Monotonic times at which the soak killed the process and cut its requests.
    problems : list of str
        Unexpected exits of the process and stops that took too long.
    """

    def __init__(
        self,
        index: int,
        host: str,
        folder: Path,
        store_address: str,
        more_settings: str = "",
    ) -> None:
        self.name = f"front-{index}"
        self.store_address = store_address
        self.disturbed_at = time.monotonic()
        self.killed_at: list[float] = []
        self.stopping_since: float | None = None
        self.paused = False
        self.started_at = time.monotonic()
        self.was_ready = False
        self.problems: list[str] = []
        self._failed_checks = FAILED_CHECKS_TO_REMOVE
        ports = _free_ports(host)
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        text = settings_text(store_address, ports, self.name, host)
        self._settings.write_text(text + more_settings)
        self._process: subprocess.Popen | None = None
        self.start()

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def in_rotation(self) -> bool:
        """Whether the balancer sends new connections to the node."""
        return self._failed_checks < FAILED_CHECKS_TO_REMOVE

    def start(self) -> None:
        """Start the process."""
        self.started_at = self.disturbed_at = time.monotonic()
        self.was_ready = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "poplarspar", "node", str(self._settings)],
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
            )
        # Other tasks run while the process starts, and see the ended one until then.
        self.stopping_since = None

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self._record_disturbance()
        self.killed_at.append(time.monotonic())
        self._signal(signal.SIGKILL)
        self._process.wait()

    def close(self) -> None:
        """Kill the process at the end of the soak."""
        if self.running:
            self._process.kill()
            self._process.wait()

    def terminate(self) -> None:
        """Send SIGTERM; kill the process if it runs for GRACE_S longer."""
        self._record_disturbance()
        self.stopping_since = time.monotonic()
        self._signal(signal.SIGTERM)
        ends_at = time.monotonic() + GRACE_S
        while self.running and time.monotonic() < ends_at:
            eventlet.sleep(POLL_S / 5)
        if self.running:
            self.problems.append(f"{self.name} did not stop in {GRACE_S} s")
            self.kill()
        elif (
            self._process.returncode
            and self.was_ready
            and not self._killed_since(self.stopping_since)
        ):
            status = self._process.returncode
            self.problems.append(f"{self.name} exited with status {status}")
        self._record_disturbance()

    def _killed_since(self, begin: float) -> bool:
        """Return whether a fault has killed the process, perhaps while it stopped."""
        return any(at >= begin for at in self.killed_at)

    def pause(self, duration_s: float) -> None:
        """Suspend the process with SIGSTOP for a time."""
        self._signal(signal.SIGSTOP)
        self.paused = True
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            self._record_disturbance()
            eventlet.sleep(POLL_S / 5)
        self._signal(signal.SIGCONT)
        self.paused = False
        self._record_disturbance()

    def reload(self) -> None:
        """Rewrite the settings file and send SIGHUP."""
        text = self._settings.read_text()
        # A reload must also work if no setting that the node reads has changed.
        self._settings.write_text(text + f"# changed {time.monotonic()}\n")
        self._signal(signal.SIGHUP)

    def check_readiness(self) -> None:
        """Poll the readiness check as the balancer does until the soak ends."""
        while True:
            ready = self.running and self._is_ready()
            self._failed_checks = 0 if ready else self._failed_checks + 1
            self.was_ready = self.was_ready or ready
            if not self.running and self.stopping_since is None and not self.killed_at:
                self.problems.append(f"{self.name} exited unexpectedly")
                return
            eventlet.sleep(POLL_S)

    def _is_ready(self) -> bool:
        try:
            with eventlet.Timeout(
                READY_TIMEOUT_S, TransportError("readiness check timed out")
            ):
                response = send_request(
                    self.ready_address,
                    "GET",
                    "/poplarspar/readyz",
                    read_timeout_s=READY_TIMEOUT_S,
                )
        except TransportError:
            return False
        return response.status == 200

    def _record_disturbance(self) -> None:
        self.disturbed_at = time.monotonic()

    def _signal(self, number: int) -> None:
        if self.running:
            os.kill(self._process.pid, number)


def _free_ports(host: str) -> list[int]:
    sockets = [socket.create_server((host, 0)) for _ in range(PORTS_PER_NODE)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports

"""The node processes of a soak, started, paused, stopped and killed from outside."""

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
# Two misses in a row take a node out of the balancer's rotation.
MAX_FAILED_CHECKS = 2
PORTS = 4


class Node:
    """One node process and what was done to it.

    Attributes
    ----------
    disturbed_at : float
        Monotonic time until which something was done to the process.
    cuts_at : list of float
        Times of kills, which cut what was running.
    problems : list of str
        Ends of the process that nobody asked for.
    """

    def __init__(self, index: int, host: str, folder: Path, store_address: str) -> None:
        self.name = f"front-{index}"
        self.store_address = store_address
        self.disturbed_at = time.monotonic()
        self.killed_at: list[float] = []
        self.stopping_since: float | None = None
        self.paused = False
        self.started_at = time.monotonic()
        self.was_ready = False
        self.problems: list[str] = []
        self._failed_checks = MAX_FAILED_CHECKS
        ports = _free_ports(host)
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(settings_text(store_address, ports, self.name, host))
        self._process: subprocess.Popen | None = None
        self.start()

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    @property
    def in_rotation(self) -> bool:
        """Whether the balancer sends it new connections."""
        return self._failed_checks < MAX_FAILED_CHECKS

    def start(self) -> None:
        """Start the process."""
        self.started_at = self.disturbed_at = time.monotonic()
        self.stopping_since = None
        self.was_ready = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "poplarspar", "node", str(self._settings)],
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """End the process at once."""
        self._record_disturbance()
        self.killed_at.append(time.monotonic())
        self._signal(signal.SIGKILL)
        self._process.wait()

    def close(self) -> None:
        """End the process when the soak is over."""
        if self.running:
            self._process.kill()
            self._process.wait()

    def terminate(self) -> None:
        """Ask the process to stop, and kill it if it does not in time."""
        self._record_disturbance()
        self.stopping_since = time.monotonic()
        self._signal(signal.SIGTERM)
        ends_at = time.monotonic() + GRACE_S
        while self.running and time.monotonic() < ends_at:
            eventlet.sleep(POLL_S / 5)
        if self.running:
            self.problems.append(f"{self.name} did not stop in {GRACE_S} s")
            self.kill()
        elif self._process.returncode and self.was_ready:
            status = self._process.returncode
            self.problems.append(f"{self.name} ended with status {status}")
        self._record_disturbance()

    def pause(self, duration_s: float) -> None:
        """Let the process stand still."""
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
        """Change the settings, with the signal that says so."""
        text = self._settings.read_text()
        # Settings may change while nothing of them concerns the node.
        self._settings.write_text(text + f"# changed {time.monotonic()}\n")
        self._signal(signal.SIGHUP)

    def check_readiness(self) -> None:
        """Ask for readiness as the balancer does, for as long as the soak runs."""
        while True:
            ready = self.running and self._is_ready()
            self._failed_checks = 0 if ready else self._failed_checks + 1
            self.was_ready = self.was_ready or ready
            if not self.running and self.stopping_since is None and not self.killed_at:
                self.problems.append(f"{self.name} ended by itself")
                return
            eventlet.sleep(POLL_S)

    def _is_ready(self) -> bool:
        try:
            with eventlet.Timeout(READY_TIMEOUT_S, TransportError("no answer")):
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
    sockets = [socket.create_server((host, 0)) for _ in range(PORTS)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports

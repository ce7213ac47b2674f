"""Starts a node of the deploy file, and stand-ins of the platform, for a case.

The store, the plain backend servers and the settings are the project's own stand-ins.
Everything is on loopback addresses, and ends with the script.
"""

import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import ExitStack
from pathlib import Path

import eventlet
from eventlet.green import socket

from standins.platform import PlainWorker, Store, configuration, settings_text

REPOSITORY = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 20.0
# The balancer of the platform asks once a second; two misses remove a node.
READY_INTERVAL_S = 1.0
MISSES_TO_REMOVE = 2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
KEY = "key-1"
# Those of the machines of the small deployments.
LIMITS = """
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
"""


def has_trouble() -> bool:
    """Return whether the case has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The case's record.txt; lines have the time since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()
        self.write(f"trouble={int(has_trouble())}")

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._began_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


def run_case(folder: Path, case) -> None:
    """Run `case(record, stack)`, which returns whether the rule was broken; exit."""
    record = Record(folder)
    status = EXIT_NOT_RUN
    with ExitStack() as stack:
        try:
            broken = case(record, stack)
            status = EXIT_BROKEN if broken else EXIT_HELD
        except Exception as error:
            record.say(f"the case could not run: {type(error).__name__}: {error}")
    record.say(f"exit {status}")
    sys.stdout.flush()
    os._exit(status)


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that are free now."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]


class Node:
    """One process of the deploy file's role, and what the platform does with it.

    Parameters
    ----------
    memory_mb : int
        The platform kills the process beyond this, as it says; 0 for no limit.
    max_sockets : int
        Descriptors of the process, 0 for those of this process.
    """

    def __init__(
        self,
        record: Record,
        stack: ExitStack,
        store: str,
        name: str = "front-1",
        memory_mb: int = 0,
        max_sockets: int = 0,
    ) -> None:
        self._record = record
        self._memory_mb = memory_mb
        self._max_sockets = max_sockets
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = free_ports(4)
        self.address = ("127.0.0.1", ports[0])
        self._ready_address = ("127.0.0.1", ports[1])
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self.killed_for_memory = False
        self.in_rotation = False
        self._misses = MISSES_TO_REMOVE
        settings = folder / "settings.toml"
        settings.write_text(settings_text(store, ports, name) + LIMITS)
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "POPLARSPAR_SETTINGS": str(settings),
        }
        self.log = folder / "log"
        self._process = subprocess.Popen(
            words,
            cwd=REPOSITORY,
            env=environment,
            stdout=self.log.open("wb"),
            stderr=subprocess.STDOUT,
            preexec_fn=self._limit,
        )
        stack.callback(self.stop)
        eventlet.spawn(self._ask_readiness)
        eventlet.spawn(self._watch_memory)

    def _limit(self) -> None:
        if self._max_sockets:
            bounds = (self._max_sockets, self._max_sockets)
            resource.setrlimit(resource.RLIMIT_NOFILE, bounds)

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.runs:
            self._process.kill()
        self._process.wait()

    def wait_ready(self) -> None:
        """Wait until the balancer sends clients to the node."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not self.in_rotation:
            if time.monotonic() > ends_at or not self.runs:
                raise RuntimeError(f"node: {self.log.read_text()[-500:]}")
            eventlet.sleep(0.05)

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        try:
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return 0

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log that contain a word."""
        text = self.log.read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    def _ask_readiness(self) -> None:
        while self.runs:
            status = get_status(self._ready_address, "/poplarspar/readyz")
            self._misses = 0 if status == 200 else self._misses + 1
            is_in = self._misses < MISSES_TO_REMOVE
            if is_in != self.in_rotation:
                self.in_rotation = is_in
                self._record.write(f"balancer: node in rotation={is_in}")
            eventlet.sleep(READY_INTERVAL_S if is_in else 0.2)
        self.in_rotation = False

    def _watch_memory(self) -> None:
        while self.runs:
            self.peak_mb = max(self.peak_mb, self._resident_mb())
            self.peak_descriptors = max(self.peak_descriptors, self.descriptors())
            if self._memory_mb and self.peak_mb > self._memory_mb:
                self.killed_for_memory = True
                self._process.send_signal(signal.SIGKILL)
                self._record.say(
                    f"platform: the node takes {self.peak_mb:.0f} MB, over its "
                    f"memory_mb of {self._memory_mb}: killed"
                )
                return
            eventlet.sleep(0.05)

    def _resident_mb(self) -> float:
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1000
        return 0.0


def get_status(address: tuple[str, int], path: str) -> int:
    """Return the status of a GET on a new connection, 0 without an answer."""
    try:
        with eventlet.Timeout(0.9), ExitStack() as stack:
            sock = stack.enter_context(socket.create_connection(address))
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return int(sock.recv(64).split()[1])
    except (eventlet.Timeout, OSError, ValueError, IndexError):
        return 0


class Answer:
    """What a client got; status 0 stands for no answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.headers: dict[str, str] = {}
        self.complete = False
        self.cause = ""


def request_head(
    method: str, target: str, id: str, body_bytes: int, headers: dict[str, str]
) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: a.example",
        f"Attempt-Id: {id}",
        f"Authorization: Token {KEY}",
        f"Content-Length: {body_bytes}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_answer(sock, pause=lambda count: None) -> Answer:
    """Read one answer; `pause` is called with the size of each piece."""
    answer = Answer()
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65_536)
            if not piece:
                answer.cause = "closed before an answer"
                return answer
            data += piece
        head, _, rest = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        answer.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        answer.status = int(first.split()[1])
        parts, size = [rest], len(rest)
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while size < length:
                piece = sock.recv(65_536)
                if not piece:
                    break
                parts.append(piece)
                size += len(piece)
                pause(len(piece))
            answer.complete = size == length
            answer.body = b"".join(parts)
        else:
            while not rest.endswith(b"0\r\n\r\n"):
                piece = sock.recv(65_536)
                if not piece:
                    break
                rest += piece
            answer.complete = rest.endswith(b"0\r\n\r\n")
            answer.body = rest
    except OSError as error:
        answer.cause = f"{type(error).__name__}: {error}"
    return answer


def publish(store: Store, workers: list[tuple[PlainWorker, dict]], **changes) -> None:
    """Write the configuration, and the entries of backend servers with changes."""
    store.put("op/config", configuration(1, **changes))
    for worker, fields in workers:
        store.put(f"servers/{worker.id}", worker.entry("ledger", **fields))

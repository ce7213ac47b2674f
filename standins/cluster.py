"""Starts a whole cluster with its stand-ins as processes on this machine."""

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

PEER_TOKEN = "peer-token-for-local-use"
OPERATOR_TOKEN = "operator-token-for-local-use"
START_TIMEOUT_S = 60.0
POLL_S = 0.05
REPOSITORY = Path(__file__).resolve().parent.parent


@dataclass(frozen=True)
class VmSpec:
    """A VM to start; `kind` is engine or service."""

    name: str
    zone: str
    domain: str
    kind: str = "engine"
    options: dict = field(default_factory=dict)


class Process:
    """One started process, known by the addresses that it printed."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        with log.open("ab") as errors:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=REPOSITORY,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.addresses: dict[str, str] = {}
        self._reader = threading.Thread(target=self._read_log, daemon=True)

    def wait_started(self) -> "Process":
        while line := self.popen.stdout.readline():
            document = json.loads(line)
            if "event" not in document:
                self.addresses = document
                self._reader.start()
                return self
            self._append_log(line)
        raise RuntimeError(f"{self.name} did not start: {self.log.read_text()}")

    def _append_log(self, line: bytes) -> None:
        with self.log.open("ab") as log:
            log.write(line)

    def _read_log(self) -> None:
        for line in self.popen.stdout:
            self._append_log(line)

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def stop(self) -> None:
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        if self._reader.is_alive():
            self._reader.join()
        self.popen.stdout.close()


class Http:
    """Small blocking HTTP client."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)

    def send(self, method, address, path, document=None, headers=None, timeout=30.0):
        body = None if document is None else json.dumps(document)
        return self.pool.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=headers or {},
            timeout=timeout,
        )

    def get(self, address, path, **options):
        return self.send("GET", address, path, **options).json()

    def post(self, address, path, document=None, **options):
        return self.send("POST", address, path, document or {}, **options).json()


def wait_for(condition: Callable[[], object], what: str, timeout_s: float = 60.0):
    """Poll until a condition holds and return its value."""
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        try:
            value = condition()
        except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
            value = None
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"not within {timeout_s} s: {what}")


class LocalCluster:
    """A cluster whose every connection between processes has a faulty path.

    Parameters
    ----------
    zones : tuple of str
        Steward and entry number i run in zone i modulo their number.
    direct : bool
        Whether requests to backend servers go past the fault proxy.
    """

    def __init__(
        self,
        vms: list[VmSpec],
        stewards: int = 3,
        entries: int = 3,
        zones: tuple[str, ...] = ("a", "b", "c"),
        entry_settings: dict | None = None,
        weights: dict | None = None,
        lag_s: float = 1.0,
        direct: bool = False,
    ) -> None:
        self.http = Http()
        self.stack = ExitStack()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.zones = zones
        self.entry_settings = entry_settings or {}
        self.by_name: dict[str, Process] = {}
        self.path_by_ends: dict[tuple[str, str], str] = {}
        self.vm_by_name = {vm.name: vm for vm in vms}
        self.draining_vms: set[str] = set()
        self.steward_names = [f"steward-{i + 1}" for i in range(stewards)]
        self.entry_names = [f"entry-{i + 1}" for i in range(entries)]
        self.weights = weights or {}
        self.lag_s = lag_s
        self.direct = direct

    def __enter__(self) -> "LocalCluster":
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *details) -> None:
        for process in self.by_name.values():
            process.stop()
        self.http.pool.clear()
        self.stack.close()

    def _start(self) -> None:
        platform = {
            "proxy": ["standins.faultproxy"],
            "store": ["standins.store"],
            "vm-list": ["standins.vmlist", "--lag-s", str(self.lag_s)],
            "weights": ["standins.weights", *_options(self.weights)],
        }
        self._spawn_all(platform)
        self._spawn_all({v.name: self._vm_arguments(v) for v in self._vms()})
        for vm in self._vms():
            self.open_path("any", vm.name)
        self.publish_vms()
        for name in self.steward_names:
            self._write_steward(name)
        for name in self.entry_names:
            self._write_entry(name)
        daemons = {n: self._daemon_arguments(n) for n in self._daemon_names()}
        self._spawn_all(daemons)
        for name in self._daemon_names():
            self.connect_paths(name)

    def _daemon_names(self) -> list[str]:
        return self.steward_names + self.entry_names

    def _vms(self) -> list[VmSpec]:
        return list(self.vm_by_name.values())

    def _spawn_all(self, arguments_by_name: dict[str, list[str]]) -> None:
        started = [self._spawn(n, a) for n, a in arguments_by_name.items()]
        for process in started:
            process.wait_started()

    def _spawn(self, name: str, arguments: list[str]) -> Process:
        self.by_name[name] = Process(name, arguments, self.folder / f"{name}.log")
        return self.by_name[name]

    def _vm_arguments(self, vm: VmSpec) -> list[str]:
        options = {"vm": vm.name, **vm.options}
        if vm.kind == "engine":
            options["weights"] = self.address("weights")
        return [f"standins.{vm.kind}", *_options(options)]

    def _daemon_arguments(self, name: str) -> list[str]:
        kind = name.split("-")[0]
        return ["poplarspar", kind, str(self.folder / f"{name}.ini")]

    def address(self, name: str, kind: str = "http") -> str:
        """Return the address of a process, past all faults."""
        return self.by_name[name].addresses[kind]

    def open_path(self, source: str, target: str, kind: str = "http") -> str:
        """Return the address of the faulty path between two processes."""
        ends = (source, target)
        if ends not in self.path_by_ends:
            known = target in self.by_name and self.by_name[target].addresses
            upstream = self.address(target, kind) if known else ""
            document = {"upstream": upstream}
            answer = self.http.post(self.address("proxy"), "/paths", document)
            self.path_by_ends[ends] = answer["address"]
        return self.path_by_ends[ends]

    def set_fault(
        self, source: str, target: str, mode: str = "pass", **options
    ) -> None:
        """Put the path between two processes into a mode of the fault proxy."""
        address = self.path_by_ends[(source, target)]
        document = {"address": address, "mode": mode, **options}
        self.http.post(self.address("proxy"), "/faults", document)

    def isolate(self, name: str, mode: str = "freeze", except_targets=()) -> None:
        """Put all paths from and to a process into a mode."""
        for source, target in self.path_by_ends:
            if name in (source, target) and target not in except_targets:
                self.set_fault(source, target, mode)

    def connect_paths(self, name: str) -> None:
        """Point the paths to a process at where it listens now."""
        addresses = self.by_name[name].addresses
        upstream = addresses.get("peer") or addresses.get("lending")
        upstream = upstream or addresses["http"]
        for ends in self.path_by_ends:
            if ends[1] == name:
                self.set_fault(*ends, upstream=upstream)

    def publish_vms(self) -> None:
        """Show the present VMs in the platform's list."""
        vms = [
            {
                "name": vm.name,
                "zone": vm.zone,
                "domain": vm.domain,
                "address": self._vm_address(vm.name),
                "leaving": vm.name in self.draining_vms,
            }
            for vm in self._vms()
        ]
        self.http.post(self.address("vm-list"), "/control", {"vms": vms})

    def _vm_address(self, name: str) -> str:
        return self.address(name) if self.direct else self.path_by_ends["any", name]

    def _cluster_section(self, name: str) -> str:
        lines = [
            "[cluster]",
            f"peer_token = {PEER_TOKEN}",
            f"operator_token = {OPERATOR_TOKEN}",
            f"store = {self.open_path(name, 'store')}",
            f"vm_list = {self.open_path(name, 'vm-list')}",
            "[roster]",
        ]
        lines += [
            f"{s} = {self.open_path(name, s, 'peer')}" for s in self.steward_names
        ]
        return "\n".join(lines)

    def _zone(self, name: str) -> str:
        return self.zones[(int(name.split("-")[1]) - 1) % len(self.zones)]

    def _write_steward(self, name: str) -> None:
        text = f"""[steward]
name = {name}
zone = {self._zone(name)}
peer_listen = 127.0.0.1:0
http_listen = 127.0.0.1:0
{self._cluster_section(name)}
"""
        (self.folder / f"{name}.ini").write_text(text)

    def _write_entry(self, name: str) -> None:
        number = int(name.split("-")[1]) - 1
        count = len(self.steward_names)
        order = [self.steward_names[(number + i) % count] for i in range(count)]
        extra = {"drain_notice_s": 0.5, **self.entry_settings}
        lines = "\n".join(f"{key} = {value}" for key, value in extra.items())
        lending = f"lending_address = {self.open_path('any', name, 'lending')}"
        if self.direct:
            lending = ""
        text = f"""[entry]
name = {name}
zone = {self._zone(name)}
http_listen = 127.0.0.1:0
lending_listen = 127.0.0.1:0
{lending}
stewards = {", ".join(order)}
{lines}
{self._cluster_section(name)}
"""
        (self.folder / f"{name}.ini").write_text(text)

    def restart(self, name: str) -> Process:
        """End a process if it runs and start it anew."""
        arguments = self.by_name[name].arguments
        self.by_name[name].stop()
        process = Process(name, arguments, self.folder / f"{name}.log").wait_started()
        self.by_name[name] = process
        self.connect_paths(name)
        return process

    def send_as_operator(self, method, path, document=None, steward="", timeout=30.0):
        """Send an operator's request and return status and document."""
        steward = steward or self.steward_names[0]
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        answer = self.http.send(
            method, self.address(steward), path, document, headers, timeout
        )
        return answer.status, answer.json()

    def status(self, steward: str = "") -> dict:
        """Return a steward's status document."""
        return self.send_as_operator("GET", "/v1/status", steward=steward)[1]

    def publish(self, text: str, steward: str = "", base: int | None = None):
        """Publish objects and return status and document."""
        if base is None:
            base = self.send_as_operator("GET", "/v1/objects", steward=steward)[1][
                "revision"
            ]
        document = {"text": text, "base_revision": base, "operator": "tester"}
        return self.send_as_operator("POST", "/v1/objects", document, steward)

    def set_serving(self, kind: str, name: str, serving: bool, steward: str = ""):
        """Take a zone or backend server out or back; return the revision."""
        document = {
            "kind": kind,
            "name": name,
            "serving": serving,
            "operator": "tester",
        }
        status, answer = self.send_as_operator("POST", "/v1/serving", document, steward)
        if status != 200:
            raise RuntimeError(f"not accepted: {answer}")
        return answer["revision"]

    def in_force(self, revision: int, steward: str = "") -> bool:
        """Return whether a revision is in force on all stewards."""
        path = f"/v1/in-force/{revision}"
        return not self.send_as_operator("GET", path, steward=steward)[1]["not_yet_on"]

    def wait_serving(self, groups: int) -> None:
        """Wait until so many groups have owners and ready members."""
        wait_for(lambda: self._serving_groups() >= groups, f"{groups} groups serve")

    def _serving_groups(self) -> int:
        status = self.status()
        ready = [
            group
            for group in status["groups_by_name"].values()
            if group["owner"]
            and not group["draining_from"]
            and all(self.counts(vm)["ready"] for vm in group["members"])
        ]
        return len(ready) if self._entries_have(status["revision"]) else 0

    def _entries_have(self, revision: int) -> bool:
        statuses = [self.entry_status(name) for name in self.entry_names]
        return all(s["fresh"] and s["revision"] >= revision for s in statuses)

    def entry_status(self, name: str) -> dict:
        """Return an entry's status document."""
        return self.http.get(self.address(name), "/status")

    def counts(self, vm: str) -> dict:
        """Return a backend server's counters."""
        return self.http.get(self.address(vm), "/counts")


def _options(options: dict) -> list[str]:
    pairs = [(f"--{name.replace('_', '-')}", value) for name, value in options.items()]
    return [str(part) for pair in pairs for part in pair]

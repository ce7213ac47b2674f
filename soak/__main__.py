"""Randomized fault runs against real nodes: ``python -m soak --help``."""

import standins.common  # noqa: F401  # isort: skip

import os
import random
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import eventlet
import fire

from soak.callers import Callers
from soak.checks import Observations, find_breaches, summary
from soak.duties import (
    SETTINGS,
    DutyPlatform,
    report_problems,
    usage_problems,
    windows_between,
)
from soak.environment import Environment
from soak.faults import (
    Fault,
    Injector,
    draw_faults,
    draw_troubles,
    draw_version_faults,
)
from soak.nodes import Node
from soak.pressure import (
    BURST_CALLERS,
    LARGE_WORKSPACE_SHARE,
    PRIORITY_BY_ROUTE,
    RELAXED,
    URGENT,
    draw_bursts,
    pressure_problems,
)
from soak.probes import Prober
from standins.cluster import wait_for

NODE_COUNT = 4
CALLERS_PER_KIND = 3
FAULTS_PER_S = 0.8
READY_TIMEOUT_S = 40.0
WARM_UP_S = 2.0
# The nodes must serve every kind of request this long after the last fault.
RECOVERY_S = 12.0
FINAL_CHECK_S = 3.0


@dataclass(frozen=True)
class Options:
    """What happens in a soak.

    Attributes
    ----------
    seconds : float
        Length of the period in which faults start.
    troubles : bool
        Whether requests and backend servers cause troubles of their own.
    versions : bool
        Whether the planner and connections fail while versions follow each other.
    pressure : bool
        Whether callers of different priorities compete for too little room, and nodes
        report usage.
    faults_per_s : float
        Number of other faults a second.
    """

    seconds: float
    troubles: bool
    versions: bool
    pressure: bool
    faults_per_s: float
    nodes: int


class Soak:
    """Runs soaks from the command line."""

    def one(
        self,
        seed: int,
        seconds: float = 14.0,
        logs: str = "",
        troubles: bool = False,
        versions: bool = False,
        pressure: bool = False,
        rate: float = FAULTS_PER_S,
        nodes: int = NODE_COUNT,
    ) -> None:
        """Run the soak of one SEED with faults for SECONDS; exit with 1 on a breach.

        With --logs DIRECTORY the nodes write their logs there. With --troubles a
        prompt part crashes backend servers, and one of them names a limit. With
        --versions the planner and the connections to the store fail while versions of
        the configuration follow each other. With --pressure callers of different
        priorities and workspaces ask in bursts for more than there is. --rate is the
        number of other faults a second, --nodes that of nodes.
        """
        options = Options(
            float(seconds),
            bool(troubles),
            bool(versions),
            bool(pressure),
            float(rate),
            int(nodes),
        )
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(logs or folder)
            lines = run_soak(int(seed), options, directory)
        for line in lines:
            print(f"seed {seed}: {line}")
        print(f"seed {seed}: {len(lines)} breaches", flush=True)
        os._exit(1 if lines else 0)

    def many(
        self,
        first: int = 0,
        count: int = 50,
        jobs: int = 3,
        seconds: float = 14.0,
        troubles: bool = False,
        versions: bool = False,
        pressure: bool = False,
        rate: float = FAULTS_PER_S,
        nodes: int = NODE_COUNT,
    ) -> None:
        """Run COUNT seeds starting at FIRST, JOBS at a time; 0 draws a random FIRST."""
        options = [f"--seconds={seconds}", f"--rate={rate}", f"--nodes={nodes}"]
        options += ["--troubles"] if troubles else []
        options += ["--versions"] if versions else []
        options += ["--pressure"] if pressure else []
        first = int(first) or random.SystemRandom().randrange(1, 1 << 31)
        with ThreadPoolExecutor(int(jobs)) as pool:
            seeds = range(first, first + int(count))
            results = list(pool.map(lambda seed: _run_in_process(seed, options), seeds))
        failed = [seed for seed, passed in zip(seeds, results, strict=True) if passed]
        print(f"{len(results) - len(failed)} seeds passed, {len(failed)} failed")
        if failed:
            print(f"failed: {' '.join(map(str, failed))}")
        sys.exit(bool(failed))


def _run_in_process(seed: int, options: list[str]) -> int:
    """Run one seed in a separate process and return its exit status."""
    command = [sys.executable, "-m", "soak", "one", str(seed), *options]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    print(completed.stdout + completed.stderr[-2000:], end="", flush=True)
    return completed.returncode


def run_soak(seed: int, options: Options, folder: Path) -> list[str]:
    """Run one soak and return a line for each breach.

    Parameters
    ----------
    folder : Path
        Directory for the nodes' settings and logs.
    """
    # Each run uses its own loopback addresses, so that runs can overlap.
    host = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}"
    with ExitStack() as stack:
        environment = Environment(PRIORITY_BY_ROUTE if options.pressure else {})
        stack.callback(environment.close)
        platform = DutyPlatform(seed)
        stack.callback(platform.close)
        settings = SETTINGS.format(address=platform.address) if options.pressure else ""
        nodes = []
        for index in range(options.nodes):
            node = Node(
                index,
                f"{host}.{index + 1}",
                folder,
                environment.open_store_path(),
                settings,
            )
            stack.callback(node.close)
            nodes.append(node)
            checker = eventlet.spawn(node.check_readiness)
            stack.callback(checker.kill)
        wait_for(lambda: all(n.in_rotation for n in nodes), "ready", READY_TIMEOUT_S)
        wait_for(
            lambda: len(environment.pool.serving()) >= 4, "groups", READY_TIMEOUT_S
        )
        began_at = time.time()
        faults = draw_faults(
            seed, options.seconds, int(options.seconds * options.faults_per_s)
        )
        if options.troubles:
            faults += draw_troubles(seed, options.seconds)
        if options.versions:
            faults += draw_version_faults(seed, options.seconds)
        if options.pressure:
            faults += draw_bursts(seed, options.seconds)
        faults.sort(key=lambda fault: fault.starts_at_s)
        observations = _run_faults(seed, faults, nodes, environment, stack)
        lines = find_breaches(observations)
        if options.pressure:
            lines += pressure_problems(observations.undisturbed_requests())
            lines += report_problems(platform.accepted)
            if not observations.disturbances and not observations.stops:
                offset_s = time.time() - time.monotonic()
                windows = windows_between(began_at, time.time())
                lines += usage_problems(
                    platform.accepted, environment.runs, windows, offset_s
                )
        print(f"seed {seed}: {summary(observations)}")
    return lines


def _run_faults(
    seed: int,
    faults: list[Fault],
    nodes: list[Node],
    environment: Environment,
    stack: ExitStack,
) -> Observations:
    large_share = LARGE_WORKSPACE_SHARE if environment.priority_by_route else 0.0
    callers = Callers(
        nodes, environment, random.Random(seed), CALLERS_PER_KIND, large_share
    )
    prober = Prober(nodes, environment)
    stack.callback(prober.close)
    eventlet.sleep(WARM_UP_S)
    kinds = (RELAXED, URGENT)
    injector = Injector(
        nodes,
        environment,
        seed,
        lambda number, duration_s: callers.burst(
            kinds[number % len(kinds)], BURST_CALLERS, duration_s
        ),
    )
    injector.run(faults)
    recovery_deadline = time.monotonic() + RECOVERY_S
    eventlet.sleep(RECOVERY_S + FINAL_CHECK_S)
    callers.stop()
    for line in injector.lines:
        print(f"seed {seed}: {line}")
    return Observations(
        callers.requests,
        prober.probes,
        environment,
        nodes,
        injector.disturbances,
        injector.stops,
        recovery_deadline,
    )


if __name__ == "__main__":
    fire.Fire(Soak, name="soak")

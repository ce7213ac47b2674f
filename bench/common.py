"""What the measurements share: reporting, process figures, callers."""

import json
import os
import threading
import time

from hdrh.histogram import HdrHistogram

from poplarspar.state.metrics import PERCENTILES, new_histogram
from standins.cluster import LocalCluster, Process, VmSpec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def print_report(name: str, rows: list[dict]) -> None:
    """Print a readable table and one JSON line."""
    columns = list(rows[0])
    widths = {c: max(len(c), *(len(str(row[c])) for row in rows)) for c in columns}
    print("  ".join(column.rjust(widths[column]) for column in columns))
    for row in rows:
        print("  ".join(str(row[column]).rjust(widths[column]) for column in columns))
    print(json.dumps({"bench": name, "rows": rows}), flush=True)


def cpu_s(process: Process) -> float:
    """Return the processor time of a process so far, in seconds."""
    with open(f"/proc/{process.popen.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{process.popen.pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return a histogram's percentiles in milliseconds."""
    return {
        f"p{percentile}_ms": round(
            histogram.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }


class TimedCallers:
    """Threads that send requests for a while and time them."""

    def __init__(self, count: int, send) -> None:
        self.histogram = new_histogram()
        self.served = 0
        self.failed = 0
        self._send = send
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(count)
        ]

    def run_for(self, seconds: float) -> "TimedCallers":
        """Send requests for some seconds."""
        with self:
            time.sleep(seconds)
        return self

    def __enter__(self) -> "TimedCallers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            started = time.monotonic()
            if self._send(caller, number):
                self.served += 1
                microseconds = int((time.monotonic() - started) * 1e6)
                self.histogram.record_value(microseconds)
            else:
                self.failed += 1


def vms(engine: dict, service: dict, zones="abc", per_zone=3) -> list[VmSpec]:
    """Return VMs for the example objects."""
    engines = [
        VmSpec(f"vm-{zone}{number}", zone, f"gulf-{zone}1", "engine", engine)
        for zone in zones
        for number in range(per_zone)
    ]
    services = [
        VmSpec(f"svc-{zone}", zone, f"gulf-{zone}2", "service", service)
        for zone in "ab"
    ]
    return engines + services


def post(cluster: LocalCluster, address: str, path: str, document: dict):
    """Send a request and return the answer."""
    return cluster.http.send("POST", address, path, document)

"""Memory that slow readers hold in an entry, and what it does to others."""

import socket
import sys
import time

from bench.common import (
    TimedCallers,
    percentiles_ms,
    post,
    print_report,
    resident_mb,
    vms,
)
from standins.cluster import LocalCluster, wait_for
from tests.base import TIDEWATER

READER_COUNTS = (0, 200, 1000)
TOKENS = 4000
ENGINE = {"cold": 400, "warm": 400, "boot_s": 0.2, "token_s": 0.002}
OBJECTS = (
    TIDEWATER.replace("cold_requests = 2\n", "cold_requests = 400\n")
    .replace("warm_requests = 8\n", "warm_requests = 400\n")
    .replace("cold_tokens = 8000", "cold_tokens = 4000000")
    .replace("warm_tokens = 32000", "warm_tokens = 4000000")
    .replace("timeout_s = 20", "timeout_s = 120")
)
ENGINE["memory_tokens"] = 10**8
SERVICE = {"cold": 4, "warm": 16}


def open_reader(address: str) -> socket.socket:
    """Ask for a long answer and read nothing of it."""
    host, port = address.split(":")
    body = b'{"prompt": "slow", "max_tokens": %d}' % TOKENS
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    sock.sendall(
        b"POST /v1/pilots/draft HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        % (len(body), body)
    )
    return sock


def measure(cluster: LocalCluster, count: int, base_mb: float) -> dict:
    """Measure with `count` readers that stand still."""
    address = cluster.address("entry-1")
    readers = [open_reader(address) for _ in range(count)]
    counters = cluster.entry_status("entry-1")["metrics"]["count_by_name"]
    known = counters.get("streams_released_for_stall", 0)
    released = wait_for_release(cluster, known + count)
    resident = resident_mb(cluster.by_name["entry-1"])

    def send(caller, number):
        document = {"prompt": f"quick {number}", "max_tokens": 10}
        answer = post(cluster, address, "/v1/pilots/draft", document)
        return answer.status == 200 and answer.data.endswith(b"[DONE]\n\n")

    run = TimedCallers(4, send).run_for(5.0)
    running = sum(cluster.counts(vm)["running"] for vm in cluster.vm_by_name)
    for reader in readers:
        reader.close()
    return {
        "slow_readers": count,
        "entry_mb": round(resident, 1),
        "kb_per_reader": round((resident - base_mb) * 1000 / count, 1) if count else 0,
        "released_streams": released - known,
        "left_at_engines": running,
        "others_failed": run.failed,
        **percentiles_ms(run.histogram),
    }


def wait_for_release(cluster: LocalCluster, goal: int) -> int:
    """Wait until all stalled streams gave their slots back."""

    def released():
        counters = cluster.entry_status("entry-1")["metrics"]["count_by_name"]
        return counters.get("streams_released_for_stall", 0)

    wait_for(lambda: released() >= goal, f"{goal} released streams", 120)
    return released()


def main() -> int:
    """Measure each number of slow readers."""
    settings = {"connection_limit": 4000, "queue_timeout_s": 60}
    rows = []
    for count in READER_COUNTS:
        specs = vms(ENGINE, SERVICE)
        with LocalCluster(
            specs, entries=1, direct=True, entry_settings=settings
        ) as cluster:
            cluster.publish(OBJECTS)
            cluster.wait_serving(5)
            time.sleep(1.0)
            base_mb = resident_mb(cluster.by_name["entry-1"])
            rows.append(measure(cluster, count, base_mb))
    print_report("slow_readers", rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())

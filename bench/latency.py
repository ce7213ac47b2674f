"""Added latency of the path, and the processor time of requests and tokens."""

import sys
import time

from bench.common import TimedCallers, cpu_s, percentiles_ms, post, print_report, vms
from standins.cluster import LocalCluster
from tests.base import TIDEWATER

SECONDS = 5.0
TOKEN_INTERVAL_S = 0.027
UNLIMITED = {"cold": 64, "warm": 64, "boot_s": 0.2}
OBJECTS = TIDEWATER
for key in ("cold_requests", "warm_requests"):
    for value in ("2", "4", "8", "16"):
        OBJECTS = OBJECTS.replace(f"{key} = {value}\n", f"{key} = 64\n")
for old in ("cold_tokens = 8000", "warm_tokens = 32000"):
    OBJECTS = OBJECTS.replace(old, old.split(" = ")[0] + " = 1000000")
for old in ("cold_tokens = 4", "warm_tokens = 16"):
    OBJECTS = OBJECTS.replace(old + "\n", old.split(" = ")[0] + " = 64\n")


def measure_calls(cluster: LocalCluster) -> list[dict]:
    """Compare calls of the plain service with and without the path."""
    rows = []
    targets = {
        "direct": (cluster.address("svc-a"), "/v1/balance"),
        "via entry": (cluster.address("entry-1"), "/v1/pilots/balance"),
    }
    for callers in (1, 8):
        for name, (address, path) in targets.items():
            entry = cluster.by_name["entry-1"]

            def send(caller, number, address=address, path=path):
                return post(cluster, address, path, {"n": number}).status == 200

            before = cpu_s(entry)
            run = TimedCallers(callers, send).run_for(SECONDS)
            used = cpu_s(entry) - before
            rows.append(
                {
                    "path": name,
                    "callers": callers,
                    **percentiles_ms(run.histogram),
                    "requests_per_s": round(run.served / SECONDS),
                    "failed": run.failed,
                    "entry_cpu_us_per_request": round(used / max(run.served, 1) * 1e6),
                }
            )
    return rows


def measure_tokens(
    cluster: LocalCluster, caller_counts: tuple[int, ...], max_tokens: int
) -> list[dict]:
    """Measure how many tokens one entry process passes on."""
    rows = []
    entry = cluster.by_name["entry-1"]
    address = cluster.address("entry-1")
    for callers in caller_counts:
        document = {"prompt": "tokens", "max_tokens": max_tokens}

        def send(caller, number, document=document):
            answer = post(cluster, address, "/v1/pilots/draft", document)
            return answer.status == 200 and answer.data.endswith(b"[DONE]\n\n")

        before = cpu_s(entry)
        started = time.monotonic()
        run = TimedCallers(callers, send).run_for(SECONDS)
        elapsed = time.monotonic() - started
        tokens = run.served * document["max_tokens"]
        used = cpu_s(entry) - before
        rows.append(
            {
                "callers": callers,
                "tokens_per_s": round(tokens / elapsed),
                "entry_cpu_us_per_token": round(used / max(tokens, 1) * 1e6, 1),
                "entry_core_share": round(used / elapsed, 2),
                "failed": run.failed,
            }
        )
    return rows


def measure_paced_tokens() -> list[dict]:
    """Measure the processor time of tokens that come one by one."""
    rows = []
    specs = vms(
        {**UNLIMITED, "token_s": TOKEN_INTERVAL_S, "memory_tokens": 10**8}, UNLIMITED
    )
    with LocalCluster(specs, stewards=3, entries=1, direct=True) as cluster:
        cluster.publish(OBJECTS)
        cluster.wait_serving(5)
        for callers in (16, 64, 128):
            rows += measure_tokens(cluster, (callers,), 100)
    return rows


def main() -> int:
    """Run all measurements."""
    specs = vms({**UNLIMITED, "token_s": 0.0, "memory_tokens": 10**8}, UNLIMITED)
    with LocalCluster(specs, stewards=3, entries=1, direct=True) as cluster:
        cluster.publish(OBJECTS)
        cluster.wait_serving(5)
        print_report("latency_calls", measure_calls(cluster))
        print_report("latency_tokens", measure_tokens(cluster, (1, 16), 500))
    print_report("latency_paced_tokens", measure_paced_tokens())
    return 0


if __name__ == "__main__":
    sys.exit(main())

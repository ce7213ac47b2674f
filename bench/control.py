"""Control cost per node at several sizes, without any request."""

import sys
import time

from bench.common import cpu_s, print_report, resident_mb, vms
from standins.cluster import LocalCluster
from tests.base import TIDEWATER

SIZES = ((3, 3), (9, 3), (18, 3), (9, 16))
SECONDS = 20.0
ENGINE = {"cold": 2, "warm": 8, "boot_s": 0.2}
SERVICE = {"cold": 4, "warm": 16}


def carried_bytes(cluster: LocalCluster, number: int) -> int:
    """Return the bytes of a node's control links, those of its entry included."""
    carried = cluster.http.get(cluster.address("proxy"), "/carried")
    names = {f"steward-{number}", f"entry-{number}"}
    return sum(
        carried[address]
        for ends, address in cluster.path_by_ends.items()
        if names & set(ends)
    )


def measure(size: int, per_zone: int) -> list[dict]:
    """Measure an idle cluster of `size` nodes and `per_zone` engines a zone."""
    specs = vms(ENGINE, SERVICE, per_zone=per_zone)
    groups = per_zone // 2 * 3
    text = TIDEWATER.replace("replicas = 3", f"replicas = {groups}")
    with LocalCluster(specs, stewards=size, entries=size, direct=True) as cluster:
        cluster.publish(text)
        cluster.wait_serving(groups + 2)
        planner = next(n for n in cluster.steward_names if cluster.status(n)["planner"])
        other = next(n for n in cluster.steward_names if n != planner)
        rows = []
        before = {n: cpu_s(p) for n, p in cluster.by_name.items()}
        bytes_before = {n: carried_bytes(cluster, int(n[8:])) for n in (planner, other)}
        calls = cluster.http.post(cluster.address("store"), "/control")["calls"]
        time.sleep(SECONDS)
        calls_after = cluster.http.post(cluster.address("store"), "/control")["calls"]
        for role, name in (("planner", planner), ("steward", other)):
            number = int(name.split("-")[1])
            entry = f"entry-{number}"
            steward_cpu = cpu_s(cluster.by_name[name]) - before[name]
            entry_cpu = cpu_s(cluster.by_name[entry]) - before[entry]
            carried = carried_bytes(cluster, number) - bytes_before[name]
            resident = resident_mb(cluster.by_name[name])
            rows.append(
                {
                    "nodes": size,
                    "vms": len(specs),
                    "role": role,
                    "steward_core_percent": round(100 * steward_cpu / SECONDS, 2),
                    "entry_core_percent": round(100 * entry_cpu / SECONDS, 2),
                    "steward_mb": round(resident, 1),
                    "entry_mb": round(resident_mb(cluster.by_name[entry]), 1),
                    "node_kb_per_s": round(carried / SECONDS / 1000, 2),
                    "store_reads_per_s": round(
                        (calls_after["reads"] - calls["reads"]) / SECONDS, 1
                    ),
                    "store_writes_per_s": round(
                        (calls_after["writes"] - calls["writes"]) / SECONDS, 1
                    ),
                }
            )
        return rows


def main() -> int:
    """Measure every size."""
    print_report("control", [row for size in SIZES for row in measure(*size)])
    return 0


if __name__ == "__main__":
    sys.exit(main())

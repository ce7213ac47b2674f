"""State of a large cluster: size of its documents, time to decode and to plan."""

import sys
import time

from bench.common import PAGE_BYTES, print_report
from poplarspar.coordination.cluster import (
    CONFIGURATION_KEY,
    DOMAIN_PREFIX,
    OWNERS_KEY,
)
from poplarspar.coordination.owning import OwnerInputs, plan_owners
from poplarspar.protocol.documents import JsonDocuments
from poplarspar.state import (
    Configuration,
    DomainAssignment,
    EntryStatus,
    Member,
    OwnerTable,
    ReplicaGroup,
    Snapshot,
    StoredValue,
)
from tests.base import TIDEWATER

MEMBERS = 8
GROUPS_PER_DOMAIN = 8
SIZES = ((9, 25), (60, 250), (360, 1500))


def resident_mb() -> float:
    """Return this process's resident memory in megabytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def build(entries: int, groups: int) -> tuple[Snapshot, OwnerInputs]:
    """Return the snapshot of a cluster before owners are named."""
    documents = JsonDocuments()
    values = [
        StoredValue(
            CONFIGURATION_KEY, 1, documents.configuration_text(Configuration(TIDEWATER))
        )
    ]
    all_groups = []
    for number in range(-(-groups // GROUPS_PER_DOMAIN)):
        domain = f"region-{number % 6}-domain-{number}"
        first = number * GROUPS_PER_DOMAIN
        placed = [
            build_group(domain, index)
            for index in range(first, min(first + GROUPS_PER_DOMAIN, groups))
        ]
        all_groups += placed
        text = documents.assignment_text(DomainAssignment(domain, 1, tuple(placed)))
        values.append(StoredValue(DOMAIN_PREFIX + domain, 2 + number, text))
    snapshot = Snapshot()
    snapshot.merge(values)
    statuses = {
        f"entry-{n}.0123abcd": EntryStatus(
            f"entry-{n}.0123abcd", "a", f"10.0.{n // 250}.{n % 250}:7000", 1, False, 0
        )
        for n in range(entries)
    }
    inputs = OwnerInputs(all_groups, statuses, lambda name, line: False, frozenset())
    return snapshot, inputs


def build_group(domain: str, index: int) -> ReplicaGroup:
    """Return one replica group."""
    members = tuple(
        Member(f"vm-{index:04}-{i}", f"10.1.{index % 250}.{i}:8000")
        for i in range(MEMBERS)
    )
    return ReplicaGroup(f"fleet-{domain}-{index}", "dues-drafter", "a", 1, members)


def timed_ms(action) -> float:
    """Return how long an action takes, in milliseconds."""
    started = time.perf_counter()
    action()
    return round((time.perf_counter() - started) * 1000, 1)


def measure(entries: int, groups: int) -> dict:
    """Measure one size."""
    base_mb = resident_mb()
    snapshot, inputs = build(entries, groups)
    table = plan_owners(OwnerTable(), inputs)
    documents = JsonDocuments()
    owners_text = documents.owners_text(table)
    snapshot.merge([StoredValue(OWNERS_KEY, 10_000, owners_text)])
    domain_sizes = [
        len(value.text)
        for key, value in snapshot.values_by_key.items()
        if key.startswith(DOMAIN_PREFIX)
    ]
    first_ms = timed_ms(lambda: documents.view(snapshot))
    again_ms = timed_ms(lambda: documents.view(snapshot))
    plan_ms = timed_ms(lambda: plan_owners(table, inputs))
    return {
        "entries": entries,
        "groups": groups,
        "vms": groups * MEMBERS,
        "largest_domain_kb": round(max(domain_sizes) / 1000, 1),
        "domains_kb": round(sum(domain_sizes) / 1000),
        "owners_kb": round(len(owners_text) / 1000),
        "first_view_ms": first_ms,
        "next_view_ms": again_ms,
        "plan_owners_ms": plan_ms,
        "added_mb": round(resident_mb() - base_mb, 1),
    }


def main() -> int:
    """Measure every size."""
    print_report("view", [measure(*size) for size in SIZES])
    return 0


if __name__ == "__main__":
    sys.exit(main())

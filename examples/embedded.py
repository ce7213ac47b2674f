"""A front end without HTTP that uses poplarspar's admission as a library.

The front end owns one backend server and admits requests up to the server's limit.
"""

import time

from poplarspar import (
    Admission,
    Completed,
    Demand,
    Member,
    MemberReport,
    ObjectSet,
    Ownership,
    OwnerTable,
    ReplicaGroup,
    Reports,
    View,
    Workspace,
    Zone,
)
from poplarspar.state import Bounds, ServiceDeployment

BOUNDS = Bounds(requests=2, tokens=2)
ENTRY = "embedded"


def build_view() -> View:
    """Return a view with one backend server in one availability zone."""
    objects = ObjectSet(
        zones_by_name={"a": Zone("a", "gulf-south")},
        workspaces_by_name={"pilots": Workspace("pilots", 1, 10)},
        deployments_by_name={"ledger": ServiceDeployment("ledger", BOUNDS, BOUNDS)},
    )
    member = Member("vm-1", "127.0.0.1:9000")
    group = ReplicaGroup("ledger-1", "ledger", "a", 1, (member,))
    owners = OwnerTable(1, {"ledger-1": Ownership(ENTRY)})
    return View(1, objects, {"ledger-1": group}, owners)


def main() -> None:
    """Request three slots of two: the third is refused until a request completes."""
    reports = Reports()
    admission = Admission(ENTRY, reports, is_fresh=lambda: True)
    admission.update(build_view())
    reports.record(MemberReport("vm-1", "i-1", "", 0, 0, True, 0), time.monotonic())
    demand = Demand("pilots", 1, 10, "ledger", tokens=1, patience_s=0.1, hold_s=1.0)
    slots = [admission.try_take(demand) for _ in range(3)]
    print([slot.backend if slot else "no room" for slot in slots])
    admission.give_back(slots[0], Completed("i-1"))
    print("admitted" if admission.try_take(demand) else "no room")


if __name__ == "__main__":
    main()

"""Decisions: freshness, placement, ownership, admission and idempotency."""

from poplarspar.coordination.admission import (
    Admission,
    Broken,
    Completed,
    Slot,
    Unused,
)
from poplarspar.coordination.barrier import (
    WithdrawalBarrier,
)
from poplarspar.coordination.capacity import (
    Capacity,
    Lenders,
)
from poplarspar.coordination.cluster import (
    ClusterState,
)
from poplarspar.coordination.drain import (
    Drain,
)
from poplarspar.coordination.fairness import (
    Demand,
    FairQueue,
)
from poplarspar.coordination.freshness import (
    EntryFreshness,
    StewardFreshness,
)
from poplarspar.coordination.idempotency import (
    Claim,
    RequestRecord,
    RequestRecords,
)
from poplarspar.coordination.lease import (
    PlannerLease,
)
from poplarspar.coordination.owning import (
    OwnerInputs,
    plan_owners,
)
from poplarspar.coordination.placement import (
    DomainVms,
    plan_domain,
)
from poplarspar.coordination.planner import (
    Planner,
)
from poplarspar.coordination.ports import (
    Answer,
    Backends,
    GenerationRequest,
    ServiceCall,
    Store,
    Token,
    TokenSource,
)
from poplarspar.coordination.publishing import (
    Accepted,
    Publisher,
    Rejected,
    Undetermined,
)
from poplarspar.coordination.report_readers import (
    ReportReaders,
)
from poplarspar.coordination.service import (
    RequestService,
    Target,
)
from poplarspar.coordination.streams import (
    Prompt,
    TokenStream,
)
from poplarspar.coordination.timers import (
    TimerService,
)

__all__ = [
    "Accepted",
    "Admission",
    "Answer",
    "Backends",
    "Broken",
    "ServiceCall",
    "Capacity",
    "Claim",
    "ClusterState",
    "Completed",
    "Demand",
    "DomainVms",
    "Drain",
    "FairQueue",
    "GenerationRequest",
    "EntryFreshness",
    "Lenders",
    "OwnerInputs",
    "Planner",
    "PlannerLease",
    "Prompt",
    "Publisher",
    "Rejected",
    "ReportReaders",
    "RequestRecord",
    "RequestRecords",
    "RequestService",
    "StewardFreshness",
    "Slot",
    "Store",
    "Target",
    "TimerService",
    "Token",
    "TokenSource",
    "TokenStream",
    "Undetermined",
    "Unused",
    "WithdrawalBarrier",
    "plan_domain",
    "plan_owners",
]

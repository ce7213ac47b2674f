"""Decisions on freshness, placement, ownership, admission and idempotency."""

from poplarspar.lazy_exports import lazy_exports

__all__, __getattr__ = lazy_exports(
    __name__,
    {
        "admission": (
            "Admission",
            "Broken",
            "Completed",
            "Slot",
            "Unused",
        ),
        "barrier": ("WithdrawalBarrier",),
        "capacity": (
            "Capacity",
            "Lenders",
        ),
        "cluster": ("ClusterState",),
        "drain": ("Drain",),
        "fairness": (
            "Demand",
            "FairQueue",
        ),
        "freshness": (
            "EntryFreshness",
            "StewardFreshness",
        ),
        "idempotency": (
            "Claim",
            "RequestRecord",
            "RequestRecords",
        ),
        "lease": ("PlannerLease",),
        "owning": (
            "OwnerInputs",
            "plan_owners",
        ),
        "placement": (
            "DomainVms",
            "plan_domain",
        ),
        "planner": ("Planner",),
        "ports": (
            "Answer",
            "Backends",
            "GenerationRequest",
            "ServiceCall",
            "Token",
            "TokenSource",
        ),
        "store_ports": ("Store",),
        "publishing": (
            "Accepted",
            "Publisher",
            "Rejected",
            "Undetermined",
        ),
        "report_readers": ("ReportReaders",),
        "service": (
            "RequestService",
            "Target",
        ),
        "streams": (
            "Prompt",
            "TokenStream",
        ),
        "timers": ("TimerService",),
    },
)

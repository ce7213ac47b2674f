"""Data classes that the other layers work on."""

from poplarspar.lazy_exports import lazy_exports

__all__, __getattr__ = lazy_exports(
    __name__,
    {
        "configuration": (
            "AuditEntry",
            "Configuration",
        ),
        "entries": ("EntryStatus",),
        "ledger": ("Ledger",),
        "metrics": (
            "Metrics",
            "MetricsSummary",
        ),
        "objects": (
            "Bounds",
            "Deployment",
            "ModelDeployment",
            "ObjectSet",
            "Route",
            "Server",
            "ServiceDeployment",
            "VmGroup",
            "Workspace",
            "Zone",
        ),
        "ownership": (
            "Ownership",
            "OwnerTable",
        ),
        "refusals": (
            "Ran",
            "Reason",
            "Refusal",
        ),
        "replicas": (
            "DomainAssignment",
            "Member",
            "MemberReport",
            "ReplicaGroup",
            "Reports",
            "Vm",
        ),
        "snapshot": (
            "Snapshot",
            "StoredValue",
        ),
        "status": (
            "ClusterStatus",
            "EntryReport",
            "GroupStatus",
            "LedgerStatus",
        ),
        "view": (
            "View",
            "build_view",
        ),
    },
)

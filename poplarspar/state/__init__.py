"""Data classes that the other layers work on."""

from poplarspar.state.configuration import (
    AuditEntry,
    Configuration,
)
from poplarspar.state.entries import (
    EntryStatus,
)
from poplarspar.state.ledger import (
    Ledger,
)
from poplarspar.state.metrics import (
    Metrics,
    MetricsSummary,
)
from poplarspar.state.objects import (
    Bounds,
    Deployment,
    ModelDeployment,
    ObjectSet,
    Route,
    Server,
    ServiceDeployment,
    VmGroup,
    Workspace,
    Zone,
)
from poplarspar.state.ownership import (
    Ownership,
    OwnerTable,
)
from poplarspar.state.refusals import (
    Ran,
    Reason,
    Refusal,
)
from poplarspar.state.replicas import (
    DomainAssignment,
    Member,
    MemberReport,
    ReplicaGroup,
    Reports,
    Vm,
)
from poplarspar.state.snapshot import (
    Snapshot,
    StoredValue,
)
from poplarspar.state.status import (
    ClusterStatus,
    EntryReport,
    GroupStatus,
    LedgerStatus,
)
from poplarspar.state.view import (
    View,
    build_view,
)

__all__ = [
    "AuditEntry",
    "Bounds",
    "ClusterStatus",
    "Configuration",
    "Deployment",
    "DomainAssignment",
    "EntryReport",
    "EntryStatus",
    "GroupStatus",
    "Ledger",
    "LedgerStatus",
    "Member",
    "MemberReport",
    "Metrics",
    "MetricsSummary",
    "ModelDeployment",
    "ObjectSet",
    "OwnerTable",
    "Ownership",
    "Ran",
    "Reason",
    "Refusal",
    "ReplicaGroup",
    "Reports",
    "Route",
    "Server",
    "ServiceDeployment",
    "Snapshot",
    "StoredValue",
    "View",
    "Vm",
    "VmGroup",
    "Workspace",
    "Zone",
    "build_view",
]

"""Serving system for models that span several VMs."""

import warnings

# Eventlet warns of its own deprecation at import, and users can't act on that.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from poplarspar.coordination import (
    Admission,
    Broken,
    Capacity,
    Completed,
    Demand,
    Drain,
    Prompt,
    RequestRecords,
    RequestService,
    Slot,
    TokenStream,
    Unused,
)
from poplarspar.state import (
    Member,
    MemberReport,
    Metrics,
    ObjectSet,
    Ownership,
    OwnerTable,
    Refusal,
    ReplicaGroup,
    Reports,
    View,
    Workspace,
    Zone,
)

__all__ = [
    "Admission",
    "Broken",
    "Capacity",
    "Completed",
    "Demand",
    "Drain",
    "Member",
    "MemberReport",
    "Metrics",
    "ObjectSet",
    "OwnerTable",
    "Ownership",
    "Prompt",
    "Refusal",
    "ReplicaGroup",
    "Reports",
    "RequestRecords",
    "RequestService",
    "Slot",
    "TokenStream",
    "Unused",
    "View",
    "Workspace",
    "Zone",
]

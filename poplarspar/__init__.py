"""Serving system for models that span several VMs.

Names are imported at their first use: the command must handle signals before the
imports, which take some tenths of a second.
"""

import warnings
from importlib import import_module

# Eventlet warns of its own deprecation at import, and users can't act on that.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

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

_LAYERS = ("poplarspar.coordination", "poplarspar.state")


def __getattr__(name: str) -> object:
    """Return a public name of one of the layers."""
    if name in __all__:
        for layer in map(import_module, _LAYERS):
            if name in layer.__all__:
                return getattr(layer, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


def __dir__() -> list[str]:
    return sorted([*globals(), *__all__])

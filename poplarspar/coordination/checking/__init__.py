"""Checks of a configuration before it is sent."""

from poplarspar.coordination.checking.differences import entry_differences
from poplarspar.coordination.checking.entries import check_entries
from poplarspar.coordination.checking.objects import check_objects, object_differences

__all__ = [
    "check_entries",
    "check_objects",
    "entry_differences",
    "object_differences",
]

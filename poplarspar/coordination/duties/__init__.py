"""Duties towards the platform, performed by one node at a time."""

from poplarspar.coordination.duties.ports import DutyPort

__all__ = ["DutyPort"]

"""Duties towards the platform, performed by one node at a time."""

from poplarspar.coordination.duties.holding import DutyHolding
from poplarspar.coordination.duties.ordering import CapacityDuty
from poplarspar.coordination.duties.pacing import PacedDutyPort
from poplarspar.coordination.duties.ports import DutyPort

__all__ = ["CapacityDuty", "DutyHolding", "DutyPort", "PacedDutyPort"]

"""Duties towards the platform, performed by one node at a time."""

from poplarspar.coordination.duties.holding import DutyHolding
from poplarspar.coordination.duties.ordering import CapacityDuty
from poplarspar.coordination.duties.pacing import PacedDutyPort
from poplarspar.coordination.duties.ports import DutyPort
from poplarspar.coordination.duties.true_clock import TrueClock
from poplarspar.coordination.duties.usage_exchange import UsageExchange
from poplarspar.coordination.duties.usage_ledger import USAGE_KEY, UsageLedger
from poplarspar.coordination.duties.usage_meter import UsageMeter
from poplarspar.coordination.duties.usage_reporter import UsageReporter
from poplarspar.coordination.duties.usage_totals import UsageTotals
from poplarspar.coordination.duties.usage_windows import WindowClock

__all__ = [
    "USAGE_KEY",
    "CapacityDuty",
    "DutyHolding",
    "DutyPort",
    "PacedDutyPort",
    "TrueClock",
    "UsageExchange",
    "UsageLedger",
    "UsageMeter",
    "UsageReporter",
    "UsageTotals",
    "WindowClock",
]

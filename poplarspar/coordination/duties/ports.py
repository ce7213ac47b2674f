"""Interface to the platform's calls that one node at a time may make."""

from typing import Protocol

from poplarspar.state.duties import CapacityOrder, DutyResult, DutyTerm, UsageReport


class DutyPort(Protocol):
    """Makes the calls of duties; each names its holder and fencing token."""

    def report_usage(self, term: DutyTerm, report: UsageReport) -> DutyResult:
        """Report the usage of one window."""

    def order_capacity(self, term: DutyTerm, order: CapacityOrder) -> DutyResult:
        """Order a number of backend servers."""

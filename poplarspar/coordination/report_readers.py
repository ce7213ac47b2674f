"""Reads the load reports of backend servers, one task for each."""

import time
from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from poplarspar.coordination.ports import ReportSource
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.exceptions import CoordinationError
from poplarspar.state.replicas import Reports

RECONNECT_DELAY_S = 0.25
REPORT_MAX_GAP_S = 1.5


class ReportReaders:
    """Runs one task for each VM whose reports it reads.

    Parameters
    ----------
    on_report : callable
        Called after each recorded report.
    """

    def __init__(
        self, source: ReportSource, reports: Reports, on_report: Callable[[], None]
    ) -> None:
        self._source = source
        self._reports = reports
        self._on_report = on_report
        self._task_by_target: dict[tuple[str, str], GreenThread] = {}

    def update_vms(self, address_by_vm: dict[str, str]) -> None:
        """Start and stop tasks so that exactly these VMs have one."""
        targets = set(address_by_vm.items())
        for target in set(self._task_by_target) - targets:
            self._task_by_target.pop(target).kill()
            self._reports.forget(target[0])
        for target in targets - set(self._task_by_target):
            self._task_by_target[target] = spawn_supervised(self._read, *target)

    def close(self) -> None:
        """Stop all tasks."""
        self.update_vms({})

    def _read_connection(self, vm: str, address: str) -> None:
        last_at = time.monotonic()
        for report in self._source.reports(vm, address):
            now = time.monotonic()
            if now - last_at > REPORT_MAX_GAP_S:
                # This process was paused, so the reports still buffered on the
                # connection are outdated.
                return
            last_at = now
            self._reports.record(report, now)
            self._on_report()

    def _read(self, vm: str, address: str) -> None:
        while True:
            try:
                self._read_connection(vm, address)
            except CoordinationError:
                pass
            self._reports.forget(vm)
            eventlet.sleep(RECONNECT_DELAY_S)

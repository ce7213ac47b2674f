"""The duty to report usage: commits windows to the store, then reports them."""

import time
from collections.abc import Callable

import eventlet

from poplarspar.coordination.duties.holding import DutyHolding
from poplarspar.coordination.duties.ports import DutyPort
from poplarspar.coordination.duties.usage_exchange import UsageExchange
from poplarspar.coordination.duties.usage_ledger import UsageLedger
from poplarspar.coordination.duties.usage_windows import (
    WindowClock,
    dropped_windows,
    next_record,
)
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.duties import (
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
    UsageReport,
)
from poplarspar.state.usage import UsageRecord

CHECK_INTERVAL_S = 0.2
# The counts of a window that has not ended are stored once in this share of it.
COPY_SHARE = 0.5
# Pause after a call of the store that failed.
STORE_PAUSE_S = 0.8
# Pauses between repetitions of a report.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 3.0


class UsageReporter:
    """Reports the usage of each window, while this node holds the duties.

    A report is sent only once the store has it, so that every holder sends the same
    counts for a window, however often.

    Parameters
    ----------
    nodes : callable
        Returns the processes in the list of nodes.

    Attributes
    ----------
    reported_count, late_count : int
        Reports that this node has seen confirmed, and those that were late.
    """

    def __init__(
        self,
        holding: DutyHolding,
        port: DutyPort,
        ledger: UsageLedger,
        usage: UsageExchange,
        clock: WindowClock,
        nodes: Callable[[], frozenset[str]],
    ) -> None:
        self._holding = holding
        self._port = port
        self._ledger = ledger
        self._usage = usage
        self._totals = usage.totals
        self._clock = clock
        self._nodes = nodes
        self._started_window = clock.window()
        self._known_by_window: dict[int, UsageReport] = {}
        # Those that another holder committed, and may have reported in time.
        self._inherited_windows: set[int] = set()
        self._stored_change = 0
        self._holds = False
        self._copy_at = float("-inf")
        self._store_at = float("-inf")
        self._report_at = float("-inf")
        self._pause_s = FIRST_PAUSE_S
        self._logged_window = 0
        self.reported_count = 0
        self.late_count = 0

    def run(self) -> None:
        """Report windows as they end, without end."""
        while True:
            self.step()
            eventlet.sleep(CHECK_INTERVAL_S)

    def step(self) -> None:
        """Store and report what is due now."""
        settings = self._clock.settings
        self._totals.see(self._nodes(), settings.window_s + settings.due_s)
        # The hold time of a new term passes while its first window waits for nodes.
        self._holding.term()
        if not self._holding.holds():
            self._leave()
            return
        self._holds = True
        if self._is_stored():
            self._report_committed()

    def gauges(self) -> dict[str, float]:
        """Return the gauges of usage reports."""
        return {
            "usage_windows_reported": self.reported_count,
            "usage_windows_reported_late": self.late_count,
            "usage_windows_not_confirmed": len(self._unreported()),
            "usage_window_reported_last": self._usage.reported_window(),
        }

    def _leave(self) -> None:
        """Store once what this node has collected, for the next holder."""
        if not self._holds:
            return
        self._holds = False
        self._pause_s = FIRST_PAUSE_S
        has_more = self._totals.change_count != self._stored_change
        if has_more and not self._copy() and self._read():
            # The next holder has written the record since.
            self._copy()
        self._ledger.forget()

    def _copy(self) -> bool:
        """Store the counts of windows that are not committed."""
        record = self._ledger.record
        if record is None:
            return False
        counts = self._totals.counts_after(record.newest_committed)
        return self._write(UsageRecord(record.reported, record.committed, counts))

    def _is_stored(self) -> bool:
        """Store what is due; return whether the stored record is known."""
        now = time.monotonic()
        if self._ledger.record is None:
            if now < self._store_at or not self._read():
                return False
        record = self._ledger.record
        first_window = min(
            self._started_window, self._totals.first_window() or self._started_window
        )
        has_more = self._totals.change_count != self._stored_change
        following = next_record(
            record,
            self._totals,
            self._clock,
            first_window,
            self._known_by_window,
            self._usage.reported_window(),
            is_copy_due=has_more and now >= self._copy_at,
        )
        return following is None or self._write(following)

    def _read(self) -> bool:
        if not self._ledger.read():
            self._store_at = time.monotonic() + STORE_PAUSE_S
            return False
        record = self._ledger.record
        self._totals.merge(record)
        self._usage.record_reported(record.reported)
        self._inherited_windows.update(
            r.window for r in record.committed if r.window not in self._known_by_window
        )
        self._know(record)
        return True

    def _write(self, record: UsageRecord) -> bool:
        change_count = self._totals.change_count
        dropped = dropped_windows(self._ledger.record, record)
        if not self._ledger.write(record):
            self._store_at = time.monotonic() + STORE_PAUSE_S
            return False
        self._stored_change = change_count
        copy_s = COPY_SHARE * self._clock.settings.window_s
        self._copy_at = time.monotonic() + copy_s
        self._totals.close(record.newest_committed)
        for report in record.committed:
            if report.window not in self._known_by_window:
                log_event(
                    Event.USAGE_COMMITTED,
                    window=report.window,
                    requests=sum(report.requests_by_workspace.values()),
                )
        if dropped:
            log_event(Event.USAGE_DROPPED, first=dropped[0], last=dropped[-1])
        self._know(record)
        return True

    def _know(self, record: UsageRecord) -> None:
        """Remember the committed reports in case the store loses them."""
        self._known_by_window.update({r.window: r for r in record.committed})
        reported = max(record.reported, self._usage.reported_window())
        for window in [w for w in self._known_by_window if w <= reported]:
            del self._known_by_window[window]

    def _unreported(self) -> list[UsageReport]:
        record = self._ledger.record
        committed = record.committed if record else ()
        return [r for r in committed if r.window > self._usage.reported_window()]

    def _report_committed(self) -> None:
        """Report the committed windows in order, until one is not accepted."""
        for report in self._unreported():
            term = self._holding.term()
            if term is None or time.monotonic() < self._report_at:
                return
            match self._port.report_usage(term, report):
                case Performed():
                    self._confirm(report)
                case Superseded():
                    self._holding.lose(term)
                    return
                case (Postponed() | NotAnswered()) as result:
                    self._wait(report, type(result).__name__.lower())
                    return

    def _confirm(self, report: UsageReport) -> None:
        is_late = self._clock.is_late(report.window)
        is_inherited = report.window in self._inherited_windows
        self._inherited_windows.discard(report.window)
        log_event(
            Event.USAGE_LATE if is_late else Event.USAGE_REPORTED,
            window=report.window,
            requests=sum(report.requests_by_workspace.values()),
            after_ms=round(self._clock.ended_s(report.window) * 1000),
            inherited=is_inherited,
        )
        self.reported_count += 1
        self.late_count += is_late and not is_inherited
        self._pause_s = FIRST_PAUSE_S
        self._usage.record_reported(report.window)

    def _wait(self, report: UsageReport, result: str) -> None:
        """Repeat the same report after a pause, which grows."""
        self._report_at = time.monotonic() + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        if report.window != self._logged_window:
            self._logged_window = report.window
            log_event(Event.USAGE_NOT_CONFIRMED, window=report.window, result=result)

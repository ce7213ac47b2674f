"""Decisions on usage windows: which are complete, and what is committed."""

from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.duties.usage_meter import MAX_WINDOWS
from poplarspar.coordination.duties.usage_totals import UsageTotals
from poplarspar.state.duties import DutySettings, UsageReport
from poplarspar.state.usage import UsageRecord

# Share of the time until a report is due for which a window waits for nodes that have
# not handed on its counts, since they are cut off or have ended.
WAIT_SHARE = 0.8
# Nodes hand on their counts several times a second.
MIN_WAIT_S = 1.0


@dataclass(frozen=True)
class WindowClock:
    """Windows of usage by a node's clock.

    Attributes
    ----------
    now_s : callable
        Returns the Unix time in seconds.
    """

    settings: DutySettings
    now_s: Callable[[], float]

    def window(self) -> int:
        """Return the number of the present window."""
        return int(self.now_s() // self.settings.window_s)

    def began_at(self, window: int) -> float:
        """Return the Unix time at which a window begins."""
        return window * self.settings.window_s

    def ended_s(self, window: int) -> float:
        """Return the seconds since the end of a window."""
        return self.now_s() - (window + 1) * self.settings.window_s

    def is_late(self, window: int) -> bool:
        """Return whether the report of a window was due before."""
        return self.ended_s(window) > self.settings.due_s

    def waits(self, window: int) -> bool:
        """Return whether a window still waits for counts of silent nodes."""
        wait_s = max(MIN_WAIT_S, WAIT_SHARE * self.settings.due_s)
        return self.ended_s(window) < wait_s


def next_record(
    record: UsageRecord,
    totals: UsageTotals,
    clock: WindowClock,
    first_window: int,
    known_by_window: dict[int, UsageReport],
    reported: int,
    is_copy_due: bool,
) -> UsageRecord | None:
    """Return the record with all windows committed that are complete.

    Without such windows it is a copy of the present counts, or None if none is due.

    Parameters
    ----------
    record : UsageRecord
        The stored one, whose committed reports stay as they are.
    first_window : int
        Where reports begin if none was ever committed.
    known_by_window : dict of int to UsageReport
        Reports that were committed before the store was restored without them.
    reported : int
        Newest window that is known to be reported.
    is_copy_due : bool
        Whether to store counts of windows that are not complete.
    """
    reported = max(reported, record.reported)
    committed = [report for report in record.committed if report.window > reported]
    old_count = len(committed)
    newest = max([reported, *(report.window for report in committed)])
    window = newest + 1 if newest else first_window
    ended = clock.window() - 1
    window = max(window, ended - MAX_WINDOWS + 1)
    while window <= ended:
        if window not in known_by_window:
            has_all = totals.has_all(window, clock.began_at(window))
            if not totals.most_have_ended(window) or (
                not has_all and clock.waits(window)
            ):
                break
        counted = UsageReport(window, totals.requests_by_workspace(window))
        committed.append(known_by_window.get(window, counted))
        window += 1
    if not (is_copy_due or committed[old_count:]):
        return None
    # More are kept neither here nor by the nodes.
    del committed[:-MAX_WINDOWS]
    return UsageRecord(reported, tuple(committed), totals.counts_after(window - 1))


def dropped_windows(before: UsageRecord, after: UsageRecord) -> range:
    """Return the windows that a record leaves out, since there were too many."""
    first = max(before.reported, after.reported) + 1
    if not before.newest_committed or not after.committed:
        return range(0)
    return range(first, after.committed[0].window)

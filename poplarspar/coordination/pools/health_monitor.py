"""What the planner has heard from the backend servers of model services."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal
from eventlet.greenthread import GreenThread

from poplarspar.exceptions import BackendFailed
from poplarspar.state.backends import BackendReport, BackendServer, EngineState

REPORT_TIMEOUT_S = 0.3
RETRY_PERIOD_S = 0.05
# Reports show the state of some hundred milliseconds ago.
MAX_REPORT_LAG_S = 0.25
# Members of replica groups are asked this often; a lost one stops its group.
MEMBER_PERIOD_S = 0.3
SPARE_PERIOD_S = 0.8
# In a large fleet all are asked less often; nodes that see no work tell of losses.
MOST_QUESTIONS_PER_S = 250.0
# While a report may be older than the last order, the next one is due soon.
UNSETTLED_PERIOD_S = 0.26
# A backend server that is no longer listed may still serve its replica group; it is
# forgotten when it has been silent for longer than any group outlives its loss.
FORGET_S = 8.0
# Two answers lost in a row, each with a time-out, are no accident of one packet.
SILENT_FAILURES = 2
SILENT_S = 0.75
# With a node's suspicion, shorter time-outs decide.
SUSPECT_TIMEOUT_S = 0.1
SUSPECT_FAILURES = 2
SUSPICION_S = 1.0


class ReportPort(Protocol):
    """Questions to backend servers about their state."""

    def read(self, backend: BackendServer, timeout_s: float) -> BackendReport:
        """Return a report; raises `BackendFailed`."""

    def disconnect(self, backend: BackendServer) -> None:
        """Close the connection to a backend server."""


@dataclass
class Observation:
    """The last report of a backend server.

    Attributes
    ----------
    heard_at : float
        Monotonic time at which the question was sent that it answered.
    listed : bool
        Whether it still has an entry in the platform's list.
    ordered_at : float
        Time of the last order; reports may show the state before it for a while.
    failures : int
        Questions without an answer in a row.
    suspected_at : float
        Time since when a node misses signs of its work.
    failed_since_suspected : int
        Questions without an answer since then.
    draining_at : float
        Time since when it says that it is about to stop.
    """

    backend: BackendServer
    report: BackendReport | None = None
    reported_at: float = float("-inf")
    listed: bool = True
    ordered_at: float = float("-inf")
    failures: int = 0
    suspected_at: float = float("-inf")
    failed_since_suspected: int = 0
    draining_since: float = float("inf")

    def is_silent(self, now: float) -> bool:
        """Return whether the backend server has stopped to answer."""
        if self.failed_since_suspected >= SUSPECT_FAILURES:
            return True
        if self.failures < SILENT_FAILURES:
            return False
        return now - self.reported_at > SILENT_S

    def record_order(self, hosting: EngineState | None) -> None:
        """Keep the time of an order, and the state that it brought about.

        Parameters
        ----------
        hosting : Hosting or None
            None if nothing is known of the order's effect.
        """
        self.ordered_at = time.monotonic()
        if hosting is not None and self.report is not None:
            self.report = replace(self.report, engine_state=hosting)

    def restore_last_model(self, model: str) -> None:
        """Keep the model that was served last, which reports don't tell for long."""
        if model and not self.report.engine_state.model:
            hosting = replace(self.report.engine_state, model=model)
            self.report = replace(self.report, engine_state=hosting)

    def reflects_last_order(self) -> bool:
        """Return whether the last report shows the effect of the last order."""
        return self.reported_at >= self.ordered_at + MAX_REPORT_LAG_S


class HealthMonitor:
    """Asks each backend server of model services for reports, one task for each.

    Parameters
    ----------
    changed : callable
        Called when a report says something new.
    """

    def __init__(self, reports: ReportPort, on_change: Callable[[], None]) -> None:
        self._reports = reports
        self._changed = on_change
        self._task_by_id: dict[str, GreenThread] = {}
        self._hurry_by_id: dict[str, Signal] = {}
        self.by_id: dict[str, Observation] = {}
        # Replica groups whose head was seen to leave them or to start anew.
        self.ended_groups: set[tuple[str, int]] = set()

    def set_backends(self, backends: dict[str, BackendServer]) -> None:
        """Ask these backend servers from now on, and others while they answer."""
        now = time.monotonic()
        for id, heard in list(self.by_id.items()):
            heard.listed = id in backends
            if not heard.listed and now - heard.reported_at > FORGET_S:
                self._drop(id)
        for id, backend in backends.items():
            heard = self.by_id.get(id)
            if heard is not None and heard.backend.address != backend.address:
                self._drop(id)
                heard = None
            if heard is not None:
                heard.backend = backend
                if backend.draining:
                    heard.draining_since = min(heard.draining_since, now)
                continue
            # The last planner's orders show in reports only after a while.
            self.by_id[id] = Observation(backend, ordered_at=now)
            self._hurry_by_id[id] = Signal()
            self._task_by_id[id] = eventlet.spawn(self._ask_forever, id)

    def probe_now(self, id: str) -> None:
        """Ask a backend server at once."""
        signal = self._hurry_by_id.get(id)
        if signal is not None and not signal.ready():
            signal.send()

    def suspect(self, id: str) -> None:
        """Ask at once and take silence for a loss sooner than otherwise."""
        heard = self.by_id[id]
        now = time.monotonic()
        if now - heard.suspected_at > SUSPICION_S:
            heard.suspected_at = now
            heard.failed_since_suspected = 0
            self.probe_now(id)

    def close(self) -> None:
        """Stop asking."""
        for id in list(self.by_id):
            self._drop(id)
        self.ended_groups.clear()

    def _drop(self, id: str) -> None:
        heard = self.by_id.pop(id)
        self._hurry_by_id.pop(id)
        self._task_by_id.pop(id).kill()
        self._reports.disconnect(heard.backend)

    def _ask_forever(self, id: str) -> None:
        while True:
            heard = self.by_id[id]
            if self._ask(heard):
                self._rest(id, self._period_s(heard))
            else:
                self._rest(id, RETRY_PERIOD_S)

    def _ask(self, heard: Observation) -> bool:
        asked_at = time.monotonic()
        suspected = asked_at - heard.suspected_at < SUSPICION_S
        timeout_s = SUSPECT_TIMEOUT_S if suspected else REPORT_TIMEOUT_S
        try:
            report = self._reports.read(heard.backend, timeout_s)
        except BackendFailed:
            # Silence is judged by the time since the last answer.
            heard.failures += 1
            heard.failed_since_suspected += suspected
            if heard.is_silent(time.monotonic()):
                self._changed()
            return False
        heard.failures = 0
        heard.failed_since_suspected = 0
        self._take(heard, report, asked_at)
        return True

    def _take(self, heard: Observation, report: BackendReport, asked_at: float) -> None:
        known = heard.report
        was_settled = heard.reflects_last_order()
        heard.reported_at = asked_at
        if known is not None and known.started_ms == report.started_ms:
            hosting = report.engine_state
            if not heard.reflects_last_order():
                # The report may be older than the last order.
                hosting = known.engine_state
            elif not hosting.model:
                # What it served last it serves again soonest, also out of a group.
                hosting = replace(hosting, model=known.engine_state.model)
            report = replace(report, engine_state=hosting)
        heard.report = report
        if known is None or known.engine_state != report.engine_state:
            self._note_end(known, report)
            self._changed()
        elif not was_settled and heard.reflects_last_order():
            self._changed()

    def _note_end(self, known: BackendReport | None, report: BackendReport) -> None:
        membership = known.engine_state.membership if known else None
        if membership is None or membership.rank != 0:
            return
        present = report.engine_state.membership
        if present is None or present.key != membership.key:
            self.ended_groups.add(membership.key)

    def record_order(self, id: str, hosting: EngineState | None) -> None:
        """Keep what an order did to a backend server."""
        heard = self.by_id.get(id)
        if heard is None:
            return
        known = heard.report
        heard.record_order(hosting)
        if hosting is not None and known is not None:
            self._note_end(known, heard.report)
        self.probe_now(id)

    def _rest(self, id: str, period_s: float) -> None:
        signal = self._hurry_by_id[id]
        with eventlet.Timeout(period_s, False):
            signal.wait()
        if signal.ready():
            self._hurry_by_id[id] = Signal()

    def _period_s(self, heard: Observation) -> float:
        if not heard.reflects_last_order():
            return UNSETTLED_PERIOD_S
        asked_per_s = len(self.by_id) / MEMBER_PERIOD_S
        stretch = max(1.0, asked_per_s / MOST_QUESTIONS_PER_S)
        report = heard.report
        if report is not None and report.engine_state.membership is not None:
            return MEMBER_PERIOD_S * stretch
        return SPARE_PERIOD_S * stretch

"""Health checks of the backend servers of model services."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal
from eventlet.greenthread import GreenThread

from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendReport, BackendServer, EngineState

REPORT_TIMEOUT_S = 0.3
PROBE_RETRY_S = 0.05
# A report shows the state of up to a few hundred milliseconds ago.
MAX_REPORT_LAG_S = 0.25
# A replica group stops when it loses a member, so members are probed more often.
MEMBER_PROBE_PERIOD_S = 0.3
SPARE_PROBE_PERIOD_S = 0.8
# Probes of a large fleet are less frequent; stalls that nodes report reveal losses.
MAX_PROBES_PER_S = 250.0
# Probe period while the last report may be older than the last order.
STALE_PROBE_PERIOD_S = 0.26
# A backend server that is no longer listed may still serve its replica group. The
# monitor drops it after this time without a report, since no group runs this long
# after it loses a member.
UNLISTED_TIMEOUT_S = 8.0
# A single lost packet doesn't cause two consecutive timeouts.
SILENT_FAILURES = 2
SILENT_TIMEOUT_S = 0.75
# Shorter timeouts apply after a node reports that a replica group has stalled.
SUSPECT_TIMEOUT_S = 0.1
SUSPECT_FAILURES = 2
SUSPICION_S = 1.0


class ReportPort(Protocol):
    """Reads reports from backend servers."""

    def read(self, backend: BackendServer, timeout_s: float) -> BackendReport:
        """Return the backend server's report; raises `BackendFailed`."""

    def disconnect(self, backend: BackendServer) -> None:
        """Close the connection to a backend server."""


@dataclass
class Observation:
    """The last report of a backend server and the outcome of its health checks.

    Attributes
    ----------
    reported_at : float
        Monotonic time at which the probe of the last report was sent.
    listed : bool
        Whether the platform's list contains the backend server.
    ordered_at : float
        Monotonic time of the last order; reports lag behind it by up to
        `MAX_REPORT_LAG_S`.
    failures : int
        Consecutive failed probes.
    suspected_at : float
        Monotonic time at which a node reported a stall of its replica group.
    failed_since_suspected : int
        Consecutive failed probes since then.
    draining_since : float
        Monotonic time at which the platform's list first marked it as draining.
    newest_report : tuple of (int, int)
        Start and number of accepted orders in the newest report that has arrived.
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
    newest_report: tuple[int, int] = (0, 0)

    def is_silent(self, now: float) -> bool:
        """Return whether the backend server no longer answers probes."""
        if self.failed_since_suspected >= SUSPECT_FAILURES:
            return True
        if self.failures < SILENT_FAILURES:
            return False
        return now - self.reported_at > SILENT_TIMEOUT_S

    def is_suspected(self, now: float) -> bool:
        """Return whether probes have shorter timeouts, after a report of a stall."""
        return now - self.suspected_at < SUSPICION_S

    def record_order(self, engine_state: EngineState | None) -> None:
        """Record the time of an order and the state that results from it.

        Parameters
        ----------
        engine_state : EngineState or None
            None if the effect of the order is unknown.
        """
        self.ordered_at = time.monotonic()
        if engine_state is not None and self.report is not None:
            self.report = replace(self.report, engine_state=engine_state)

    def restore_last_model(self, model: str) -> None:
        """Set the model served last, which later reports no longer contain."""
        if model and not self.report.engine_state.model:
            engine_state = replace(self.report.engine_state, model=model)
            self.report = replace(self.report, engine_state=engine_state)

    def is_outdated(self, report: BackendReport) -> bool:
        """Return whether a report is from before one that has arrived already.

        A faulty backend server may write an earlier answer once more.
        """
        return _age_key(report) < self.newest_report

    def reflects_last_order(self) -> bool:
        """Return whether the last report shows the effect of the last order."""
        return self.reported_at >= self.ordered_at + MAX_REPORT_LAG_S


def _age_key(report: BackendReport) -> tuple[int, int]:
    """Return a key that never decreases in the reports of a backend server."""
    return report.started_ms, report.engine_state.accepted_orders


class HealthMonitor:
    """Probes each backend server of model services in a task of its own.

    Parameters
    ----------
    on_change : callable
        Called when a backend server changes state or becomes silent, and when its
        report first reflects the last order.
    """

    def __init__(self, reports: ReportPort, on_change: Callable[[], None]) -> None:
        self._reports = reports
        self._on_change = on_change
        self._task_by_id: dict[str, GreenThread] = {}
        self._probe_signal_by_id: dict[str, Signal] = {}
        self.by_id: dict[str, Observation] = {}
        # Replica groups whose head has left the group or has restarted.
        self.ended_groups: set[tuple[str, int]] = set()

    def set_backends(self, backends: dict[str, BackendServer]) -> None:
        """Set the listed backend servers; probe others only while they answer."""
        now = time.monotonic()
        for id, observation in list(self.by_id.items()):
            observation.listed = id in backends
            if (
                not observation.listed
                and now - observation.reported_at > UNLISTED_TIMEOUT_S
            ):
                self._drop(id)
        for id, backend in backends.items():
            observation = self.by_id.get(id)
            if (
                observation is not None
                and observation.backend.address != backend.address
            ):
                self._drop(id)
                observation = None
            if observation is not None:
                observation.backend = backend
                if backend.draining:
                    observation.draining_since = min(observation.draining_since, now)
                continue
            # Reports may not reflect the last orders of the previous planner yet.
            self.by_id[id] = Observation(backend, ordered_at=now)
            self._probe_signal_by_id[id] = Signal()
            self._task_by_id[id] = spawn_supervised(self._probe_loop, id)

    def probe_now(self, id: str) -> None:
        """Probe a backend server without waiting for the end of its probe period."""
        signal = self._probe_signal_by_id.get(id)
        if signal is not None and not signal.ready():
            signal.send()

    def suspect(self, id: str) -> None:
        """Probe a backend server now, with shorter timeouts for a while."""
        observation = self.by_id[id]
        now = time.monotonic()
        if not observation.is_suspected(now):
            observation.suspected_at = now
            observation.failed_since_suspected = 0
            self.probe_now(id)

    def close(self) -> None:
        """Stop all probes."""
        for id in list(self.by_id):
            self._drop(id)
        self.ended_groups.clear()

    def _drop(self, id: str) -> None:
        observation = self.by_id.pop(id)
        self._probe_signal_by_id.pop(id)
        self._task_by_id.pop(id).kill()
        self._reports.disconnect(observation.backend)

    def _probe_loop(self, id: str) -> None:
        while True:
            observation = self.by_id[id]
            if self._probe(observation):
                self._wait(id, self._period_s(observation))
            else:
                self._wait(id, PROBE_RETRY_S)

    def _probe(self, observation: Observation) -> bool:
        sent_at = time.monotonic()
        suspected = observation.is_suspected(sent_at)
        timeout_s = SUSPECT_TIMEOUT_S if suspected else REPORT_TIMEOUT_S
        try:
            report = self._read_report(observation, timeout_s)
        except BackendFailed:
            # `is_silent` also checks the time since the last report.
            observation.failures += 1
            observation.failed_since_suspected += suspected
            if observation.is_silent(time.monotonic()):
                self._on_change()
            return False
        observation.failures = 0
        observation.failed_since_suspected = 0
        self._apply_report(observation, report, sent_at)
        return True

    def _read_report(self, observation: Observation, timeout_s: float) -> BackendReport:
        """Return a report that is not from before the last one."""
        backend = observation.backend
        report = self._reports.read(backend, timeout_s)
        if observation.is_outdated(report):
            # The next answer on this connection belongs to this probe.
            self._reports.disconnect(backend)
            log_event(Event.ANSWER_REPEATED, peer=backend.id)
            raise BackendFailed("report: an earlier one", sent=True)
        observation.newest_report = _age_key(report)
        return report

    def _apply_report(
        self, observation: Observation, report: BackendReport, sent_at: float
    ) -> None:
        previous = observation.report
        was_current = observation.reflects_last_order()
        observation.reported_at = sent_at
        if previous is not None and previous.started_ms == report.started_ms:
            engine_state = report.engine_state
            if not observation.reflects_last_order():
                # The report may predate the last order.
                engine_state = previous.engine_state
            elif not engine_state.model:
                # A backend server outside a group still loads its last model fastest.
                engine_state = replace(engine_state, model=previous.engine_state.model)
            report = replace(report, engine_state=engine_state)
        observation.report = report
        has_restarted = previous is not None and (
            previous.started_ms != report.started_ms
        )
        if has_restarted and not observation.backend.draining:
            observation.draining_since = float("inf")
        if report.leaving and observation.draining_since == float("inf"):
            # Its entry in the store may say so later, or not at all.
            observation.draining_since = time.monotonic()
            self._on_change()
        if previous is None or previous.engine_state != report.engine_state:
            self._record_group_end(previous, report)
            self._on_change()
        elif not was_current and observation.reflects_last_order():
            self._on_change()

    def _record_group_end(
        self, previous: BackendReport | None, report: BackendReport
    ) -> None:
        membership = previous.engine_state.membership if previous else None
        if membership is None or membership.rank != 0:
            return
        current = report.engine_state.membership
        if current is None or current.key != membership.key:
            self.ended_groups.add(membership.key)

    def record_order(self, id: str, engine_state: EngineState | None) -> None:
        """Record the effect of an order on a backend server."""
        observation = self.by_id.get(id)
        if observation is None:
            return
        previous = observation.report
        observation.record_order(engine_state)
        if engine_state is not None and previous is not None:
            self._record_group_end(previous, observation.report)
        self.probe_now(id)

    def _wait(self, id: str, period_s: float) -> None:
        signal = self._probe_signal_by_id[id]
        with eventlet.Timeout(period_s, False):
            signal.wait()
        if signal.ready():
            self._probe_signal_by_id[id] = Signal()

    def _period_s(self, observation: Observation) -> float:
        if not observation.reflects_last_order():
            return STALE_PROBE_PERIOD_S
        probes_per_s = len(self.by_id) / MEMBER_PROBE_PERIOD_S
        period_factor = max(1.0, probes_per_s / MAX_PROBES_PER_S)
        report = observation.report
        if report is not None and report.engine_state.membership is not None:
            return MEMBER_PROBE_PERIOD_S * period_factor
        return SPARE_PROBE_PERIOD_S * period_factor

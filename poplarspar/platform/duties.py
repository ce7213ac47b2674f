"""Calls of duties, in the platform's format; see `coordination.duties.DutyPort`."""

import json

from poplarspar.events import Event
from poplarspar.exceptions import TransportError
from poplarspar.logs import log_event
from poplarspar.platform.headers import FENCING_TOKEN, LEASE_HOLDER
from poplarspar.state.duties import (
    CapacityOrder,
    DutyResult,
    DutyTerm,
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
    UsageReport,
)
from poplarspar.transport.http import send_request

USAGE_PATH = "/usage"
CAPACITY_PATH = "/scale"
# A call that takes longer may still take effect; both duties repeat theirs.
ANSWER_TIMEOUT_S = 1.0
OK = 200
CONFLICT = 409
POSTPONED = (429, 503)


class PlatformDutyCaller:
    """Makes the calls of duties, each on a connection of its own.

    Parameters
    ----------
    address : str
        Host and port of the platform's interface for duties.
    """

    def __init__(self, address: str) -> None:
        self._address = address

    def report_usage(self, term: DutyTerm, report: UsageReport) -> DutyResult:
        """Report the usage of one window."""
        counts = dict(sorted(report.requests_by_workspace.items()))
        body = {"window": report.window, "counts": counts}
        return self._call(term, USAGE_PATH, body)

    def order_capacity(self, term: DutyTerm, order: CapacityOrder) -> DutyResult:
        """Order a number of backend servers."""
        body = {"service": order.service, "zone": order.zone, "desired": order.count}
        return self._call(term, CAPACITY_PATH, body)

    def _call(self, term: DutyTerm, path: str, body: dict) -> DutyResult:
        try:
            answer = send_request(
                self._address,
                "POST",
                path,
                json.dumps(body, separators=(",", ":")).encode(),
                read_timeout_s=ANSWER_TIMEOUT_S,
                headers={
                    "Content-Type": "application/json",
                    LEASE_HOLDER: term.holder,
                    FENCING_TOKEN: str(term.token),
                },
            )
        except TransportError:
            return NotAnswered()
        if answer.status == OK:
            return Performed()
        if answer.status == CONFLICT:
            return Superseded()
        if answer.status not in POSTPONED:
            # Not a status of the protocol; whether the call took effect is unknown.
            log_event(Event.DUTY_NOT_UNDERSTOOD, path=path, status=answer.status)
            return NotAnswered()
        return Postponed()

"""The platform's interface for duties, and the check of the reports that it gets."""

import json
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import eventlet

from poplarspar.platform.headers import FENCING_TOKEN, LEASE_HOLDER
from poplarspar.transport.server import Request, Response, json_response
from standins.platform import PlatformServer, Run

WINDOW_S = 2.0
DUE_S = 10.0
SETTINGS = f"""
report_window_s = {WINDOW_S}
usage_late_s = {DUE_S}
lease_ms = 1000
[cloud]
address = "{{address}}"
duties = ["usage_report"]
duty_per_s = 20
"""
# Shares of calls that are refused, whose answer is lost, and that come late.
REFUSED, LOST, LATE = 0.1, 0.2, 0.1
LATE_S = 2.0
# Requests at the edges of a window, and those that callers leave, may be counted
# in the next one or not at all.
TOLERANCE = 0.05
FEW_REQUESTS = 4
CONFLICT = 409
TOO_MANY_REQUESTS = 429


@dataclass(frozen=True)
class ReportCall:
    """One usage report that the platform has accepted."""

    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


class DutyPlatform(PlatformServer):
    """Accepts usage reports, some of them late or without an answer."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed + 5)
        self._newest_token = 0
        self.accepted: list[ReportCall] = []
        super().__init__()

    def handle(self, request: Request) -> Response:
        """Take a report, unless another holder has a higher token."""
        draw = self._random.random()
        if draw < REFUSED:
            return json_response(TOO_MANY_REQUESTS, {})
        if draw < REFUSED + LATE:
            eventlet.spawn_after(LATE_S, self._accept, request)
            return Response(0, b"")
        status = self._accept(request)
        if draw < REFUSED + LATE + LOST:
            return Response(0, b"")
        return json_response(status, {})

    def _accept(self, request: Request) -> int:
        token = int(request.headers[FENCING_TOKEN])
        if token < self._newest_token:
            return CONFLICT
        self._newest_token = token
        body = json.loads(request.body)
        self.accepted.append(
            ReportCall(
                time.time(),
                request.headers[LEASE_HOLDER],
                token,
                body["window"],
                body["counts"],
            )
        )
        return 200


def report_problems(accepted: Iterable[ReportCall]) -> Iterator[str]:
    """Check that one window has one report, and one token one holder."""
    counts_by_window: dict[int, dict[str, int]] = {}
    holder_by_token: dict[int, str] = {}
    for call in accepted:
        first = counts_by_window.setdefault(call.window, call.counts)
        if first != call.counts:
            yield f"window {call.window} was reported as {first} and {call.counts}"
        holder = holder_by_token.setdefault(call.token, call.holder)
        if holder != call.holder:
            yield f"{holder} and {call.holder} used the token {call.token}"


def usage_problems(
    accepted: Iterable[ReportCall],
    runs: Iterable[Run],
    whole_windows: Iterable[int],
    unix_offset_s: float,
) -> Iterator[str]:
    """Check reports against the requests that backend servers began to run.

    Parameters
    ----------
    whole_windows : iterable of int
        Windows without an unplanned fault until their report was due.
    unix_offset_s : float
        Unix time at the zero of the clock of `runs`.
    """
    truth: dict[int, Counter[str]] = defaultdict(Counter)
    seen = set()
    for run in sorted(runs, key=lambda run: run.started_at):
        if run.attempt_id not in seen:
            seen.add(run.attempt_id)
            window = int((run.started_at + unix_offset_s) // WINDOW_S)
            truth[window][run.workspace] += 1
    report_by_window = {call.window: call for call in accepted}
    for window in whole_windows:
        call = report_by_window.get(window)
        if call is None:
            yield f"window {window} was not reported"
            continue
        if call.at > (window + 1) * WINDOW_S + DUE_S:
            yield f"window {window} was reported late"
        for workspace, began in truth[window].items():
            counted = call.counts.get(workspace, 0)
            if abs(counted - began) > max(FEW_REQUESTS, TOLERANCE * began):
                yield f"window {window}: {workspace} began {began}, reported {counted}"


def windows_between(begin: float, end: float) -> range:
    """Return the windows that lie between two Unix times, reports included."""
    first = int(begin // WINDOW_S) + 1
    return range(first, max(first, int((end - DUE_S) // WINDOW_S)))

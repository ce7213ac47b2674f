"""What the stand-ins of backend servers share: load, cold starts and reports."""

import json
import time
import uuid
from collections import Counter, deque
from contextlib import contextmanager

import eventlet

from poplarspar.transport.server import Request, Response, json_response

REPORT_PERIOD_S = 0.25
REPORT_LAG_S = 0.5


class OverloadCrash(Exception):
    """The backend server got more than it bears."""


class Backend:
    """A backend server that bears little while cold and falls over above that."""

    def __init__(self, vm: str, cold: int, warm: int, boot_s: float) -> None:
        self.vm = vm
        self.cold = cold
        self.warm = warm
        self.boot_s = boot_s
        self.counts: Counter[str] = Counter()
        self.peak_running = 0
        self.running_history: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.start()

    def start(self) -> None:
        self.incarnation = uuid.uuid4().hex[:12]
        self.running = 0
        self.completed = 0
        self.limit = self.cold
        self.up_at = time.monotonic() + self.boot_s

    def restart(self) -> None:
        """Turn cold without a warning; running requests break."""
        self.counts["restarts"] += 1
        self.start()

    @property
    def is_up(self) -> bool:
        return time.monotonic() >= self.up_at

    @contextmanager
    def load(self):
        """Count one request; too many of them make the server fall over."""
        incarnation = self.incarnation
        self.running += 1
        self.counts["started"] += 1
        self.record_running()
        if self.running > self.limit:
            self.counts["overloads"] += 1
            self.restart()
            raise OverloadCrash
        try:
            yield incarnation
        finally:
            if self.incarnation == incarnation:
                self.running -= 1
                self.record_running()

    def complete(self) -> None:
        self.counts["completed"] += 1
        self.completed += 1
        if self.completed >= max(2, self.limit):
            self.completed = 0
            self.limit = min(self.limit * 2, self.warm)

    def record_running(self) -> None:
        self.peak_running = max(self.peak_running, self.running)
        self.running_history.append((time.monotonic(), self.running))

    def delayed_running(self) -> int:
        as_of = time.monotonic() - REPORT_LAG_S
        while len(self.running_history) > 1 and self.running_history[1][0] <= as_of:
            self.running_history.popleft()
        return self.running_history[0][1]

    def report(self) -> dict:
        return {
            "vm": self.vm,
            "incarnation": self.incarnation,
            "ready": self.is_up,
            "running": self.delayed_running(),
        }

    def reports(self):
        while True:
            yield b"data: " + json.dumps(self.report()).encode() + b"\n\n"
            eventlet.sleep(REPORT_PERIOD_S)

    def handle_common(self, request: Request) -> Response | None:
        match request.method, request.path:
            case "GET", "/v1/reports":
                return Response(200, self.reports(), "text/event-stream")
            case "GET", "/counts":
                ready = self.report()["ready"]
                counts = {
                    "peak": self.peak_running,
                    "running": self.running,
                    "ready": ready,
                }
                return json_response(200, {**self.counts, **counts})
            case "POST", "/restart":
                self.restart()
                return json_response(200, {})
        return None

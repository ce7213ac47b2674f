"""Log lines on standard output, bounded, and never waiting for their reader."""

import logging
import os
import sys
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

from poplarspar.events import Event

LOGGER = logging.getLogger("poplarspar")
# Lines of one event in a second; more of them say nothing new.
MAX_LINES_PER_S = 25
# Bytes of a line that a full pipe took only in part.
MAX_BACKLOG_BYTES = 65_536


class EventRateLimiter:
    """Bounds the lines of each event, and counts those left out."""

    def __init__(self) -> None:
        self._second = 0
        self._written: Counter[int] = Counter()
        self.suppressed: Counter[int] = Counter()

    def allow(self, number: int) -> bool:
        """Return whether one more line of an event may be written now."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        if self._written[number] >= MAX_LINES_PER_S:
            self.suppressed[number] += 1
            return False
        self._written[number] += 1
        return True

    def pop_suppressed(self) -> dict[str, int]:
        """Return the counts of lines left out since the last call."""
        if not self.suppressed or int(time.monotonic()) == self._second:
            return {}
        counts, self.suppressed = self.suppressed, Counter()
        return {str(number): count for number, count in sorted(counts.items())}


class LineWriter(logging.Handler):
    """Writes lines to a descriptor; a reader that stops costs lines, not time."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rest = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        data = self.format(record).encode() + b"\n"
        if len(self._rest) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped_lines += 1
            return
        data = self._rest + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good; nobody is left to tell.
            self.dropped_lines += 1
            return
        self._rest = data[written:]


def set_up_logging(daemon: str) -> LineWriter:
    """Write events of this process to standard output, one JSON object a line.

    Parameters
    ----------
    daemon : str
        Name of the daemon, put into each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"daemon": daemon},
    )
    writer.setFormatter(formatter)
    LOGGER.handlers = [writer]
    LOGGER.propagate = False
    LOGGER.setLevel(logging.INFO)
    return writer


# Each refused or failed request has its line, however many there are.
UNLIMITED_EVENTS = (Event.REQUEST_REFUSED, Event.STREAM_BROKEN, Event.REQUEST_FAILED)
_BUDGET = EventRateLimiter()


def log_event(event: Event, **fields: object) -> None:
    """Write one event with its fields; never pass secrets or callers' texts."""
    left_out = _BUDGET.pop_suppressed()
    if left_out:
        _write(Event.LINES_LEFT_OUT, lines_by_event=left_out)
    if event in UNLIMITED_EVENTS or _BUDGET.allow(event.number):
        _write(event, **fields)


def _write(event: Event, **fields: object) -> None:
    LOGGER.info(event.message, extra={"event": event.number, **fields})

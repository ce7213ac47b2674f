"""Rate-limited, non-blocking log lines on standard output."""

import logging
import sys
import time
from collections import Counter

from eventlet.patcher import original
from pythonjsonlogger.json import JsonFormatter

from poplarspar.events import Event

# Eventlet's own `os.write` waits while a pipe is full, and retries without end once its
# reader has closed it.
os = original("os")
LOGGER = logging.getLogger("poplarspar")
# Limit for each event; further lines add no information.
MAX_LINES_PER_S = 25
# Unwritten bytes kept while the pipe is full.
MAX_BACKLOG_BYTES = 65_536


class EventRateLimiter:
    """Limits the lines of each event, and counts the suppressed ones."""

    def __init__(self) -> None:
        self._window_start_s = 0
        self._count_by_event: Counter[int] = Counter()
        self.suppressed: Counter[int] = Counter()

    def allow(self, number: int) -> bool:
        """Return whether the limit allows one more line of an event now."""
        second = int(time.monotonic())
        if second != self._window_start_s:
            self._window_start_s = second
            self._count_by_event.clear()
        if self._count_by_event[number] >= MAX_LINES_PER_S:
            self.suppressed[number] += 1
            return False
        self._count_by_event[number] += 1
        return True

    def pop_suppressed(self) -> dict[str, int]:
        """Return and reset the counts of suppressed lines, by event number."""
        if not self.suppressed or int(time.monotonic()) == self._window_start_s:
            return {}
        counts, self.suppressed = self.suppressed, Counter()
        return {str(number): count for number, count in sorted(counts.items())}


class LineWriter(logging.Handler):
    """Writes lines to a descriptor without blocking; drops them if the pipe is full."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._backlog = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it if the backlog is full."""
        data = self.format(record).encode() + b"\n"
        if len(self._backlog) + len(data) > MAX_BACKLOG_BYTES:
            self.dropped_lines += 1
            return
        data = self._backlog + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the error can't be reported either.
            self.dropped_lines += 1
            return
        self._backlog = data[written:]


def set_up_logging(daemon: str) -> LineWriter:
    """Write events of this process to standard output, one JSON object a line.

    Parameters
    ----------
    daemon : str
        Name of the daemon, written to each line.
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


# Each refused or failed request gets its own line, without a limit.
UNLIMITED_EVENTS = (Event.REQUEST_REFUSED, Event.STREAM_BROKEN, Event.REQUEST_FAILED)
_RATE_LIMITER = EventRateLimiter()


def log_event(event: Event, **fields: object) -> None:
    """Write one event; `fields` must not contain secrets or callers' texts."""
    suppressed = _RATE_LIMITER.pop_suppressed()
    if suppressed:
        _write(Event.LINES_LEFT_OUT, lines_by_event=suppressed)
    if event in UNLIMITED_EVENTS or _RATE_LIMITER.allow(event.number):
        _write(event, **fields)


def _write(event: Event, **fields: object) -> None:
    LOGGER.info(event.message, extra={"event": event.number, **fields})

"""Unix time that does not follow steps of a VM's time of day."""

import time
from collections.abc import Callable

from poplarspar.coordination.session import boot_clock_s
from poplarspar.events import Event
from poplarspar.logs import log_event

# A larger change of the time of day is a step.
STEP_S = 0.25
# A step that lasts this long is a correction.
CORRECTION_S = 60.0


class TrueClock:
    """Unix time by the boot clock, which also counts while the VM is suspended.

    The time of day may jump by seconds and jump back. It sets this clock at the start
    of the process, and corrects it by small changes, or by one that lasts.

    Parameters
    ----------
    boot_clock, time_of_day : callable
        Return seconds.
    """

    def __init__(
        self,
        boot_clock: Callable[[], float] = boot_clock_s,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._boot_clock = boot_clock
        self._time_of_day = time_of_day
        self._offset_s = time_of_day() - boot_clock()
        self._step_s = 0.0
        self._stepped_at = 0.0
        self._newest_s = float("-inf")

    def now(self) -> float:
        """Return the Unix time in seconds, which never runs backward."""
        boot_s = self._boot_clock()
        self._follow(self._time_of_day() - boot_s - self._offset_s, boot_s)
        self._newest_s = max(self._newest_s, boot_s + self._offset_s)
        return self._newest_s

    def _follow(self, change_s: float, boot_s: float) -> None:
        if abs(change_s) < STEP_S:
            self._offset_s += change_s
            self._step_s = 0.0
        elif abs(change_s - self._step_s) >= STEP_S:
            self._step_s, self._stepped_at = change_s, boot_s
            log_event(Event.CLOCK_STEPPED, step_ms=round(change_s * 1000))
        elif boot_s >= self._stepped_at + CORRECTION_S:
            self._offset_s += change_s
            self._step_s = 0.0

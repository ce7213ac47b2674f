"""Detection of stalled replica groups, whose streams move to other groups."""

import time

from poplarspar.coordination.forwarding.target import MovableStream, Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.logs import log_event

# Added to the expected time between two events of a working group, since the group
# may also prefill prompts that other nodes sent and this node doesn't know of yet.
STALL_MARGIN_S = 0.1
# A working replica group sends an event of each stream every 30 to 150 ms, and takes
# longer only if it is slow or prefills many prompts. A single stream may also have lost
# its connection while its group serves others.
SILENCE_S = 0.6
# If a check runs later than twice this interval, the process itself was delayed and
# events may have arrived that it has not read yet.
STALL_CHECK_INTERVAL_S = 0.03


class StallDetector:
    """Detects stalled replica groups and moves their streams."""

    def __init__(self, targets: Targets) -> None:
        self._targets = targets
        self._checked_at = float("-inf")

    def check(self) -> None:
        """Move the streams of stalled groups.

        A timer calls this every `STALL_CHECK_INTERVAL_S` seconds.
        """
        now = time.monotonic()
        delayed = now > self._checked_at + 2 * STALL_CHECK_INTERVAL_S
        self._checked_at = now
        if delayed:
            return
        for target in self._targets.with_streams():
            timeout_s = self._stall_timeout_s(target)
            if target.stalled_s(now) > timeout_s:
                self._move_streams(target, now)
            self._move_silent_streams(target, max(SILENCE_S, timeout_s), now)

    def _move_streams(self, target: Target, now: float) -> None:
        """Move all streams of a target if the other groups have slots for all."""
        if self._targets.free_slots_elsewhere(target, now) < len(target.streams):
            return
        self._move(list(target.streams), target, now)

    def _move_silent_streams(
        self, target: Target, timeout_s: float, now: float
    ) -> None:
        """Move the streams without a new event for `timeout_s`, as many as possible."""
        silent = [s for s in target.streams if s.silent_s(now) > timeout_s]
        if silent:
            free_slots = self._targets.free_slots_elsewhere(target, now)
            self._move(silent[:free_slots], target, now)

    def _move(self, streams: list[MovableStream], target: Target, now: float) -> None:
        moved = [stream for stream in streams if stream.move()]
        if moved:
            target.record_failure()
            log_event(
                Event.STREAMS_MOVED,
                backend=target.backend.id,
                streams=len(moved),
                stalled_ms=int(target.stalled_s(now) * 1000),
                reading=target.pending_prefill_tokens,
            )

    def _stall_timeout_s(self, target: Target) -> float:
        """Return the longest time without progress of a working group."""
        engine = self._targets.engine_of(target)
        if engine is None:
            return float("inf")
        step_s = engine.step_s + engine.step_per_request_s * engine.slots
        time_factor = engine.models_by_name[target.model].time_factor * target.slowdown
        event_s = engine.tokens_per_event * step_s * time_factor
        return event_s + target.prefill_s(engine) + STALL_MARGIN_S

"""Detection of stalled replica groups, whose streams move to other groups."""

import time

from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.logs import log_event

# Added to the expected time between two events of a working group, since the group
# may also prefill prompts that other nodes sent and this node doesn't know of yet.
STALL_MARGIN_S = 0.1
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
        for target in list(self._targets.by_key.values()):
            if target.streams and target.stalled_s(now) > self._stall_timeout_s(target):
                self._move_streams(target, now)

    def _move_streams(self, target: Target, now: float) -> None:
        if self._targets.free_slots_elsewhere(target, now) < len(target.streams):
            return
        moved = [stream for stream in list(target.streams) if stream.move()]
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

"""Streams whose replica group stands still go on in another one."""

import time

from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets
from poplarspar.events import Event
from poplarspar.logs import log_event

# Beyond the time of a pass, a group that works shows it within this time, though
# prompts may have come that this node has not been told of.
STALL_MARGIN_S = 0.1
# How often stalled streams are looked for. A round that comes later than twice that
# has itself been held up, with events that have come but are not yet read.
STALL_CHECK_INTERVAL_S = 0.03


class StallDetector:
    """Looks for replica groups that stand still, and moves their streams."""

    def __init__(self, targets: Targets) -> None:
        self._targets = targets
        self._checked_at = float("-inf")

    def check(self) -> None:
        """Move the streams of stalled groups; to be called every `STALL_PERIOD_S`."""
        now = time.monotonic()
        held_up = now > self._checked_at + 2 * STALL_CHECK_INTERVAL_S
        self._checked_at = now
        if held_up:
            return
        for target in list(self._targets.by_key.values()):
            if target.streams and target.stalled_s(now) > self._patience_s(target):
                self._move(target, now)

    def _move(self, target: Target, now: float) -> None:
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

    def _patience_s(self, target: Target) -> float:
        """Return how long a group that works may show nothing."""
        engine = self._targets.engine_of(target)
        if engine is None:
            return float("inf")
        step_s = engine.step_s + engine.step_per_request_s * engine.slots
        pace = engine.models_by_name[target.model].time_factor * target.slowdown
        pass_s = engine.tokens_per_event * step_s * pace
        return pass_s + target.prefill_s(engine) + STALL_MARGIN_S

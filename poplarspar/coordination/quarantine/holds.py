"""Holds of quarantined parts: how long requests with them are refused."""

from dataclasses import dataclass

from poplarspar.state.quarantine import QuarantinedParts, is_request_part

FIRST_HOLD_S = 30.0
MAX_HOLD_S = 600.0
# A quarantine without a trial for this long has had no requests.
RETENTION_S = 3600.0
# A request that crashes backend servers runs in so many trials until then. A part of
# prompts has no such limit, since any of them may be the trial.
REQUEST_TRIALS = 3
LAST_TRIAL_HOLD_S = FIRST_HOLD_S * 2 ** (REQUEST_TRIALS - 1)


@dataclass
class HeldParts:
    """Parts in quarantine, from one node's point of view.

    Attributes
    ----------
    learned_at : float
        Monotonic time in seconds at which the present hold began here.
    stored : bool
        Whether the store has them.
    write_at : float
        Monotonic time in seconds from which this node writes them to the store.
    """

    quarantined: QuarantinedParts
    learned_at: float
    stored: bool
    write_at: float

    def is_ahead_of(self, stored: QuarantinedParts) -> bool:
        """Return whether the store has an earlier hold, and is to get this one."""
        return not self.stored and self.quarantined.hold_s > stored.hold_s

    def remaining_s(self, now: float) -> float:
        """Return the rest of the hold in seconds, negative after its end."""
        return self.learned_at + self.quarantined.hold_s - now


def next_hold_s(quarantined: QuarantinedParts) -> float:
    """Return the hold after another trial, in seconds."""
    is_one_request = any(map(is_request_part, quarantined.parts))
    if is_one_request and quarantined.hold_s >= LAST_TRIAL_HOLD_S:
        return RETENTION_S
    return min(MAX_HOLD_S, 2 * quarantined.hold_s)

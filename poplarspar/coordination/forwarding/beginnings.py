"""What the prompts that targets are believed to hold save a request.

A backend server that keeps the prompts that it has read answers the next one with the
same beginning sooner. It tells nobody what it keeps, so each node believes what follows
from its own requests, and from a rule by which all nodes send a beginning to the same
target first.
"""

import hashlib
import math
from collections.abc import Iterable

from poplarspar.coordination.forwarding.held_prompts import HeldPrompts, beginnings_of
from poplarspar.coordination.forwarding.target import Target
from poplarspar.state.callers import CallerRequest
from poplarspar.state.serving import Engine

# A saving below the accuracy of expected delays is no reason to prefer a target.
MIN_SAVED_S = 0.004
# Nor is a small part of the prompt, however slowly it is read.
MIN_SAVED_SHARE = 0.05
# Share of a beginning that nodes assume at the target that all of them prefer, without
# a request of their own there: other nodes may not have had one either.
ASSUMED_SHARE = 0.5
# A target with more requests than this multiple of the mean gets none for its memory.
LOAD_BOUND = 1.25


class PromptSavings:
    """What the memory of targets saves one request.

    Parameters
    ----------
    targets : iterable of Target
        All targets that are not full.
    now : float
        Monotonic time.
    """

    def __init__(
        self,
        engine: Engine,
        request: CallerRequest,
        targets: Iterable[Target],
        now: float,
    ) -> None:
        self._engine = engine
        self._min_tokens = request.prompt_tokens * MIN_SAVED_SHARE
        self._beginnings = beginnings_of(request)
        # The last part of a prompt belongs to its request alone.
        self._shared = self._beginnings[-2] if len(self._beginnings) > 1 else None
        self._now = now
        self._load_by_target = {t: t.expected_in_flight(now) for t in targets}
        self._bound = self._load_bound()
        self.preferred = self._preferred_target()

    def saved_s(self, target: Target) -> float:
        """Return the time in seconds that a target's memory is expected to save."""
        if target.held is None or self._load_by_target[target] > self._bound:
            return 0.0
        load = self._load_by_target[target]
        tokens = target.held.tokens_held(self._beginnings, self._now, load)
        if target is self.preferred:
            tokens = max(tokens, self._assumed_tokens(target.held, load))
        time_factor = self._engine.models_by_name[target.model].time_factor
        # The time that a target of usual speed needs, since a slow one must not gain by
        # the time that it would need itself.
        saved_s = tokens / self._engine.tokens_read_per_s * time_factor
        is_small = saved_s < MIN_SAVED_S or tokens < self._min_tokens
        return 0.0 if is_small else saved_s

    def _load_bound(self) -> int:
        loads = self._load_by_target.values()
        mean = (sum(loads) + 1) / max(1, len(loads))
        return math.ceil(mean * LOAD_BOUND)

    def _assumed_tokens(self, held: HeldPrompts, load: int) -> int:
        """Return what nodes assume at their preferred target, if it has room."""
        if self._shared is None or self._shared.tokens > held.room_tokens(load):
            return 0
        return int(self._shared.tokens * ASSUMED_SHARE)

    def _preferred_target(self) -> Target | None:
        """Return the first target, by rendezvous hashing, below the load bound."""
        if self._shared is None:
            return None
        key = self._shared.key
        below = [t for t, load in self._load_by_target.items() if load <= self._bound]
        return max(below, key=lambda target: _rank(key, target), default=None)


def _rank(key: bytes, target: Target) -> bytes:
    """Return a rank of a target for a beginning, the same at all nodes."""
    identity = f"{target.backend.id} {target.group}".encode()
    return hashlib.blake2b(identity, key=key, digest_size=8).digest()

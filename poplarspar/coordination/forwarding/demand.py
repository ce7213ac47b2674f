"""Demand of a node's callers, measured in replica groups."""

import math
import time
from dataclasses import dataclass

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.state.callers import CallerRequest
from poplarspar.state.plan import ModelDemand
from poplarspar.state.serving import Engine

# Smooths single requests, yet follows a change in the mix of requests.
TIME_CONSTANT_S = 6.0
# Over a shorter time, a single request would dominate the rate.
MIN_AGE_S = 1.0


@dataclass
class _DecayingRate:
    """An exponentially weighted rate, corrected for its short history."""

    started_at: float
    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.value = self._decayed(now) + amount / TIME_CONSTANT_S
        self.updated_at = now

    def read(self, now: float) -> float:
        age_s = max(MIN_AGE_S, now - self.started_at)
        return self._decayed(now) / (1.0 - math.exp(-age_s / TIME_CONSTANT_S))

    def _decayed(self, now: float) -> float:
        return self.value * math.exp((self.updated_at - now) / TIME_CONSTANT_S)


class DemandMeter:
    """Measures the work that callers request, whether it is served or not."""

    def __init__(self) -> None:
        self._rate_by_model: dict[tuple[str, str], _DecayingRate] = {}

    def record_request(self, routed: RoutedRequest) -> None:
        """Add a caller's request to the demand."""
        engine = routed.service.engine
        request = routed.request
        if engine is None or request.model not in engine.models_by_name:
            return
        work_s = group_time_s(
            engine,
            request.model,
            request.prompt_tokens,
            expected_answer_tokens(engine, request),
        )
        key = (routed.service.name, request.model)
        now = time.monotonic()
        self._rate_by_model.setdefault(key, _DecayingRate(now)).add(work_s, now)

    def demands(self) -> tuple[ModelDemand, ...]:
        """Return how many replica groups each model's requests would keep busy."""
        now = time.monotonic()
        return tuple(
            ModelDemand(service, model, rate.read(now))
            for (service, model), rate in self._rate_by_model.items()
        )


def expected_answer_tokens(engine: Engine, request: CallerRequest) -> int:
    """Return the expected length of an answer, at most the caller's limit."""
    expected = request.expected_tokens
    if expected is None:
        expected = engine.mean_answer_tokens or request.max_answer_tokens
    return min(expected, request.max_answer_tokens)


def group_time_s(
    engine: Engine, model: str, prompt_tokens: int, answer_tokens: int
) -> float:
    """Return the time for which a request would occupy a whole replica group.

    Prefill occupies the whole group, generation only one of its slots.
    """
    time_factor = engine.models_by_name[model].time_factor
    step_s = engine.step_s + engine.step_per_request_s * engine.slots
    prefill_s = prompt_tokens / engine.tokens_read_per_s if prompt_tokens else 0.0
    return time_factor * (prefill_s + answer_tokens * step_s / engine.slots)

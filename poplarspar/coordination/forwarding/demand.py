"""How many replica groups a node's callers would keep busy."""

import math
import time
from dataclasses import dataclass

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.state.callers import CallerRequest
from poplarspar.state.plan import ModelDemand
from poplarspar.state.serving import Engine

# Long enough to smooth single requests, short enough to follow a change of the mix.
WINDOW_S = 6.0
# Before this time has passed, single requests would count for too much.
YOUNGEST_S = 1.0


@dataclass
class _Rate:
    """An exponentially fading mean, from its first request on."""

    began_at: float
    total: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.total = self._faded(now) + amount / WINDOW_S
        self.at = now

    def read(self, now: float) -> float:
        age_s = max(YOUNGEST_S, now - self.began_at)
        return self._faded(now) / (1.0 - math.exp(-age_s / WINDOW_S))

    def _faded(self, now: float) -> float:
        return self.total * math.exp((self.at - now) / WINDOW_S)


class DemandMeter:
    """Turns requests into the work that they bring, served or not."""

    def __init__(self) -> None:
        self._rate_by_model: dict[tuple[str, str], _Rate] = {}

    def record_request(self, routed: RoutedRequest) -> None:
        """Count a request of a caller."""
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
        self._rate_by_model.setdefault(key, _Rate(now)).add(work_s, now)

    def demands(self) -> tuple[ModelDemand, ...]:
        """Return the work of recent requests in replica groups."""
        now = time.monotonic()
        return tuple(
            ModelDemand(service, model, rate.read(now))
            for (service, model), rate in self._rate_by_model.items()
        )


def expected_answer_tokens(engine: Engine, request: CallerRequest) -> int:
    """Return how long an answer will likely be, which is at most what is allowed."""
    expected = request.expected_tokens
    if expected is None:
        expected = engine.mean_answer_tokens or request.max_answer_tokens
    return min(expected, request.max_answer_tokens)


def group_time_s(
    engine: Engine, model: str, prompt_tokens: int, answer_tokens: int
) -> float:
    """Return for how long a request would occupy a whole replica group.

    Reading occupies all of it; writing one of its slots.
    """
    pace = engine.models_by_name[model].time_factor
    step_s = engine.step_s + engine.step_per_request_s * engine.slots
    reading_s = prompt_tokens / engine.tokens_read_per_s if prompt_tokens else 0.0
    return pace * (reading_s + answer_tokens * step_s / engine.slots)

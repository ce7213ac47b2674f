"""Demand of a node's callers, measured in replica groups."""

import math
import time
from collections import Counter
from dataclasses import dataclass

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.state.callers import CallerRequest
from poplarspar.state.plan import ClassDemand, ModelDemand, Rank
from poplarspar.state.serving import Engine

# Smooths single requests, yet follows a change in the mix of requests.
TIME_CONSTANT_S = 6.0
# Admission follows bursts of a few seconds; the sum over all nodes smooths it.
CLASS_TIME_CONSTANT_S = 0.5
# Workspaces with a demand of their own in a report, for each model and rank.
MAX_REPORTED_WORKSPACES = 8
# Demand of a class without a request for about ten time constants.
MIN_CLASS_GROUPS = 1e-6
# Over a shorter time, a single request would dominate the rate.
MIN_AGE_S = 1.0


@dataclass
class DecayingRate:
    """An exponentially weighted rate, corrected for its short history."""

    started_at: float
    time_constant_s: float = TIME_CONSTANT_S
    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a monotonic time."""
        self.value = self._decayed(now) + amount / self.time_constant_s
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the rate per second."""
        age_s = max(MIN_AGE_S, now - self.started_at)
        return self._decayed(now) / (1.0 - math.exp(-age_s / self.time_constant_s))

    def _decayed(self, now: float) -> float:
        return self.value * math.exp((self.updated_at - now) / self.time_constant_s)


class DemandMeter:
    """Measures the work that callers request, whether it is served or not."""

    def __init__(self) -> None:
        self._rate_by_model: dict[tuple[str, str], DecayingRate] = {}
        # Keyed by service, model, rank and workspace.
        self._rate_by_class: dict[tuple[str, str, Rank, str], DecayingRate] = {}
        self._classes_since: float | None = None

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
        self._rate_by_model.setdefault(key, DecayingRate(now)).add(work_s, now)
        if routed.ranked:
            self._record_class((*key, routed.rank, routed.workspace), work_s, now)

    def _record_class(
        self, key: tuple[str, str, Rank, str], work_s: float, now: float
    ) -> None:
        if self._classes_since is None:
            self._classes_since = now
        rate = self._rate_by_class.get(key)
        if rate is None:
            rate = DecayingRate(self._classes_since, CLASS_TIME_CONSTANT_S)
            self._rate_by_class[key] = rate
        rate.add(work_s, now)

    def demands(self) -> tuple[ModelDemand, ...]:
        """Return how many replica groups each model's requests would keep busy."""
        now = time.monotonic()
        return tuple(
            ModelDemand(service, model, rate.read(now))
            for (service, model), rate in self._rate_by_model.items()
        )

    def class_demands(self) -> tuple[ClassDemand, ...]:
        """Return demand by rank and workspace, of services with several priorities.

        Workspaces beyond the `MAX_REPORTED_WORKSPACES` largest of a model and rank
        are added up without a name.
        """
        now = time.monotonic()
        named: Counter[tuple[str, str, Rank]] = Counter()
        groups_by_class: dict[tuple[str, str, Rank, str], float] = {}
        read = {key: rate.read(now) for key, rate in self._rate_by_class.items()}
        for key, groups in sorted(read.items(), key=lambda item: -item[1]):
            if groups < MIN_CLASS_GROUPS:
                del self._rate_by_class[key]
                continue
            service, model, rank, workspace = key
            if workspace and named[key[:3]] >= MAX_REPORTED_WORKSPACES:
                workspace = ""
            named[key[:3]] += 1
            reported = (service, model, rank, workspace)
            groups_by_class[reported] = groups_by_class.get(reported, 0.0) + groups
        return tuple(ClassDemand(*key, g) for key, g in groups_by_class.items())


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

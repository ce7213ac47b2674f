"""Expected time until the first event of a stream."""

from collections.abc import Callable

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.state.serving import Engine

# A request arrives halfway through a pass on average, and its own pass follows.
PASSES = 1.5
# The measured part follows about the last ten first events of a model. Each moves it by
# a tenth at most, since an answer may be late for reasons that end with it.
MEASURED_WEIGHT = 0.1
MAX_STEP_S = 0.05


class FirstEvents:
    """Expected times until first events, with what engines add to their figures.

    Engines don't publish all that precedes a first event. Nodes measure the rest for
    each model, and so admit less while groups are slower than they are known to be.
    """

    def __init__(self) -> None:
        self._added_s_by_model: dict[tuple[str, str], float] = {}

    def idle_s(self, routed: RoutedRequest) -> float:
        """Return the time to a request's first event at a group without other work."""
        engine, request = routed.service.engine, routed.request
        own_s = idle_first_event_s(engine, request.model, request.prompt_tokens)
        return own_s + self._added_s(routed)

    def expected_s(self, routed: RoutedRequest, target: Target, now: float) -> float:
        """Return the time to a request's first event at a group with its load."""
        return self._estimated_s(routed, target, now) + self._added_s(routed)

    def measure(
        self, routed: RoutedRequest, target: Target, now: float
    ) -> Callable[[float], None]:
        """Return what records the time at which the first event of a send arrives."""
        if not routed.prioritized or routed.service.engine is None:
            return _ignore
        estimated_s = self._estimated_s(routed, target, now)

        def record(arrived_at: float) -> None:
            added_s = self._added_s(routed)
            error_s = arrived_at - now - estimated_s - added_s
            step_s = max(-MAX_STEP_S, min(MAX_STEP_S, error_s)) * MEASURED_WEIGHT
            key = (routed.service.name, target.model)
            self._added_s_by_model[key] = max(0.0, added_s + step_s)

        return record

    def _added_s(self, routed: RoutedRequest) -> float:
        key = (routed.service.name, routed.request.model)
        return self._added_s_by_model.get(key, 0.0)

    def _estimated_s(self, routed: RoutedRequest, target: Target, now: float) -> float:
        engine, request = routed.service.engine, routed.request
        answer_tokens = engine.mean_answer_tokens or request.max_answer_tokens
        return first_event_s(engine, target, request.prompt_tokens, answer_tokens, now)


def _ignore(arrived_at: float) -> None:
    """Record nothing."""


def idle_first_event_s(engine: Engine, model: str, prompt_tokens: int) -> float:
    """Return the time to the first event at a replica group without other work."""
    time_factor = engine.models_by_name[model].time_factor
    pass_s = engine.tokens_per_event * (engine.step_s + engine.step_per_request_s)
    return time_factor * (pass_s + prompt_tokens / engine.tokens_read_per_s)


def first_event_s(
    engine: Engine, target: Target, prompt_tokens: int, answer_tokens: int, now: float
) -> float:
    """Return the time to a request's first event at a replica group with its load.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the request's own prompt.
    answer_tokens : int
        Mean tokens of the answers that run there.
    """
    expected = target.expected_in_flight(now)
    running = min(expected, target.slots)
    step_s = engine.step_s + engine.step_per_request_s * running
    step_s *= engine.models_by_name[target.model].time_factor * target.slowdown
    waiting = max(0, expected + 1 - target.slots)
    slot_s = waiting * answer_tokens * step_s / max(1, target.slots)
    pass_s = engine.tokens_per_event * step_s
    return slot_s + target.prefill_s(engine, prompt_tokens) + PASSES * pass_s

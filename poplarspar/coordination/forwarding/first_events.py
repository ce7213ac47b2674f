"""Expected time until the first event of a stream."""

from poplarspar.coordination.forwarding.target import Target
from poplarspar.state.serving import Engine

# A request arrives halfway through a pass on average, and its own pass follows.
PASSES = 1.5


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

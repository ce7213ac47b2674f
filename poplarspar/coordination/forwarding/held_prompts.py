"""Prompts that targets are believed to hold, by a node's own requests there."""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from poplarspar.state.callers import CallerRequest
from poplarspar.state.serving import PromptMemory

# Known beginnings for each target, the least recently used ones go first.
MAX_BEGINNINGS = 256


@dataclass(frozen=True)
class Beginning:
    """The first parts of a prompt.

    Attributes
    ----------
    key : bytes
        Digest of the parts' ids and lengths in order, the same at all nodes.
    tokens : int
        Length of all these parts.
    """

    key: bytes
    tokens: int


def beginnings_of(request: CallerRequest) -> tuple[Beginning, ...]:
    """Return the beginnings of a request's prompt, the shortest first.

    Parts without tokens make no beginning of their own.
    """
    beginnings = []
    digest, tokens = hashlib.blake2b(digest_size=8), 0
    for part in request.prompt_sections:
        digest.update(f"{part.id}:{part.tokens},".encode())
        tokens += part.tokens
        if part.tokens:
            beginnings.append(Beginning(digest.copy().digest(), tokens))
    return tuple(beginnings)


@dataclass(slots=True)
class _Held:
    """A beginning at a target; `tokens` are those that the next shorter one lacks."""

    tokens: int
    used_at: float


class HeldPrompts:
    """What one target is believed to hold, by this node's own requests there.

    The belief ends with the target, since another start, group or model is another
    target.
    """

    def __init__(self, memory: PromptMemory) -> None:
        self.memory = memory
        self._held_by_key: OrderedDict[bytes, _Held] = OrderedDict()
        self._tokens = 0
        self._weights_version: int | None = None

    def record(
        self,
        beginnings: Sequence[Beginning],
        now: float,
        weights_version: int | None = None,
    ) -> None:
        """Record that the target has read a prompt.

        Beginnings beyond its memory are left out, since it can't hold them.

        Parameters
        ----------
        weights_version : int or None
            Version of the weights that it was read with; another one than before ends
            all beliefs.
        """
        if weights_version is not None and weights_version != self._weights_version:
            self._clear()
            self._weights_version = weights_version
        capacity_tokens = self.memory.capacity_tokens
        beginnings = [b for b in beginnings if b.tokens <= capacity_tokens]
        # The longest one is the first to be forgotten, since the others are of use
        # without it.
        for index in reversed(range(len(beginnings))):
            shorter_tokens = beginnings[index - 1].tokens if index else 0
            beginning = beginnings[index]
            self._drop(beginning.key)
            tokens = beginning.tokens - shorter_tokens
            self._held_by_key[beginning.key] = _Held(tokens, now)
            self._tokens += tokens
        self._forget_down_to(capacity_tokens)

    def renew(
        self, beginnings: Sequence[Beginning], now: float, weights_version: int | None
    ) -> None:
        """Record that a request has ended, whose prompt was read with a version."""
        if weights_version == self._weights_version:
            self.record(beginnings, now, weights_version)

    def room_tokens(self, in_flight: int) -> int:
        """Return the memory beside the running requests of all nodes, in tokens."""
        running_tokens = in_flight * self.memory.mean_request_tokens
        return self.memory.capacity_tokens - running_tokens

    def tokens_held(
        self, beginnings: Sequence[Beginning], now: float, in_flight: int
    ) -> int:
        """Return how many leading tokens of a prompt the target is believed to hold.

        Parameters
        ----------
        in_flight : int
            Requests of all nodes at the target, which need memory first.
        """
        self._forget_down_to(self.room_tokens(in_flight))
        tokens = 0
        for beginning in beginnings:
            held = self._held_by_key.get(beginning.key)
            if held is None or now - held.used_at > self.memory.keep_s:
                break
            tokens = beginning.tokens
        return tokens

    def _forget_down_to(self, tokens: int) -> None:
        while self._held_by_key and (
            self._tokens > tokens or len(self._held_by_key) > MAX_BEGINNINGS
        ):
            self._drop(next(iter(self._held_by_key)))

    def _drop(self, key: bytes) -> None:
        held = self._held_by_key.pop(key, None)
        if held is not None:
            self._tokens -= held.tokens

    def _clear(self) -> None:
        self._held_by_key.clear()
        self._tokens = 0


@dataclass
class PromptUse:
    """Counts of this node's requests whose beginning their target seemed to hold.

    Attributes
    ----------
    tokens, held_tokens : int
        Prompt tokens of all requests to targets that keep prompts, and those of them
        that the targets were believed to hold.
    """

    requests: int = 0
    requests_with_held: int = 0
    tokens: int = 0
    held_tokens: int = 0

    def record(self, tokens: int, held_tokens: int) -> None:
        """Count a request that a target has begun to answer."""
        self.requests += 1
        self.requests_with_held += held_tokens > 0
        self.tokens += tokens
        self.held_tokens += held_tokens

    def gauges(self) -> dict[str, float]:
        """Return the counts for the metrics page."""
        return {
            "prompt_memory_requests": self.requests,
            "prompt_memory_requests_with_held": self.requests_with_held,
            "prompt_memory_tokens": self.tokens,
            "prompt_memory_tokens_held": self.held_tokens,
        }

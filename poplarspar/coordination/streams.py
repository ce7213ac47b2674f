"""Streamed answers that stay whole when backend servers fail in mid-stream."""

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result

from poplarspar.coordination.admission import Broken, Completed, Outcome, Slot, Unused
from poplarspar.coordination.capacity import Capacity
from poplarspar.coordination.fairness import Demand
from poplarspar.coordination.ports import (
    Backends,
    GenerationRequest,
    Token,
    TokenSource,
)
from poplarspar.coordination.timers import TimerService
from poplarspar.exceptions import BackendFailed
from poplarspar.state.metrics import Metrics
from poplarspar.state.refusals import Ran, Reason, Refusal

STALL_TIMEOUT_S = 2.0
STALL_CHECK_PERIOD_S = 0.5
MIN_ATTEMPT_S = 0.05


@dataclass(frozen=True)
class Prompt:
    """A caller's request for generated text."""

    text: str
    max_tokens: int


class TokenStream:
    """One answer, produced by as many backend servers as it takes.

    The reader's pace drives it: each `next` reads one token from the backend
    server. When the reader stalls, the slot is released and the backend
    server's stream is cancelled; reading on resumes at the next offset.
    """

    def __init__(
        self,
        prompt: Prompt,
        demand: Demand,
        timeout_s: float,
        capacity: Capacity,
        backends: Backends,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._prompt = prompt
        self._demand = demand
        self._capacity = capacity
        self._backends = backends
        self._metrics = metrics
        self._deadline = time.monotonic() + timeout_s
        self._received: list[str] = []
        self._request_id = ""
        self._attempt_ends_at = self._deadline
        self._slot: Slot | None = None
        self._source: TokenSource | None = None
        self._tokens: Iterator[Token] = iter(())
        self._yielded_at: float | None = None
        self._stall_check = timers.every(STALL_CHECK_PERIOD_S, self._release_if_stalled)

    def __iter__(self) -> Iterator[str]:
        """Yield the texts of the answer; raises `BackendFailed` at the deadline."""
        while True:
            text = self._next_text()
            if text is None:
                return
            self._yielded_at = time.monotonic()
            yield text
            self._extend_deadline()

    def open(self) -> Result[None, Refusal]:
        """Start the answer at a backend server that has room."""
        while True:
            match self._acquire():
                case Result(tag="error", error=refusal):
                    return Error(refusal)
                case Result(ok=slot):
                    self._slot = slot
            if self._start():
                return Ok(None)

    def close(self) -> None:
        """Release everything; safe to call more than once."""
        self._stall_check.cancel()
        self._release_slot(Unused())

    def _acquire(self) -> Result[Slot, Refusal]:
        left_s = self._deadline - time.monotonic()
        if left_s < MIN_ATTEMPT_S:
            message = "the answer was not complete in time"
            ran = Ran.UNKNOWN if self._request_id else Ran.NO
            return Error(Refusal(Reason.TIMEOUT, message, ran))
        return self._capacity.acquire(self._demand.within(left_s))

    def _start(self) -> bool:
        if not self._capacity.may_send(self._slot):
            self._release_slot(Unused())
            return False
        self._request_id = uuid.uuid4().hex
        self._attempt_ends_at = self._deadline
        generation = GenerationRequest(
            self._request_id,
            self._prompt.text,
            self._prompt.max_tokens,
            tuple(self._received),
            self._deadline - time.monotonic(),
        )
        try:
            self._source = self._backends.generate(self._slot.address, generation)
        except BackendFailed:
            self._metrics.count("stream_starts_failed")
            self._release_slot(Broken())
            return False
        self._tokens = self._source.tokens()
        return True

    def _next_text(self) -> str | None:
        """Return the next text, None at the end of the answer."""
        while True:
            if self._source is not None and time.monotonic() > self._attempt_ends_at:
                # The backend server ends the stream at this time by itself.
                self._release_slot(Unused())
            if self._source is None:
                self._reopen()
            try:
                token = next(self._tokens)
            except BackendFailed:
                self._metrics.count("streams_resumed")
                self._release_slot(Broken())
                continue
            if not self._is_next_token(token):
                self._metrics.count("tokens_dropped")
                continue
            if token.last:
                self._release_slot(Completed(token.incarnation))
                return None
            self._received.append(token.text)
            return token.text

    def _reopen(self) -> None:
        match self.open():
            case Result(tag="error", error=refusal):
                raise BackendFailed(refusal.message, sent=True)

    def _is_next_token(self, token: Token) -> bool:
        """Check that a token answers this request and is the next one."""
        if token.request_id != self._request_id:
            return False
        return token.offset == len(self._received)

    def _extend_deadline(self) -> None:
        # The route's time-out is for our part; a slow reader does not use it up.
        self._deadline += time.monotonic() - self._yielded_at
        self._yielded_at = None

    def _release_if_stalled(self) -> None:
        if self._yielded_at is None:
            return
        stalled_s = time.monotonic() - self._yielded_at
        if stalled_s > STALL_TIMEOUT_S and self._source is not None:
            self._metrics.count("streams_released_for_stall")
            self._release_slot(Unused())

    def _release_slot(self, outcome: Outcome) -> None:
        slot, self._slot = self._slot, None
        source, self._source = self._source, None
        if source is not None:
            source.close()
        if slot is not None:
            self._capacity.release(slot, outcome)

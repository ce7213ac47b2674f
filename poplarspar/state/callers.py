"""Callers' requests that are passed on as they came, and what callers get."""

from collections.abc import Iterable
from dataclasses import dataclass

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller.

    Attributes
    ----------
    id : str
        The caller's name for this attempt.
    target : str
        Path and query as they came.
    headers : tuple of (str, str)
        Headers to pass on.
    key : str
        What the caller shows to be let in, empty for nothing.
    patience_s : float or None
        How long the caller waits, from `arrived_at` on.
    last_event : int or None
        Last event that the caller has of a stream that broke.
    model : str
        Model that the request is for, empty at plain services.
    expected_tokens : int or None
        The caller's estimate of the answer's tokens.
    prompt_tokens, answer_tokens : int
        Tokens to read, and tokens to write at most.
    arrived_at : float
        Monotonic time in seconds.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes
    api_key: str
    timeout_s: float | None
    last_event: int | None
    model: str
    prompt_tokens: int
    max_answer_tokens: int
    expected_tokens: int | None
    arrived_at: float


@dataclass(frozen=True)
class CompleteAnswer:
    """A backend server's complete answer; `backend` gave it."""

    status: int
    headers: Headers
    body: bytes
    backend: str = ""


@dataclass(frozen=True)
class StreamedAnswer:
    """An answer that is passed on event by event; the receiver closes `events`."""

    status: int
    headers: Headers
    events: Iterable[bytes]

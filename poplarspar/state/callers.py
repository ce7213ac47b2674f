"""Callers' requests, and the answers that callers receive."""

from collections.abc import Iterable
from dataclasses import dataclass

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptSection:
    """A part of a prompt; `tokens` is its length."""

    id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """One attempt by a caller, forwarded unchanged.

    Attributes
    ----------
    id : str
        Identifier that the caller chose for this attempt.
    target : str
        Path and query as received.
    headers : tuple of (str, str)
        Headers to forward.
    api_key : str
        Credential of the caller, empty for none.
    timeout_s : float or None
        Time that the caller waits after `arrived_at`; None if not stated.
    last_event : int or None
        Last event that the caller received before its stream broke.
    model : str
        Model that the request is for, empty for plain services.
    expected_tokens : int or None
        The caller's estimate of the answer's length.
    prompt_tokens, max_answer_tokens : int
        Length of the prompt, and upper limit on the answer's length.
    arrived_at : float
        Monotonic time of arrival in seconds.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    prompt_sections : tuple of PromptSection
        All leading parts of the prompt whose lengths are known, in order.
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
    prompt_parts: tuple[str, ...] = ()
    prompt_sections: tuple[PromptSection, ...] = ()


@dataclass(frozen=True)
class CompleteAnswer:
    """A complete answer, sent by the backend server `backend`."""

    status: int
    headers: Headers
    body: bytes
    backend: str = ""


@dataclass(frozen=True)
class StreamedAnswer:
    """An answer forwarded event by event; the receiver closes `events`."""

    status: int
    headers: Headers
    events: Iterable[bytes]

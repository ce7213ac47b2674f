"""Refusals of requests, each saying whether the request may have run."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether a refused request has run."""

    NO = "no"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused."""

    INVALID = "invalid_request"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    STALE = "view_not_fresh"
    NO_BACKEND = "no_backend_server"
    QUEUE_FULL = "queue_full"
    TIMEOUT = "timeout"
    STORE = "store_unavailable"
    IN_PROGRESS = "key_in_use"
    KEY_REUSED = "key_reused_with_other_body"
    BACKEND = "backend_server_failed"
    DRAINING = "draining"


@dataclass(frozen=True)
class Refusal:
    """A refusal with its reason, in words for the caller.

    Attributes
    ----------
    retry_after_s : float or None
        When the caller should come back, None if nothing is known.
    """

    reason: Reason
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

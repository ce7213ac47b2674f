"""Refusals of requests, and whether the request may have run."""

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
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Refusal:
    """A refusal of a request, with its reason and a message for the caller.

    Attributes
    ----------
    retry_after_s : float or None
        Delay before the caller should retry, None if unknown.
    """

    reason: Reason
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

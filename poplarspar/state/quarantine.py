"""Evidence against prompt parts that crash backend servers, and their quarantine."""

import hashlib
from dataclasses import dataclass, field

# No prompt part begins so, since their ids are alphanumeric.
REQUEST_PART_PREFIX = "request:"
DIGEST_BYTES = 12


def request_part(workspace: str, target: str, body: bytes) -> str:
    """Return the part that only repetitions of the same request have.

    Parameters
    ----------
    workspace : str
        Workspace of the caller.
    target : str
        Method, host, path and query.
    body : bytes
        Body of the request; the digest does not reveal it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field_bytes in (workspace.encode(), target.encode(), body):
        # The length keeps the fields apart.
        digest.update(b"%d:" % len(field_bytes))
        digest.update(field_bytes)
    return REQUEST_PART_PREFIX + digest.hexdigest()


def is_request_part(part: str) -> bool:
    """Return whether a part stands for one request, not for a part of a prompt."""
    return part.startswith(REQUEST_PART_PREFIX)


@dataclass(frozen=True)
class UnansweredRequest:
    """A request whose backend servers disconnected and that none has answered.

    Attributes
    ----------
    id : str
        Identifier that the observing node has assigned.
    backends : tuple of str
        Incarnations of the backend servers that disconnected.
    parts : tuple of str
        Ids of the prompt's parts that other requests may share, and the part that
        stands for the request itself; see `request_part`.
    ended_at : float
        Monotonic time in seconds.
    pool : str
        Service and model that the request was for.
    """

    id: str
    backends: tuple[str, ...]
    parts: tuple[str, ...]
    ended_at: float
    pool: str


@dataclass(frozen=True)
class Evidence:
    """What one node has observed of suspected parts.

    Attributes
    ----------
    begun_at_by_part : dict of str to float
        Monotonic time at which a sound answer to a prompt with the part last began.
    """

    unanswered: tuple[UnansweredRequest, ...] = ()
    begun_at_by_part: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class QuarantinedParts:
    """Parts whose requests are refused, if a prompt contains all of them.

    Attributes
    ----------
    hold_s : float
        Time after which one request is sent as a trial.
    """

    parts: frozenset[str]
    hold_s: float

"""Evidence against prompt parts that crash backend servers, and their quarantine."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class UnansweredRequest:
    """A request whose backend servers disconnected before its answer began.

    Attributes
    ----------
    id : str
        Identifier that the observing node has assigned.
    backends : tuple of str
        Incarnations of the backend servers that disconnected.
    parts : tuple of str
        Ids of the prompt's parts that other requests may share.
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
        Monotonic time at which an answer to a prompt with the part last began.
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

"""Orders to the backend servers of replica groups, and what came of them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Join:
    """Become a member of a replica group; the first member is its head."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True)
class Open:
    """Begin to serve, as the head of a replica group that is ready."""

    group: str
    epoch: int


@dataclass(frozen=True)
class Close:
    """Stop to serve; `evict` also ends what is running."""

    group: str
    epoch: int
    evict: bool


@dataclass(frozen=True)
class Leave:
    """Belong to no replica group any more."""

    group: str
    epoch: int


@dataclass(frozen=True)
class Stage:
    """Load a model's weights onto the host, beside all other work."""

    model: str


Order = Join | Open | Close | Leave | Stage


@dataclass(frozen=True)
class Accepted:
    """The order was taken.

    Attributes
    ----------
    done : bool
        Whether its effect is there already.
    """

    done: bool


@dataclass(frozen=True)
class Refused:
    """The order does not fit the backend server's state.

    Attributes
    ----------
    fenced : bool
        Whether a newer planner has given orders there.
    """

    status: int
    fenced: bool


@dataclass(frozen=True)
class Unanswered:
    """The order may have been carried out, or may be later."""


OrderResult = Accepted | Refused | Unanswered

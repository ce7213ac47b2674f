"""Orders from the planner to backend servers, and their results."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Join:
    """Join a replica group; the first member is its head."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclass(frozen=True)
class Open:
    """Start to serve as the head of a ready replica group."""

    group: str
    epoch: int


@dataclass(frozen=True)
class Close:
    """Stop serving; `evict` also ends the requests in flight."""

    group: str
    epoch: int
    evict: bool


@dataclass(frozen=True)
class Leave:
    """Leave the replica group."""

    group: str
    epoch: int


@dataclass(frozen=True)
class Stage:
    """Stage a model's weights on the host while other work continues."""

    model: str


Order = Join | Open | Close | Leave | Stage


@dataclass(frozen=True)
class Accepted:
    """The backend server accepted the order.

    Attributes
    ----------
    done : bool
        Whether the order has already taken effect.
    """

    done: bool


@dataclass(frozen=True)
class Refused:
    """The order conflicts with the backend server's state.

    Attributes
    ----------
    fenced : bool
        Whether the backend server has accepted an order with a newer fencing token.
    """

    status: int
    fenced: bool


@dataclass(frozen=True)
class Unanswered:
    """No answer arrived; the order may have taken effect, or may do so later."""


OrderResult = Accepted | Refused | Unanswered

"""Backend servers as they describe themselves."""

from dataclasses import dataclass
from enum import Enum


class MemberPhase(Enum):
    """How far a backend server is in its replica group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True)
class Membership:
    """A backend server's place in a replica group; the head has rank 0."""

    group: str
    epoch: int
    rank: int
    phase: MemberPhase

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch, which together name one set of members."""
        return (self.group, self.epoch)


@dataclass(frozen=True)
class EngineState:
    """What a backend server has loaded.

    Attributes
    ----------
    model : str
        Model of its present or last replica group, empty for none.
    staged : tuple of str
        Models whose weights lie on its host.
    orders : int
        Orders that this life of the backend server has accepted.
    """

    model: str
    staged_models: tuple[str, ...]
    domain: str
    membership: Membership | None
    accepted_orders: int


@dataclass(frozen=True)
class BackendServer:
    """An entry of the platform's list of backend servers.

    Attributes
    ----------
    started_ms : int
        Start of this life, Unix milliseconds; changes with each restart.
    cold_s : float
        Seconds for which it was still cold when the entry was written.
    """

    id: str
    started_ms: int
    service: str
    address: str
    zone: str
    draining: bool
    slots: int
    cold_s: float
    engine_state: EngineState | None

    @property
    def open_group(self) -> Membership | None:
        """The replica group that this backend server is the open head of."""
        membership = self.engine_state.membership if self.engine_state else None
        if membership is None or membership.rank != 0:
            return None
        return membership if membership.phase is MemberPhase.OPEN else None


@dataclass(frozen=True)
class Load:
    """Work at a backend server."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class BackendReport:
    """A backend server's answer to a question about its state."""

    id: str
    started_ms: int
    engine_state: EngineState
    running: int
    waiting: int
    busy: bool
    slowdown: float

"""Backend servers and the state that they report."""

from dataclasses import dataclass
from enum import Enum


class MemberPhase(Enum):
    """Phase of a backend server within its replica group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True)
class Membership:
    """A backend server's membership of a replica group; the head has rank 0."""

    group: str
    epoch: int
    rank: int
    phase: MemberPhase

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch, which together identify one set of members."""
        return (self.group, self.epoch)


@dataclass(frozen=True)
class EngineState:
    """Models, membership and order count of a backend server's engine.

    Attributes
    ----------
    model : str
        Model of the current or last replica group, empty for none.
    staged_models : tuple of str
        Models whose weights are staged on the host.
    domain : str
        Fabric domain of the backend server.
    accepted_orders : int
        Orders that the backend server has accepted since its start.
    """

    model: str
    staged_models: tuple[str, ...]
    domain: str
    membership: Membership | None
    accepted_orders: int


@dataclass(frozen=True)
class BackendServer:
    """A backend server in the platform's list.

    Attributes
    ----------
    started_ms : int
        Start of the process, Unix milliseconds; changes with each restart.
    cold_s : float
        Remaining cold time in seconds when the backend server wrote its entry.
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
    def incarnation(self) -> tuple[str, int]:
        """Id and start, which together identify one process."""
        return (self.id, self.started_ms)

    @property
    def open_group(self) -> Membership | None:
        """Membership of the open replica group that this backend server heads."""
        membership = self.engine_state.membership if self.engine_state else None
        if membership is None or membership.rank != 0:
            return None
        return membership if membership.phase is MemberPhase.OPEN else None


@dataclass(frozen=True)
class Load:
    """Requests at a backend server, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class BackendReport:
    """A backend server's answer to a health check.

    Attributes
    ----------
    slowdown : float
        Factor on the engine's configured times; above 1 for a slow backend server.
    leaving : bool
        Whether the backend server is about to stop.
    """

    id: str
    started_ms: int
    engine_state: EngineState
    running: int
    waiting: int
    busy: bool
    slowdown: float
    leaving: bool = False

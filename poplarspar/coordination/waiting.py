"""Order of the requests that wait for room, and which of them wait in vain."""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

# Bounds the requests that wait for one model in a node.
MAX_WAITING = 128
# A target frees a slot about this often.
ASSUMED_S = 0.1
TIME_CONSTANT_S = 4.0


class Standing(IntEnum):
    """What a request has got so far; the first goes before the others."""

    DELIVERED_IN_PART = 0
    FIRST_ATTEMPT = 1
    RESEND = 2


@dataclass(frozen=True)
class Unordered:
    """A claim to room that whoever asks first gets."""


@dataclass(frozen=True)
class ByUrgency:
    """A claim to room by urgency, and fair between workspaces.

    Attributes
    ----------
    rank : int
        Priority of the request, 0 first.
    weight : float
        Share of the workspace relative to that of others.
    useful_until : float
        Monotonic time until which a start is of use.
    """

    rank: int
    standing: Standing
    workspace: str
    useful_until: float
    weight: float = 1.0


Claim = Unordered | ByUrgency


@dataclass(eq=False)
class Waiter:
    """One waiting request."""

    claim: Claim
    sequence: int = 0


class RoomRate:
    """The rate at which room comes while requests wait for it.

    Without recent requests that waited, a target is assumed to free a slot each
    `ASSUMED_S`.
    """

    def __init__(self) -> None:
        self._granted = 0.0
        self._waited_s = 0.0
        self._updated_at = 0.0
        self._is_waiting = False

    def update(self, now: float, is_waiting: bool) -> None:
        """Add the time since the last update, and store whether a request waits."""
        age_s = now - self._updated_at
        kept = math.exp(-age_s / TIME_CONSTANT_S)
        self._granted *= kept
        self._waited_s *= kept
        if self._is_waiting:
            self._waited_s += TIME_CONSTANT_S * (1.0 - kept)
        self._updated_at = now
        self._is_waiting = is_waiting

    def record_granted(self) -> None:
        """Count room that a waiting request got."""
        self._granted += 1.0

    def read(self, now: float) -> float:
        """Return the rate in requests per second."""
        self.update(now, self._is_waiting)
        return (self._granted + 1.0) / (self._waited_s + ASSUMED_S)


class ReturningCallers:
    """Refused callers, who come back one after the other as room comes."""

    def __init__(self) -> None:
        self._booked_until = 0.0

    def book(
        self, now: float, start_s: float, room_per_s: float, longest_s: float
    ) -> float:
        """Return after which time the next caller should come back.

        Parameters
        ----------
        start_s : float
            Time until those that wait have got room.
        longest_s : float
            Longest time that the caller accepts.
        """
        free_at = max(self._booked_until, now + start_s)
        # Callers of other nodes come back too, so none should be there to the moment.
        delay_s = free_at - now + random.uniform(0.5, 1.5) / room_per_s
        if delay_s > longest_s:
            return longest_s * random.uniform(0.5, 1.0)
        self._booked_until = free_at + 1.0 / room_per_s
        return delay_s


class WaitingQueue:
    """Requests that wait for room of one kind.

    Parameters
    ----------
    workspace_load : callable
        Returns what a workspace uses of the room, in requests.
    """

    def __init__(self, workspace_load: Callable[[str], float]) -> None:
        self._workspace_load = workspace_load
        self._waiters: list[Waiter] = []
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def number(self, waiter: Waiter) -> None:
        """Give a request its place among those that arrive."""
        self._last_sequence += 1
        waiter.sequence = self._last_sequence

    def join(self, waiter: Waiter) -> None:
        """Add a request that has a number."""
        self._waiters.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Remove a request if it is still in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def in_order(self) -> list[Waiter]:
        """Return the waiting requests, the one that goes first at the front."""
        return sorted(self._waiters, key=self._key)

    def ahead_of(self, waiter: Waiter) -> list[Waiter]:
        """Return those that go before a request, which may wait itself or not."""
        key = self._key(waiter)
        return [w for w in self.in_order() if w is not waiter and self._key(w) < key]

    def find_hopeless(self, now: float, room_per_s: float) -> Iterator[Waiter]:
        """Yield the requests whose room comes later than it is of use to them.

        Parameters
        ----------
        room_per_s : float
            Requests a second for which room comes.
        """
        ahead = 0
        for waiter in self.in_order():
            match waiter.claim:
                case ByUrgency(standing=Standing.DELIVERED_IN_PART):
                    # Its caller can't continue it elsewhere.
                    ahead += 1
                case ByUrgency(useful_until=useful_until) if ahead >= MAX_WAITING or (
                    now + ahead / room_per_s > useful_until
                ):
                    yield waiter
                case _:
                    ahead += 1

    def _key(self, waiter: Waiter) -> tuple:
        match waiter.claim:
            case Unordered():
                return (0, 0, 0, 0.0, waiter.sequence)
            case ByUrgency() as claim:
                load = self._workspace_load(claim.workspace) / claim.weight
                return (
                    claim.rank,
                    claim.standing,
                    load,
                    claim.useful_until,
                    waiter.sequence,
                )

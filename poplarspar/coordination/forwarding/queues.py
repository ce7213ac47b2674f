"""Queues of the requests that wait for a target, one for each service and model."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.forwarding.ageing import Kind, ServedShares
from poplarspar.coordination.forwarding.choice import AnyRoom, Room, TimelyRoom
from poplarspar.coordination.forwarding.first_events import FirstEvents
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.waiting import (
    ByUrgency,
    Claim,
    ReturningCallers,
    RoomRate,
    Standing,
    Unordered,
    Waiter,
    WaitingQueue,
)

# Of those that wait, as many at the front are asked whether they can use room. Those
# behind them would start late.
ASKED_IN_ORDER = 8
# Share of a group's requests that ends, and is replaced, until the next plan. Of this,
# a request leaves room to more urgent ones.
REPLACED_SHARE = 0.25
# Callers accept at most this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3

Choose = Callable[[RoutedRequest, set[Target], Room], Target | None]


@dataclass(eq=False)
class WaitingRequest(Waiter):
    """A request that looks for a target.

    Attributes
    ----------
    called : bool
        Whether room was offered to it, on which it hasn't decided yet.
    displaced : bool
        Whether its room would come too late.
    """

    routed: RoutedRequest | None = None
    tried: set[Target] = field(default_factory=set)
    room: Room = field(default_factory=AnyRoom)
    kinds: tuple[Kind, ...] = ()
    signal: Signal = field(default_factory=Signal)
    joined: bool = False
    called: bool = False
    displaced: bool = False

    def wake(self) -> None:
        """Let the task of the request go on."""
        if not self.signal.ready():
            self.signal.send()


class ModelQueue:
    """The requests of a node that wait for targets of one service and model."""

    def __init__(self, choose: Choose, first_events: FirstEvents) -> None:
        self._choose = choose
        self._first_events = first_events
        self.shares = ServedShares()
        self._waiting = WaitingQueue(self._recent_starts)
        self._room_rate = RoomRate()
        self._returning = ReturningCallers()

    def _recent_starts(self, workspace: str) -> int:
        """Return whole requests, since a part of one is no reason to go first."""
        return int(self.shares.started(Kind("workspace", workspace), time.monotonic()))

    def enter(
        self,
        routed: RoutedRequest,
        tried: set[Target],
        wait_s: float,
        standing: Standing,
    ) -> WaitingRequest:
        """Return a request's place, which it joins when it waits."""
        now = time.monotonic()
        kinds = kinds_of(routed)
        claim, room = self._claim(routed, kinds, now, now + wait_s, standing)
        waiter = WaitingRequest(
            claim, routed=routed, tried=tried, room=room, kinds=kinds
        )
        self._waiting.number(waiter)
        return waiter

    def _claim(
        self,
        routed: RoutedRequest,
        kinds: tuple[Kind, ...],
        now: float,
        wait_until: float,
        standing: Standing,
    ) -> tuple[Claim, Room]:
        if not routed.prioritized:
            return Unordered(), AnyRoom()
        rank, more_urgent_share = routed.priority, 0.0
        if self.shares.is_starved(kinds, now):
            rank = 0
        elif standing is not Standing.DELIVERED_IN_PART:
            more_urgent_share = self.shares.more_urgent_share(routed.priority, now)
        useful_until = min(wait_until, self._last_useful_start(routed, now))
        claim = ByUrgency(rank, standing, routed.workspace, useful_until)
        return claim, TimelyRoom(more_urgent_share * REPLACED_SHARE)

    def _last_useful_start(self, routed: RoutedRequest, now: float) -> float:
        """Return until when a start lets the first event be in time.

        A request that can't be in time any more needs a start before its deadline.
        """
        engine = routed.service.engine
        if engine is None or routed.request.model not in engine.models_by_name:
            return routed.deadline
        due_at = routed.request.arrived_at + routed.route.target_latency_s
        last_start = due_at - self._first_events.idle_s(routed)
        return last_start if last_start > now else routed.deadline

    def try_take(self, waiter: WaitingRequest) -> Target | None:
        """Return a target for a request, unless one that goes before it can use it."""
        waiter.called = False
        match waiter.claim:
            case ByUrgency() if self._waiting:
                ahead = self._waiting.ahead_of(waiter)
            case _:
                ahead = []
        if any(self._find(other) is not None for other in ahead[:ASKED_IN_ORDER]):
            return None
        target = self._find(waiter)
        if target is not None:
            self.shares.record_started(waiter.kinds, time.monotonic())
            if waiter.joined:
                self._room_rate.record_granted()
        return target

    def record_declined(self, routed: RoutedRequest) -> None:
        """Count a request as not started, since its target has not run it."""
        self.shares.record_declined(kinds_of(routed), time.monotonic())

    def _find(self, waiter: WaitingRequest) -> Target | None:
        return self._choose(waiter.routed, waiter.tried, waiter.room)

    def wait(self, waiter: WaitingRequest, timeout_s: float) -> None:
        """Wait until room is offered, the request is displaced or time is up."""
        if not waiter.joined:
            waiter.joined = True
            self._waiting.join(waiter)
            self._room_rate.update(time.monotonic(), is_waiting=True)
            self._displace()
        if waiter.displaced:
            return
        with eventlet.Timeout(timeout_s, False):
            waiter.signal.wait()
        if not waiter.displaced:
            waiter.signal = Signal()

    def _displace(self) -> None:
        now = time.monotonic()
        for waiter in list(self._waiting.find_hopeless(now, self.room_per_s(now))):
            waiter.displaced = True
            self._waiting.leave(waiter)
            waiter.wake()

    def leave(self, waiter: WaitingRequest) -> None:
        """Remove a request and offer the room that it leaves to the next."""
        if not waiter.joined:
            return
        self._waiting.leave(waiter)
        self._room_rate.update(time.monotonic(), is_waiting=bool(self._waiting))
        match waiter.claim:
            case ByUrgency():
                self.offer_room()
            case Unordered():
                # The others have been woken with it.
                pass

    def offer_room(self) -> None:
        """Wake the first of the waiting requests that can use room now.

        Those that are in no order are all woken.
        """
        if not self._waiting:
            return
        waiters = []
        for waiter in self._waiting.in_order():
            match waiter.claim:
                case Unordered():
                    waiter.wake()
                case ByUrgency():
                    waiters.append(waiter)
        if any(waiter.called for waiter in waiters):
            # It takes the room or leaves, and the next one is asked then.
            return
        for waiter in waiters[:ASKED_IN_ORDER]:
            if self._find(waiter) is not None:
                waiter.called = True
                waiter.wake()
                return

    def room_per_s(self, now: float) -> float:
        """Return for how many waiting requests a second room comes."""
        return self._room_rate.read(now)

    def ahead_count(self, waiter: WaitingRequest) -> int:
        """Return how many waiting requests go before one."""
        return len(self._waiting.ahead_of(waiter))

    def retry_after_s(self, waiter: WaitingRequest) -> float:
        """Return when a refused caller should come back."""
        now = time.monotonic()
        start_s = self.ahead_count(waiter) / self.room_per_s(now)
        remaining_s = max(0.0, waiter.routed.deadline - now)
        longest_s = remaining_s * MAX_RETRY_AFTER_SHARE
        return self._returning.book(now, start_s, self.room_per_s(now), longest_s)

    def waiting_by_priority(self) -> dict[int, int]:
        """Return how many requests wait, by priority."""
        counts: dict[int, int] = {}
        for waiter in self._waiting.in_order():
            priority = waiter.routed.priority
            counts[priority] = counts.get(priority, 0) + 1
        return counts


class WaitingQueues:
    """The queues of a node.

    Parameters
    ----------
    choose : callable
        Returns a target with room for a request, None if there is none.
    """

    def __init__(self, choose: Choose, first_events: FirstEvents) -> None:
        self._choose = choose
        self._first_events = first_events
        self._queue_by_model: dict[tuple[str, str], ModelQueue] = {}

    def queue_of(self, routed: RoutedRequest) -> ModelQueue:
        """Return the queue of a request's service and model."""
        engine, model = routed.service.engine, routed.request.model
        known = engine is not None and model in engine.models_by_name
        key = (routed.service.name, model if known else "")
        queue = self._queue_by_model.get(key)
        if queue is None:
            queue = self._queue_by_model[key] = ModelQueue(
                self._choose, self._first_events
            )
        return queue

    def record_asked(self, routed: RoutedRequest) -> None:
        """Count a caller's request, whether it is served or not."""
        shares = self.queue_of(routed).shares
        shares.record_asked(kinds_of(routed), time.monotonic())

    def offer_room(self) -> None:
        """Offer room to one waiting request of each queue."""
        for queue in self._queue_by_model.values():
            queue.offer_room()

    def gauges(self) -> dict[str, float]:
        """Return who waits, for the metrics page."""
        now = time.monotonic()
        gauges: dict[str, float] = {"requests_waiting": 0}
        for (service, model), queue in self._queue_by_model.items():
            name = f"{service}_{model}" if model else service
            gauges[f"room_per_second_{name}"] = queue.room_per_s(now)
            gauges[f"kinds_starved_{name}"] = len(queue.shares.starved_kinds(now))
            for priority, count in queue.waiting_by_priority().items():
                gauges[f"requests_waiting_{name}_priority_{priority}"] = count
                gauges["requests_waiting"] += count
        return gauges


def kinds_of(routed: RoutedRequest) -> tuple[Kind, ...]:
    """Return the kinds that a request belongs to.

    Prompts are of one size if they agree to a factor of two. Only services whose
    requests differ in priority tell kinds apart.
    """
    if not routed.prioritized:
        return ()
    return (
        Kind("priority", routed.priority),
        Kind("workspace", routed.workspace),
        Kind("size", routed.request.prompt_tokens.bit_length()),
    )

"""Lending of slots between entries; a link carries one borrowed slot at a time."""

import time

from poplarspar.coordination.admission import Admission, Broken, Outcome, Slot
from poplarspar.coordination.fairness import Demand
from poplarspar.coordination.timers import TimerService
from poplarspar.exceptions import ProtocolError, TransportError
from poplarspar.protocol.peers import (
    Borrow,
    Declined,
    Lent,
    Returned,
)
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.results import Error, Ok, Result
from poplarspar.transport.links import Identity, Link, connect

ANSWER_GRACE_S = 0.4
LINK_REUSE_S = 5.0
IDLE_LINK_TIMEOUT_S = 30.0
LENDER_UNREACHABLE = Refusal(Reason.NO_BACKEND, "the lender does not answer")


class SlotLender:
    """Lends this entry's slots to other entries."""

    def __init__(self, admission: Admission, timers: TimerService) -> None:
        self._admission = admission
        self._timers = timers

    def serve(self, link: Link, name: str) -> None:
        """Serve the link of one borrowing entry until it ends."""
        while True:
            match link.receive(IDLE_LINK_TIMEOUT_S):
                case Borrow() as request:
                    self._lend(link, request)
                case other:
                    raise ProtocolError(f"unexpected {type(other).__name__}")

    def _lend(self, link: Link, request: Borrow) -> None:
        wait_until = time.monotonic() + request.wait_s
        match self._admission.take(_demand(request), wait_until):
            case Error(refusal):
                link.send(Declined(refusal))
            case Ok(slot):
                self._await_return(link, request, slot)

    def _await_return(self, link: Link, request: Borrow, slot: Slot) -> None:
        ends_at = time.monotonic() + request.hold_s
        try:
            link.send(Lent(slot.backend, slot.address))
            outcome = self._returned_outcome(link.receive(request.hold_s))
        except TransportError:
            # The borrower may use the slot until its hold time ends, so the lender
            # releases it only then.
            remaining_s = max(0.0, ends_at - time.monotonic())
            self._timers.after(
                remaining_s, lambda: self._admission.give_back(slot, Broken())
            )
            raise
        except BaseException:
            self._admission.give_back(slot, Broken())
            raise
        self._admission.give_back(slot, outcome)

    @staticmethod
    def _returned_outcome(message) -> Outcome:
        match message:
            case Returned(outcome):
                return outcome
            case other:
                raise ProtocolError(f"unexpected {type(other).__name__}")


class LenderLinks:
    """Borrows slots from other entries; see `coordination.capacity.Lenders`."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._idle_by_address: dict[str, list[tuple[Link, float]]] = {}
        self._lender_link_by_slot: dict[Slot, tuple[str, Link]] = {}

    def borrow(
        self, address: str, lender: str, demand: Demand, wait_s: float
    ) -> Result[Slot, Refusal]:
        """Request a slot from one lender."""
        request = _borrow_message(demand, wait_s)
        requested_at = time.monotonic()
        try:
            link = self._acquire_link(address)
        except TransportError:
            return Error(LENDER_UNREACHABLE)
        try:
            answer = link.request(request, wait_s + ANSWER_GRACE_S)
        except (TransportError, ProtocolError):
            link.close()
            return Error(LENDER_UNREACHABLE)
        match answer:
            case Lent(backend, backend_address):
                slot = _borrowed_slot(
                    demand, lender, backend, backend_address, requested_at
                )
                self._lender_link_by_slot[slot] = (address, link)
                return Ok(slot)
            case Declined(refusal):
                self._release_link(address, link)
                return Error(refusal)
            case _:
                link.close()
                return Error(LENDER_UNREACHABLE)

    def give_back(self, slot: Slot, outcome: Outcome) -> None:
        """Return a borrowed slot to its lender."""
        address, link = self._lender_link_by_slot.pop(slot)
        try:
            link.send(Returned(outcome))
        except TransportError:
            link.close()
            return
        self._release_link(address, link)

    def close(self) -> None:
        """Close all links."""
        for idle_links in self._idle_by_address.values():
            for link, _ in idle_links:
                link.close()
        for _, link in self._lender_link_by_slot.values():
            link.close()

    def _acquire_link(self, address: str) -> Link:
        idle_links = self._idle_by_address.setdefault(address, [])
        while idle_links:
            link, idle_since = idle_links.pop()
            if time.monotonic() - idle_since < LINK_REUSE_S:
                return link
            link.close()
        return connect(address, self._identity)

    def _release_link(self, address: str, link: Link) -> None:
        self._idle_by_address.setdefault(address, []).append((link, time.monotonic()))


def _borrow_message(demand: Demand, wait_s: float) -> Borrow:
    return Borrow(
        demand.workspace,
        demand.weight,
        demand.queue_limit,
        demand.deployment,
        demand.tokens,
        wait_s,
        demand.hold_s,
    )


def _demand(request: Borrow) -> Demand:
    return Demand(
        request.workspace,
        request.weight,
        request.queue_limit,
        request.deployment,
        request.tokens,
        request.wait_s,
        request.hold_s,
    )


def _borrowed_slot(
    demand: Demand, lender: str, backend: str, address: str, requested_at: float
) -> Slot:
    return Slot(
        backend,
        address,
        demand.workspace,
        demand.deployment,
        demand.tokens,
        lender,
        requested_at,
    )

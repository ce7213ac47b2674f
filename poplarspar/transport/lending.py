"""Lending of slots between entries: one link carries one loan at a time."""

import time

from expression import Error, Ok, Result

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
from poplarspar.transport.links import Identity, Link, connect

ANSWER_MARGIN_S = 0.4
IDLE_LINK_S = 5.0
LENDER_IDLE_S = 30.0
NO_DECISION = Refusal(Reason.NO_BACKEND, "the lender does not answer")


class SlotLender:
    """Lends this entry's slots to others."""

    def __init__(self, admission: Admission, timers: TimerService) -> None:
        self._admission = admission
        self._timers = timers

    def serve(self, link: Link, name: str) -> None:
        """Serve one borrower's link until it ends."""
        while True:
            match link.receive(LENDER_IDLE_S):
                case Borrow() as question:
                    self._lend(link, question)
                case other:
                    raise ProtocolError(f"unexpected {type(other).__name__}")

    def _lend(self, link: Link, question: Borrow) -> None:
        until = time.monotonic() + question.wait_s
        match self._admission.take(_demand(question), until):
            case Result(tag="error", error=refusal):
                link.send(Declined(refusal))
            case Result(ok=slot):
                self._await_return(link, question, slot)

    def _await_return(self, link: Link, question: Borrow, slot: Slot) -> None:
        ends_at = time.monotonic() + question.hold_s
        try:
            link.send(Lent(slot.backend, slot.address))
            outcome = self._outcome(link.receive(question.hold_s))
        except TransportError:
            # The borrower may still use the slot until its time is over.
            left_s = max(0.0, ends_at - time.monotonic())
            self._timers.after(
                left_s, lambda: self._admission.give_back(slot, Broken())
            )
            raise
        except BaseException:
            self._admission.give_back(slot, Broken())
            raise
        self._admission.give_back(slot, outcome)

    @staticmethod
    def _outcome(message) -> Outcome:
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
        self._lent_by_slot: dict[Slot, tuple[str, Link]] = {}

    def borrow(
        self, address: str, lender: str, demand: Demand, wait_s: float
    ) -> Result[Slot, Refusal]:
        """Ask one lender for a slot."""
        question = _question(demand, wait_s)
        asked_at = time.monotonic()
        try:
            link = self._take_link(address)
        except TransportError:
            return Error(NO_DECISION)
        try:
            answer = link.request(question, wait_s + ANSWER_MARGIN_S)
        except (TransportError, ProtocolError):
            link.close()
            return Error(NO_DECISION)
        match answer:
            case Lent(backend, backend_address):
                slot = _slot(demand, lender, backend, backend_address, asked_at)
                self._lent_by_slot[slot] = (address, link)
                return Ok(slot)
            case Declined(refusal):
                self._keep(address, link)
                return Error(refusal)
            case _:
                link.close()
                return Error(NO_DECISION)

    def give_back(self, slot: Slot, outcome: Outcome) -> None:
        """Return a borrowed slot to its lender."""
        address, link = self._lent_by_slot.pop(slot)
        try:
            link.send(Returned(outcome))
        except TransportError:
            link.close()
            return
        self._keep(address, link)

    def close(self) -> None:
        """Close all links."""
        for idle in self._idle_by_address.values():
            for link, _ in idle:
                link.close()
        for _, link in self._lent_by_slot.values():
            link.close()

    def _take_link(self, address: str) -> Link:
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            link, since = idle.pop()
            if time.monotonic() - since < IDLE_LINK_S:
                return link
            link.close()
        return connect(address, self._identity)

    def _keep(self, address: str, link: Link) -> None:
        self._idle_by_address.setdefault(address, []).append((link, time.monotonic()))


def _question(demand: Demand, wait_s: float) -> Borrow:
    return Borrow(
        demand.workspace,
        demand.weight,
        demand.queue_limit,
        demand.deployment,
        demand.tokens,
        wait_s,
        demand.hold_s,
    )


def _demand(question: Borrow) -> Demand:
    return Demand(
        question.workspace,
        question.weight,
        question.queue_limit,
        question.deployment,
        question.tokens,
        question.wait_s,
        question.hold_s,
    )


def _slot(
    demand: Demand, lender: str, backend: str, address: str, asked_at: float
) -> Slot:
    return Slot(
        backend,
        address,
        demand.workspace,
        demand.deployment,
        demand.tokens,
        lender,
        asked_at,
    )

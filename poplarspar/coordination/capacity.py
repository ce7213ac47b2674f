"""Acquires slots on owned backend servers first, then from other entries."""

import random
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from poplarspar.coordination.admission import Admission, Outcome, Slot
from poplarspar.coordination.fairness import Demand
from poplarspar.coordination.freshness import LOAN_MAX_AGE_S
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.results import Error, Ok, Result
from poplarspar.state.view import View

ROUND_WAIT_S = 0.1
LENDERS_PER_ROUND = 3


class Lenders(Protocol):
    """Links to the entries that lend slots."""

    def borrow(
        self, address: str, lender: str, demand: Demand, wait_s: float
    ) -> Result[Slot, Refusal]:
        """Borrow a slot from one entry, which may wait up to `wait_s` for one."""

    def give_back(self, slot: Slot, outcome: Outcome) -> None:
        """Return a borrowed slot to its lender."""


class Capacity:
    """Acquires and releases slots, owned or borrowed, for one entry."""

    def __init__(self, entry: str, admission: Admission, lenders: Lenders) -> None:
        self._entry = entry
        self._admission = admission
        self._lenders = lenders

    def acquire(self, demand: Demand) -> Result[Slot, Refusal]:
        """Acquire a slot, waiting at most `demand.patience_s`."""
        deadline = time.monotonic() + demand.patience_s
        refusal = Refusal(Reason.NO_BACKEND, "no backend server had room in time")
        for wait_s in _round_waits(deadline):
            match self._admission.check_fresh():
                case Error() as stale:
                    return stale
            for acquire_from in self._slot_sources(demand):
                result = acquire_from(demand, wait_s)
                match result:
                    case Ok():
                        return result
                    case Error(refusal):
                        if refusal.reason is Reason.QUEUE_FULL:
                            return result
        return Error(refusal)

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Release a slot at its owner: this entry or the lender."""
        if slot.lender:
            self._lenders.give_back(slot, outcome)
        else:
            self._admission.give_back(slot, outcome)

    def may_send(self, slot: Slot) -> bool:
        """Return whether a request may be sent on the slot now."""
        if slot.lender and time.monotonic() - slot.admitted_at > LOAN_MAX_AGE_S:
            return False
        return self._admission.is_usable(slot)

    def _slot_sources(self, demand: Demand) -> Iterator[Callable]:
        names = owners_of(self._admission.view, demand.deployment)
        if self._entry in names or not names:
            yield self._acquire_owned
        others = sorted(names - {self._entry})
        for lender in random.sample(others, min(LENDERS_PER_ROUND, len(others))):
            yield lambda demand, wait_s, lender=lender: self._borrow(
                lender, demand, wait_s
            )

    def _acquire_owned(self, demand: Demand, wait_s: float) -> Result[Slot, Refusal]:
        return self._admission.take(demand, time.monotonic() + wait_s)

    def _borrow(
        self, lender: str, demand: Demand, wait_s: float
    ) -> Result[Slot, Refusal]:
        owners = self._admission.view.owners
        address = owners.lender_address_by_entry.get(lender)
        if address is None:
            return Error(Refusal(Reason.NO_BACKEND, f"entry {lender!r} is unknown"))
        return self._lenders.borrow(address, lender, demand, wait_s)


def owners_of(view: View, deployment: str) -> set[str]:
    """Return the entries that own usable backend servers of a deployment."""
    owners = set()
    for group in view.groups_of(deployment):
        ownership = view.ownership_of(group.name)
        if ownership.owner and not ownership.previous and view.accepts_work(group):
            owners.add(ownership.owner)
    return owners


def _round_waits(deadline: float) -> Iterator[float]:
    """Yield the wait of each round: 0 first, then short waits until the deadline."""
    yield 0.0
    while (left_s := deadline - time.monotonic()) > 0:
        yield min(ROUND_WAIT_S, left_s)

"""The lease that makes one steward the planner."""

import time

from poplarspar.coordination.store_ports import (
    Store,
)
from poplarspar.exceptions import RevisionConflict, StoreUnavailable

LEASE_KEY = "locks/planner"
LEASE_TTL_S = 6.0
RENEWAL_PERIOD_S = 2.0
ORDER_TIMEOUT_S = 1.0


class PlannerLease:
    """Acquires and renews the planner's lease.

    A steward counts the lease's time to live from the moment before it sends the
    request, so it never considers the lease valid for longer than the store does.
    """

    def __init__(self, store: Store, name: str) -> None:
        self._store = store
        self._name = name
        self._lease_id = ""
        self._ends_at = float("-inf")
        self._next_try_at = float("-inf")
        self._orders_from = float("inf")

    def acquire_or_renew(self) -> bool:
        """Acquire or renew the lease if due; return whether this steward has it."""
        sent_at = time.monotonic()
        if sent_at < self._next_try_at:
            return self.is_valid()
        self._next_try_at = sent_at + RENEWAL_PERIOD_S
        try:
            acquired = self._renew() if self._lease_id else self._acquire(sent_at)
        except StoreUnavailable:
            return self.is_valid()
        if acquired:
            self._ends_at = sent_at + LEASE_TTL_S
        else:
            self._lease_id = ""
        return acquired

    def is_valid(self) -> bool:
        """Return whether the lease is still valid."""
        return bool(self._lease_id) and time.monotonic() < self._ends_at

    def may_send_orders(self) -> bool:
        """Return whether an order sent now times out before the lease expires.

        A new planner first waits until the previous planner's orders have timed out.
        """
        now = time.monotonic()
        return self._orders_from <= now < self._ends_at - ORDER_TIMEOUT_S

    def _renew(self) -> bool:
        return self._store.renew_lease(self._lease_id)

    def _acquire(self, sent_at: float) -> bool:
        if self._store.read(LEASE_KEY).revision:
            return False
        lease = self._store.grant_lease(LEASE_TTL_S)
        try:
            self._store.compare_and_swap(LEASE_KEY, 0, self._name, lease)
        except RevisionConflict:
            return False
        self._lease_id = lease
        self._orders_from = sent_at + ORDER_TIMEOUT_S
        return True

"""The lease that makes one steward the planner."""

import time

from poplarspar.coordination.ports import Store
from poplarspar.exceptions import RevisionConflict, StoreUnavailable

LEASE_KEY = "locks/planner"
LEASE_TTL_S = 6.0
RENEWAL_PERIOD_S = 2.0
ORDER_TIMEOUT_S = 1.0


class PlannerLease:
    """Holds the planner's lease while it can.

    Times are taken before each question to the store, so the holder never
    believes in its lease for longer than the store does.
    """

    def __init__(self, store: Store, name: str) -> None:
        self._store = store
        self._name = name
        self._lease = ""
        self._ends_at = float("-inf")
        self._next_try_at = float("-inf")
        self._orders_from = float("inf")

    def acquire_or_renew(self) -> bool:
        """Take or renew the lease and return whether it is held."""
        asked_at = time.monotonic()
        if asked_at < self._next_try_at:
            return self.is_valid()
        self._next_try_at = asked_at + RENEWAL_PERIOD_S
        try:
            held = self._renew() if self._lease else self._acquire(asked_at)
        except StoreUnavailable:
            return self.is_valid()
        if held:
            self._ends_at = asked_at + LEASE_TTL_S
        else:
            self._lease = ""
        return held

    def is_valid(self) -> bool:
        """Return whether the lease still runs."""
        return bool(self._lease) and time.monotonic() < self._ends_at

    def may_send_orders(self) -> bool:
        """Return whether an order sent now ends before the lease does.

        A new holder first waits until orders of the last one have ended.
        """
        now = time.monotonic()
        return self._orders_from <= now < self._ends_at - ORDER_TIMEOUT_S

    def _renew(self) -> bool:
        return self._store.renew_lease(self._lease)

    def _acquire(self, asked_at: float) -> bool:
        if self._store.read(LEASE_KEY).revision:
            return False
        lease = self._store.grant_lease(LEASE_TTL_S)
        try:
            self._store.compare_and_swap(LEASE_KEY, 0, self._name, lease)
        except RevisionConflict:
            return False
        self._lease = lease
        self._orders_from = asked_at + ORDER_TIMEOUT_S
        return True

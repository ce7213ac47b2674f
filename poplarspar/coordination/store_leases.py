"""Leases in the store, and the clock by which they end."""

import time

from poplarspar.coordination.store_ports import WatchedStore
from poplarspar.events import Event
from poplarspar.exceptions import StoreUnavailable
from poplarspar.logs import log_event


def boot_clock_s() -> float:
    """Return seconds of a clock that also counts while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """A renewable lease in the store."""

    def __init__(self, store: WatchedStore, ttl_s: float) -> None:
        self._store = store
        self._ttl_s = ttl_s
        self._expires_at = float("-inf")
        self.id = ""

    def is_valid(self) -> bool:
        """Return whether the lease has not expired, so the store still has its keys."""
        return bool(self.id) and boot_clock_s() < self._expires_at

    def keep_alive(self) -> bool:
        """Renew the lease, or create a new one, and return whether it is new."""
        sent_at = boot_clock_s()
        if self.id and self._store.renew_lease(self.id):
            self._expires_at = sent_at + self._ttl_s
            return False
        self.id = ""
        self.id = self._store.grant_lease(self._ttl_s)
        self._expires_at = sent_at + self._ttl_s
        return True

    def forget(self) -> None:
        """Count the lease as ended, since the store no longer has it."""
        self.id = ""
        self._expires_at = float("-inf")

    def revoke(self) -> bool:
        """Revoke the lease, which deletes its keys; return whether the store did so."""
        if not self.id:
            return True
        try:
            self._store.end_lease(self.id)
        except StoreUnavailable as error:
            log_event(Event.LEASE_NOT_ENDED, cause=str(error))
            return False
        self.id = ""
        return True

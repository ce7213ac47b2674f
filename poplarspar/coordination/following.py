"""Following the values under a prefix of the store, through its outages."""

import random
import time
from collections.abc import Callable

import eventlet

from poplarspar.coordination.ports import Change, WatchedStore
from poplarspar.events import Event
from poplarspar.exceptions import HistoryLost, StoreUnavailable
from poplarspar.logs import log_event

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 0.4
# A watch can miss changes when the store loses its history; the values themselves
# are read again this often, well before the history of a quiet prefix ends.
READ_ALL_S = 10.0
# While a fleet starts, changes come close upon one another and all of them matter.
EARLY_S = 5.0
EARLY_PAUSE_S = 0.25


class StoreHealth:
    """Since when the store has answered this node without a fault."""

    def __init__(self) -> None:
        self._steady_since: float | None = None
        self._lost = False

    def succeeded(self) -> None:
        """Note an answer."""
        if self._steady_since is None:
            self._steady_since = time.monotonic()
        if self._lost:
            self._lost = False
            log_event(Event.STORE_BACK)

    def failed(self, cause: str) -> None:
        """Note a call without an answer, or a lapse in what the store told."""
        self._steady_since = None
        if not self._lost:
            self._lost = True
            log_event(Event.STORE_LOST, cause=cause)

    def steady_s(self) -> float:
        """Return for how many seconds the store has answered without a fault."""
        if self._steady_since is None:
            return 0.0
        return time.monotonic() - self._steady_since


class PrefixFollower:
    """Tells of all values under a prefix, and then of each change.

    Parameters
    ----------
    wait_s : float
        Longest time that one question waits at the store for a change.
    pause_s : float
        Time between two questions, which bounds the calls where changes are many.
    replace, apply : callable
        Take all values, and later changes in order.
    """

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        health: StoreHealth,
        *,
        wait_s: float,
        pause_s: float,
        replace: Callable[[tuple[Change, ...]], None],
        apply: Callable[[tuple[Change, ...]], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._replace = replace
        self._apply = apply
        self._as_of: int | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._began_at = time.monotonic()
        self._read_all_at = float("-inf")

    def follow(self) -> None:
        """Follow for as long as the process lives."""
        while True:
            try:
                self._step()
            except HistoryLost:
                log_event(Event.HISTORY_LOST, prefix=self._prefix)
                self._as_of = None
            except StoreUnavailable as error:
                self._health.failed(str(error))
                # A question that waits would be lost with the answer to it, so the
                # next ones are short ones until the store is back.
                self._as_of = None
                eventlet.sleep(self._backoff_s * random.uniform(0.5, 1.0))
                self._backoff_s = min(2 * self._backoff_s, LAST_BACKOFF_S)

    def _step(self) -> None:
        now = time.monotonic()
        if self._as_of is None or now > self._read_all_at + READ_ALL_S:
            found = self._store.read_all(self._prefix)
            self._replace(found.items)
            self._as_of = found.as_of
            self._read_all_at = now
        else:
            found = self._store.changes(self._prefix, self._as_of, self._wait_s)
            self._apply(found.items)
            if found.items:
                # A watch that heard nothing may have missed something, so the next
                # one begins where this one did.
                self._as_of = found.as_of
        self._health.succeeded()
        self._backoff_s = FIRST_BACKOFF_S
        if self._pause_s:
            early = time.monotonic() < self._began_at + EARLY_S
            eventlet.sleep(EARLY_PAUSE_S if early else self._pause_s)

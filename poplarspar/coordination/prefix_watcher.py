"""Following the values under a prefix of the store, through its outages."""

import random
import time
from collections.abc import Callable

import eventlet

from poplarspar.coordination.ports import Change, Changes, WatchedStore
from poplarspar.events import Event
from poplarspar.exceptions import HistoryLost, StoreUnavailable
from poplarspar.logs import log_event

FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 0.4
# While a fleet starts, changes come close upon one another and all of them matter.
EARLY_S = 5.0
EARLY_PAUSE_S = 0.25


class StoreHealth:
    """Since when the store has answered this node without a fault."""

    def __init__(self) -> None:
        self._steady_since: float | None = None
        self._lost = False

    def record_success(self) -> None:
        """Note an answer."""
        if self._steady_since is None:
            self._steady_since = time.monotonic()
        if self._lost:
            self._lost = False
            log_event(Event.STORE_BACK)

    def record_failure(self, cause: str) -> None:
        """Note a call without an answer, or a lapse in what the store told."""
        self._steady_since = None
        if not self._lost:
            self._lost = True
            log_event(Event.STORE_LOST, cause=cause)

    def healthy_s(self) -> float:
        """Return for how many seconds the store has answered without a fault."""
        if self._steady_since is None:
            return 0.0
        return time.monotonic() - self._steady_since


class PrefixWatcher:
    """Tells of all values under a prefix, and then of each change.

    Parameters
    ----------
    wait_s : callable
        Returns the longest time that one question waits at the store for a change.
    pause_s : float
        Time between two questions, which bounds the calls where changes are many.
    read_all_s : float
        Time after which all values are read again, since a watch can miss changes
        when the store loses its history.
    replace, apply : callable
        Take all values, and later changes in order.
    """

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        health: StoreHealth,
        *,
        watch_timeout_s: Callable[[], float],
        watch_interval_s: float,
        resync_interval_s: float,
        replace: Callable[[tuple[Change, ...]], None],
        apply: Callable[[tuple[Change, ...]], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._wait_s = watch_timeout_s
        self._pause_s = watch_interval_s
        self._read_all_s = resync_interval_s
        self._replace = replace
        self._apply = apply
        self._as_of: int | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._began_at = time.monotonic()
        self._read_all_at = float("-inf")
        self._catching_up = False
        self.newest_revision = 0

    def catch_up_to(self, revision: int) -> None:
        """Read all values at once if another node has seen a newer one.

        Parameters
        ----------
        revision : int
            The `newest` of that node's follower.
        """
        if revision > self.newest_revision and not self._catching_up:
            self._catching_up = True
            eventlet.spawn(self._catch_up, revision)

    def _catch_up(self, revision: int) -> None:
        try:
            self._read_all()
            self.newest_revision = max(self.newest_revision, revision)
        except StoreUnavailable as error:
            # The other node asks the same store; its next word starts this again.
            self._health.record_failure(str(error))
        finally:
            self._catching_up = False

    def run(self) -> None:
        """Follow for as long as the process lives."""
        while True:
            try:
                self._step()
            except HistoryLost:
                log_event(Event.HISTORY_LOST, prefix=self._prefix)
                self._as_of = None
            except StoreUnavailable as error:
                self._health.record_failure(str(error))
                # A question that waits would be lost with the answer to it, so the
                # next ones are short ones until the store is back.
                self._as_of = None
                eventlet.sleep(self._backoff_s * random.uniform(0.5, 1.0))
                self._backoff_s = min(2 * self._backoff_s, LAST_BACKOFF_S)

    def _step(self) -> None:
        due_at = self._read_all_at + self._read_all_s
        if self._as_of is None or time.monotonic() > due_at:
            self._read_all()
        else:
            self._ask(self._as_of)
        self._health.record_success()
        self._backoff_s = FIRST_BACKOFF_S
        if self._pause_s:
            early = time.monotonic() < self._began_at + EARLY_S
            eventlet.sleep(EARLY_PAUSE_S if early else self._pause_s)

    def _read_all(self) -> None:
        self._read_all_at = time.monotonic()
        found = self._store.read_all(self._prefix)
        if self._as_of is not None and found.as_of < self._as_of:
            return
        self._note(found)
        self._replace(found.items)

    def _ask(self, after: int) -> None:
        found = self._store.changes(self._prefix, after, self._wait_s())
        # While the question waited, all values may have been read.
        items = tuple(item for item in found.items if item.revision > self._as_of)
        if items:
            # A watch that heard nothing may have missed something, so the next one
            # begins where this one did.
            self._note(found)
        self._apply(items)

    def _note(self, found: Changes) -> None:
        self._as_of = found.as_of
        revisions = [item.revision for item in found.items]
        self.newest_revision = max([self.newest_revision, *revisions])

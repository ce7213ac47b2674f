"""Watch of the store values under a prefix, which survives store outages."""

import time
from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.event import Event as Signal

from poplarspar.coordination.known_values import KnownValues, ReadingWay
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.store_leases import boot_clock_s
from poplarspar.coordination.store_ports import (
    Change,
    Changes,
    WatchedStore,
)
from poplarspar.coordination.store_retries import StoreRetries
from poplarspar.coordination.supervision import spawn_logged
from poplarspar.events import Event
from poplarspar.exceptions import (
    CallInterrupted,
    HistoryLost,
    StoreUnavailable,
    WatchAbandoned,
)
from poplarspar.logs import log_event

# While a fleet starts, changes follow each other closely and each one matters to the
# planner.
STARTUP_S = 5.0
STARTUP_WATCH_INTERVAL_S = 0.25
# The interval between watches depends on the plan, which may cease meanwhile.
PAUSE_CHECK_S = 0.25
# Shortest pause after a watch request that did not reach a wanted revision, and number
# of such requests after which the watch counts as having missed changes.
MIN_PAUSE_S = 0.2
MAX_FRUITLESS_WATCHES = 3
# Usually the watch reports the change at about the same time as the other node, or a
# follower reads it with the announcement.
CATCH_UP_DELAY_S = 0.8
URGENT_CATCH_UP_DELAY_S = 0.4
# What a planner announces of a part of the store that has no values.
FIRST_REVISION = 1


class PrefixWatcher:
    """Reads all values under a prefix, then watches them for changes.

    Parameters
    ----------
    watch_timeout_s : callable
        Returns the longest time that the store holds a watch request open for a
        change.
    watch_interval_s : callable
        Returns the time between two watch requests, which limits the calls when changes
        are frequent.
    resync_interval_s : callable
        Returns the time after which the watcher reads all values again, since a watch
        can miss changes when the store loses its history.
    replace, apply : callable
        Called with all values, and with later changes in order.
    is_follower : callable
        Returns whether another node reads the store for this one, and announces what
        this one must read; during an outage, that the store is back.
    is_informed : callable, optional
        Returns whether another node announces what this one must read, so that this
        one tries an unavailable store rarely, and reads all values again at a lower
        price; followers are by default.
    pause_check_s : callable
        Returns after what time at most the interval between watches may change.
    is_hurried : callable
        Returns whether changes in the first seconds are wanted at once.
    is_small : bool
        Whether to read all values when another node announces a change, which costs
        less than to watch.
    is_urgent : bool
        Whether values must take effect within seconds; how they were read is logged.
    """

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        health: StoreHealth,
        *,
        watch_timeout_s: Callable[[], float],
        watch_interval_s: Callable[[], float],
        resync_interval_s: Callable[[], float],
        replace: Callable[[tuple[Change, ...]], None],
        apply: Callable[[tuple[Change, ...]], None],
        is_follower: Callable[[], bool] = lambda: False,
        is_informed: Callable[[], bool] | None = None,
        pause_check_s: Callable[[], float] = lambda: PAUSE_CHECK_S,
        is_hurried: Callable[[], bool] = lambda: True,
        is_small: bool = False,
        is_urgent: bool = False,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._watch_timeout_s = watch_timeout_s
        self._watch_interval_s = watch_interval_s
        self._resync_interval_s = resync_interval_s
        self._replace = replace
        self._apply = apply
        self._is_follower = is_follower
        self._pause_check_s = pause_check_s
        self._is_informed = is_informed or is_follower
        self._retries = StoreRetries(health, self._is_informed, is_urgent)
        self._is_hurried = is_hurried
        self._is_small = is_small
        self._is_urgent = is_urgent
        self._answered_at = boot_clock_s()
        self._wanted_revision = 0
        self._wanted = Signal()
        self._fruitless_watches = 0
        self._known_revision: int | None = None
        # The same, but kept after a failure; 0 after lost history.
        self._applied_revision = 0
        self._started_at = time.monotonic()
        self._read_all_at = float("-inf")
        self._catching_up = False
        # Whether earlier values may not be the last ones of this history of the store.
        self._needs_newest = True
        self._watching_task: object | None = None
        self._known_values = KnownValues()
        # Digest of another node that a read of all values has not confirmed.
        self._refuted_digest = 0
        self.newest_revision = FIRST_REVISION
        # Whoever has read the values up to it has all changes that this watcher knows.
        self.complete_revision = 0

    def catch_up_to(self, revision: int, digest: int = 0) -> None:
        """Read all values if the watch does not soon report what another node has.

        Parameters
        ----------
        revision, digest : int
            The `newest_revision` and `digest` of that node's watcher; a digest of 0
            says nothing.
        """
        if self._catching_up or not self._lacks(revision, digest):
            return
        if self._known_revision is None and not self._health.is_available:
            # The next attempt reads all values anyway.
            return
        self._catching_up = True
        if self._is_urgent:
            log_event(
                Event.CATCHING_UP,
                prefix=self._prefix,
                announced=revision,
                newest=self.newest_revision,
            )
        spawn_logged(self._catch_up, revision, digest)

    @property
    def digest(self) -> int:
        """See `KnownValues`."""
        return self._known_values.digest()

    def _lacks(self, revision: int, digest: int) -> bool:
        """Return whether another node knows values that this watcher does not."""
        if revision != self.newest_revision:
            return revision > self.newest_revision
        return digest not in (0, self.digest, self._refuted_digest)

    def answered_s(self) -> float:
        """Return the seconds since the store last answered this watcher."""
        return boot_clock_s() - self._answered_at

    @property
    def known_revision(self) -> int:
        """Revision of the store up to which values are known, 0 after a failure."""
        return self._known_revision or 0

    def watch_until(self, revision: int) -> None:
        """End the present pause if the watch has not reached a revision yet."""
        if revision > max(self._wanted_revision, self.known_revision):
            self._wanted_revision = revision
            self.watch_now()

    def read_again(self, cause: str = "the store was restored") -> None:
        """Read all values again, since those known may be out of date."""
        self._known_revision = None
        self._needs_newest = True
        if self._watching_task is None:
            self.watch_now()
        else:
            self._abandon_watch(cause)

    def renew_watch(self, cause: str) -> None:
        """Replace a waiting watch request, whose answer may never arrive.

        A read of all values shows sooner than another watch whether the store answers.
        """
        if self._watching_task is not None:
            if self._is_small:
                self._known_revision = None
            self._abandon_watch(cause)

    def _abandon_watch(self, cause: str) -> None:
        """End the waiting watch request, from the hub, so that the caller goes on."""
        task = self._watching_task

        def abandon() -> None:
            if self._watching_task is task:
                self._watching_task = None
                task.throw(WatchAbandoned(cause))

        if task is not None:
            hubs.get_hub().schedule_call_global(0, abandon)

    def watch_now(self) -> None:
        """End the present pause between two watch requests."""
        if not self._wanted.ready():
            self._wanted.send()

    def _catch_up(self, revision: int, digest: int) -> None:
        try:
            eventlet.sleep(self._catch_up_delay_s())
            if not self._lacks(revision, digest):
                return
            # The connection on which the watch waits may be silent, and others with it.
            self._store.reconnect()
            self._read_all(ReadingWay.CATCH_UP)
            self.newest_revision = max(self.newest_revision, revision)
            self._refuted_digest = digest
            self._abandon_watch("it has not reported an announced change")
        except CallInterrupted as error:
            # The next message of the other node starts another attempt.
            log_event(Event.CALL_INTERRUPTED, prefix=self._prefix, cause=str(error))
        except StoreUnavailable as error:
            self._health.record_failure(str(error))
        finally:
            self._catching_up = False

    def _catch_up_delay_s(self) -> float:
        is_urgent = self._is_urgent and not self._is_follower()
        return URGENT_CATCH_UP_DELAY_S if is_urgent else CATCH_UP_DELAY_S

    def run(self) -> None:
        """Watch the prefix until the task is killed."""
        while True:
            try:
                self._poll()
            except HistoryLost:
                log_event(Event.HISTORY_LOST, prefix=self._prefix)
                self._known_revision = None
                self._applied_revision = 0
            except WatchAbandoned as error:
                log_event(Event.WATCH_ABANDONED, prefix=self._prefix, cause=str(error))
            except CallInterrupted as error:
                log_event(Event.CALL_INTERRUPTED, prefix=self._prefix, cause=str(error))
                # A short read shows whether the store still answers.
                self._known_revision = None
                self._needs_newest = True
                self._retries.wait_after_interruption(str(error))
            except StoreUnavailable as error:
                # The answer to a waiting watch request would be lost in an outage, so
                # the watcher sends short reads of all values until one succeeds.
                self._known_revision = None
                self._needs_newest = True
                self._retries.wait_while_unavailable(str(error))

    def _poll(self) -> None:
        resync_at = self._read_all_at + self._resync_interval_s()
        is_due = self._known_revision is None or time.monotonic() > resync_at
        is_announced = self._wanted_revision > self.known_revision
        may_be_old = self._is_follower() and self._applied_revision > 0
        if may_be_old and (is_due or (is_announced and self._is_small)):
            if not self._read_old():
                self._watch(self._applied_revision)
        elif is_due and self._is_small and self._reads_old():
            self._read_old()
            # It reports at once what the read was too old for.
            self._watch(self._applied_revision)
        elif is_due:
            self._read_all()
        else:
            self._watch(self._known_revision)
        self._retries.record_success()
        self._pause()

    def _pause(self) -> None:
        """Wait between two watch requests; the interval may change meanwhile."""
        began_at = time.monotonic()
        self._wanted = Signal()
        if self._wanted_revision > self.known_revision:
            self._retry_soon()
            return
        self._fruitless_watches = 0
        while (left_s := began_at + self._pause_s() - time.monotonic()) > 0:
            with eventlet.Timeout(min(left_s, self._pause_check_s()), False):
                self._wanted.wait()
            if self._wanted.ready():
                eventlet.sleep(max(0.0, began_at + MIN_PAUSE_S - time.monotonic()))
                return

    def _retry_soon(self) -> None:
        """Wait briefly, since another node knows changes that the watch omitted."""
        self._fruitless_watches += 1
        if self._fruitless_watches >= MAX_FRUITLESS_WATCHES:
            self._read_all_at = float("-inf")
        eventlet.sleep(MIN_PAUSE_S)

    def _pause_s(self) -> float:
        starting = time.monotonic() < self._started_at + STARTUP_S
        if starting and self._is_hurried():
            return min(STARTUP_WATCH_INTERVAL_S, self._watch_interval_s())
        return self._watch_interval_s()

    def _read_all(self, way: ReadingWay = ReadingWay.READ) -> None:
        self._read_all_at = sent_at = time.monotonic()
        changes = self._store.read_all(self._prefix)
        if self._known_revision is not None and changes.as_of < self._known_revision:
            return
        self._record_revision(changes, way, sent_at)
        self._known_values.replace(changes.items)
        self._needs_newest = False
        self._replace(changes.items)

    def _reads_old(self) -> bool:
        """Return whether a watch may follow a cheaper read, which may be old."""
        is_current = self._applied_revision > 0 and not self._needs_newest
        return is_current and self._is_informed()

    def _read_old(self) -> bool:
        """Read all values, which may be old; return whether they were new enough."""
        needed_revision = max(self._applied_revision, self._wanted_revision)
        sent_at = time.monotonic()
        changes = self._store.read_all(self._prefix, may_be_old=True)
        if changes.as_of < needed_revision:
            self._known_revision = self._applied_revision
            return False
        self._read_all_at = time.monotonic()
        self._record_revision(changes, ReadingWay.OLD_READ, sent_at)
        self._known_values.replace(changes.items)
        # The announced change may be a deletion, which is not among the values.
        self.newest_revision = max(self.newest_revision, self._wanted_revision)
        self._replace(changes.items)
        return True

    def _watch(self, after: int) -> None:
        self._watching_task = eventlet.getcurrent()
        sent_at = time.monotonic()
        try:
            changes = self._store.changes(self._prefix, after, self._watch_timeout_s())
        finally:
            self._watching_task = None
        self._answered_at = boot_clock_s()
        # `catch_up_to` may have read all values during the watch request.
        items = tuple(
            item for item in changes.items if item.revision > self.known_revision
        )
        if items:
            # A watch without changes may have missed some, so the known revision
            # advances only with changes and the next watch starts at the same revision.
            self._record_revision(changes, ReadingWay.WATCH, sent_at)
        self._known_values.apply(items)
        self._apply(items)

    def _record_revision(
        self, changes: Changes, way: ReadingWay, sent_at: float
    ) -> None:
        newest = max((item.revision for item in changes.items), default=0)
        self._answered_at = boot_clock_s()
        # All values include no deletions.
        self.complete_revision = newest if way is ReadingWay.WATCH else changes.as_of
        if self._is_urgent and newest > self.newest_revision:
            log_event(
                Event.OPERATOR_VALUES_READ,
                prefix=self._prefix,
                way=way.value,
                newest=newest,
                before=self.newest_revision,
                as_of=changes.as_of,
                announced=self._wanted_revision,
                after_ms=int((time.monotonic() - sent_at) * 1000),
            )
        self._known_revision = self._applied_revision = changes.as_of
        self.newest_revision = max(self.newest_revision, newest)

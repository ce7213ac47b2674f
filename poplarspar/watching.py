"""Watches that keep a node's copies of the store's values up to date."""

from collections.abc import Callable
from contextlib import ExitStack

from poplarspar.coordination.announcements import (
    Announcements,
    StoreReader,
    Watchers,
)
from poplarspar.coordination.fleet import FleetUpdater
from poplarspar.coordination.prefix_watcher import PAUSE_CHECK_S, PrefixWatcher
from poplarspar.coordination.quarantine import QUARANTINE_PREFIX, QuarantineExchange
from poplarspar.coordination.session import NODE_PREFIX, Session
from poplarspar.coordination.store_calls import StoreCalls
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.store_ports import (
    Change,
    WatchedStore,
)
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.coordination.timers import TimerService

# A new watch request replaces a watch that silently stopped reporting changes. The
# planner renews its watch often enough to apply a configuration within 2 s. Each plan
# carries the newest revisions that the planner has read, so the other nodes
# reread missed changes and can renew their watches less often.
WATCH_TIMEOUT_S = 1.4
# The planner of a large fleet notices sooner that it can't read the store any more,
# since other nodes rely on it.
PLANNER_WATCH_TIMEOUT_S = 0.8
# With the read of all values that follows, it is shorter than the history that the
# store keeps, without which the next watch costs two calls more.
RELAXED_WATCH_TIMEOUT_S = 14.0
RELAXED_RESYNC_INTERVAL_S = 14.0
# Bounds the calls of all nodes while changes follow each other closely. The first one
# still ends a waiting watch request at once.
OPERATOR_WATCH_INTERVAL_S = 0.25
OPERATOR_RESYNC_INTERVAL_S = 10.0
# The planner reads the values between its watches, so that what these have omitted is
# announced to all nodes within seconds.
PLANNER_OPERATOR_RESYNC_INTERVAL_S = 1.0
# A node that misses a change of the node list for a while does little harm. All nodes
# of a fleet start together, and the interval gathers their entries.
NODES_WATCH_TIMEOUT_S = 8.0
NODES_WATCH_INTERVAL_S = 0.2
# While a node knows and hears the planner, a change of the others only divides limits.
INFORMED_NODES_WATCH_INTERVAL_S = 1.0
USUAL_RESYNC_INTERVAL_S = 30.0
# Entries of backend servers change constantly, so the node batches their changes. The
# margin covers the watch request, so that the node notices a drain within `drain_s`.
BACKEND_WATCH_TIMEOUT_S = 1.0
BACKEND_WATCH_MARGIN_S = 0.6
BACKEND_RESYNC_INTERVAL_S = 60.0
# Longer than a read of the entries takes while the store answers.
OVERDUE_CHECK_INTERVAL_S = 0.5
# The planner reads entries for all nodes. Changes that it doesn't announce concern
# members of groups.
PLANNER_BACKEND_WATCH_INTERVAL_S = 0.8
# In a small fleet it is shorter than the history that the store keeps, so that an
# announced change takes one call.
CONFIRMED_WATCH_INTERVAL_S = 15.0
# Bounds the reads of all nodes while many of them share evidence.
QUARANTINE_WATCH_INTERVAL_S = 0.5
# A node of a large fleet reads what the planner announces; in between, these find what
# an announcement may have left out.
FOLLOWER_WATCH_INTERVAL_S = 30.0
FOLLOWER_RESYNC_INTERVAL_S = 90.0


class StoreWatches:
    """Starts a node's watches of the store, each in a task of its own.

    Parameters
    ----------
    stack : ExitStack
        Ends the tasks.
    follows_plan : callable
        Returns whether fresh plans of another node carry the revisions that a watch
        may have missed.
    is_planner : callable
        Returns whether this node is the planner.
    announcements : Announcements
        Decides which parts of the store this node reads; gets the watches.
    """

    def __init__(
        self,
        store: WatchedStore,
        health: StoreHealth,
        stack: ExitStack,
        timers: TimerService,
        follows_plan: Callable[[], bool],
        is_planner: Callable[[], bool],
        announcements: Announcements,
    ) -> None:
        self._store = store
        self._health = health
        self._stack = stack
        self._timers = timers
        self._follows_plan = follows_plan
        self._is_planner = is_planner
        self._announcements = announcements

    def start(
        self,
        operator_prefix: str,
        backend_prefix: str,
        updater: FleetUpdater,
        drain_s: float,
        session: Session,
        exchange: QuarantineExchange,
        count: Callable[[str], None],
    ) -> None:
        """Start all watches of a node; backend servers may drain for `drain_s`.

        Calls of the store are counted with `count`, by their names.
        """
        part_by_prefix = {
            operator_prefix: "operator",
            backend_prefix: "backends",
            NODE_PREFIX: "nodes",
            QUARANTINE_PREFIX: "quarantine",
        }
        self._session = session
        self._store.on_call(StoreCalls(count, part_by_prefix).record)
        self._announcements.watchers = Watchers(
            operator=self._watch_operator(operator_prefix, updater),
            quarantine=self._watch_quarantine(exchange),
            backends=self._watch_backends(backend_prefix, updater, drain_s),
            nodes=self._watch_nodes(session),
        )
        self._timers.every(
            OVERDUE_CHECK_INTERVAL_S, lambda: self._check_overdue(updater)
        )

    def _check_overdue(self, updater: FleetUpdater) -> None:
        """Read the entries if some that expired in an outage should be back by now.

        The next watch may be later than nodes must notice that a server has gone.
        """
        if updater.has_overdue():
            self._announcements.watchers.backends.read_again("entries are overdue")

    def _watch_operator(self, prefix: str, updater: FleetUpdater) -> PrefixWatcher:
        """Follow the operator's configuration and evacuations."""
        reader = self._announcements.reader_of_operator
        return self._start(
            prefix,
            self._operator_timeout_s,
            lambda: self._interval_s(reader(), OPERATOR_WATCH_INTERVAL_S),
            lambda: self._resync_s(reader(), self._operator_resync_s()),
            updater.replace_operator_values,
            updater.apply_operator_changes,
            is_small=True,
            is_urgent=True,
        )

    def _watch_backends(
        self, prefix: str, updater: FleetUpdater, drain_s: float
    ) -> PrefixWatcher:
        """Follow the entries of backend servers."""
        usual_s = max(0.0, drain_s - BACKEND_WATCH_MARGIN_S)
        self._announcements.confirmations.interval_s = usual_s
        return self._start(
            prefix,
            self._backend_timeout_s,
            lambda: self._backend_interval_s(usual_s),
            lambda: BACKEND_RESYNC_INTERVAL_S,
            updater.replace_backend_entries,
            updater.apply_backend_changes,
            pause_check_s=self._backend_check_s,
            is_hurried=self._is_planning_soon,
        )

    def _watch_nodes(self, session: Session) -> PrefixWatcher:
        """Follow the list of nodes and the planner's key."""
        reader = self._announcements.reader_of_nodes
        return self._start(
            NODE_PREFIX,
            lambda: self._planned_s(
                NODES_WATCH_TIMEOUT_S,
                RELAXED_WATCH_TIMEOUT_S,
                self._announcements.received.nodes,
            ),
            lambda: self._interval_s(reader(), self._nodes_interval_s()),
            lambda: self._resync_s(reader(), self._usual_resync_s()),
            session.replace,
            session.apply,
            is_small=True,
        )

    def _watch_quarantine(self, exchange: QuarantineExchange) -> PrefixWatcher:
        """Follow the evidence of other nodes and the parts in quarantine."""
        reader = self._announcements.reader_of_quarantine
        return self._start(
            QUARANTINE_PREFIX,
            lambda: self._planned_s(
                WATCH_TIMEOUT_S,
                RELAXED_WATCH_TIMEOUT_S,
                self._announcements.received.quarantine,
            ),
            lambda: self._interval_s(reader(), QUARANTINE_WATCH_INTERVAL_S),
            lambda: self._resync_s(reader(), self._usual_resync_s()),
            exchange.replace,
            exchange.apply,
            is_small=True,
        )

    def _start(
        self,
        prefix: str,
        watch_timeout_s: Callable[[], float],
        watch_interval_s: Callable[[], float],
        resync_interval_s: Callable[[], float],
        replace: Callable[[tuple[Change, ...]], None],
        apply: Callable[[tuple[Change, ...]], None],
        is_small: bool = False,
        is_urgent: bool = False,
        pause_check_s: Callable[[], float] = lambda: PAUSE_CHECK_S,
        is_hurried: Callable[[], bool] | None = None,
    ) -> PrefixWatcher:
        watcher = PrefixWatcher(
            self._store,
            prefix,
            self._health,
            watch_timeout_s=watch_timeout_s,
            watch_interval_s=watch_interval_s,
            resync_interval_s=resync_interval_s,
            replace=replace,
            apply=apply,
            is_follower=self._announcements.is_follower,
            is_informed=self._announcements.is_informed,
            pause_check_s=pause_check_s,
            is_hurried=is_hurried or (lambda: not self._follows_plan()),
            is_small=is_small,
            is_urgent=is_urgent,
        )
        self._store.on_restore(watcher.read_again)
        self._store.on_reconnect(
            lambda: watcher.renew_watch("other calls use new connections")
        )
        self._health.on_back(
            lambda: watcher.renew_watch("the store was unavailable meanwhile")
        )
        self._stack.callback(spawn_supervised(watcher.run).kill)
        return watcher

    def _is_planning_soon(self) -> bool:
        """Return whether entries matter at once while the fleet starts.

        They do to the planner, which forms groups, and to whoever may become it.
        """
        return self._is_planner() or not self._session.planner_endpoint()[0]

    def _backend_interval_s(self, usual_s: float) -> float:
        """Return the time between two reads of changed entries.

        The plan tells when entries have changed that nodes need.
        """
        is_large = self._announcements.is_large_fleet()
        match self._announcements.reader_of_backends():
            case StoreReader.EVERY_NODE:
                return usual_s
            case StoreReader.PLANNER if is_large:
                return min(usual_s, PLANNER_BACKEND_WATCH_INTERVAL_S)
            case StoreReader.PLANNER:
                return self._announcements.confirmations.planner_pause_s()
            case StoreReader.FOLLOWER if is_large:
                return FOLLOWER_WATCH_INTERVAL_S
            case StoreReader.FOLLOWER:
                return CONFIRMED_WATCH_INTERVAL_S

    def _backend_timeout_s(self) -> float:
        """Return how long a watch of entries may wait for the first change."""
        match self._announcements.reader_of_backends():
            case StoreReader.PLANNER if not self._announcements.is_large_fleet():
                confirmations = self._announcements.confirmations
                return confirmations.planner_wait_s(BACKEND_WATCH_TIMEOUT_S)
            case _:
                return BACKEND_WATCH_TIMEOUT_S

    def _backend_check_s(self) -> float:
        """Return the time until the planner's confirmation ends, if that is soon."""
        left_s = self._announcements.confirmations.left_s()
        return min(left_s, PAUSE_CHECK_S) if left_s > 0 else PAUSE_CHECK_S

    def _operator_timeout_s(self) -> float:
        match self._announcements.reader_of_operator():
            case StoreReader.PLANNER:
                return PLANNER_WATCH_TIMEOUT_S
            case _:
                return self._planned_s(
                    WATCH_TIMEOUT_S,
                    RELAXED_WATCH_TIMEOUT_S,
                    self._announcements.received.operator,
                )

    def _operator_resync_s(self) -> float:
        if self._is_planner():
            return PLANNER_OPERATOR_RESYNC_INTERVAL_S
        return self._planned_s(
            OPERATOR_RESYNC_INTERVAL_S,
            RELAXED_RESYNC_INTERVAL_S,
            self._announcements.received.operator,
        )

    def _usual_resync_s(self) -> float:
        """Return an interval of reads, which cost less while another node plans."""
        if self._announcements.is_informed():
            return RELAXED_RESYNC_INTERVAL_S
        return USUAL_RESYNC_INTERVAL_S

    def _nodes_interval_s(self) -> float:
        """Return the time between two watch requests for the list of nodes."""
        announcements = self._announcements
        hears_planner = announcements.received.nodes and announcements.is_informed()
        if hears_planner and self._session.planner_endpoint()[0]:
            return INFORMED_NODES_WATCH_INTERVAL_S
        return NODES_WATCH_INTERVAL_S

    @staticmethod
    def _interval_s(reader: StoreReader, usual_s: float) -> float:
        return FOLLOWER_WATCH_INTERVAL_S if reader is StoreReader.FOLLOWER else usual_s

    @staticmethod
    def _resync_s(reader: StoreReader, usual_s: float) -> float:
        return FOLLOWER_RESYNC_INTERVAL_S if reader is StoreReader.FOLLOWER else usual_s

    def _planned_s(self, usual_s: float, relaxed_s: float, announced: int) -> float:
        """Return an interval of a watch whose newest revisions the plan carries.

        A planner that can't read the store announces revision 0.
        """
        follows = self._follows_plan() or self._announcements.is_informed()
        return relaxed_s if announced and follows else usual_s

"""Reading of the store by the planner for the other nodes.

The planner watches the store and announces, with the plan, which revisions the other
nodes must have read. A node reads them then, and otherwise calls the store rarely. It
watches the store itself without a fresh plan, or while its planner can't read.

In a small fleet that holds for the entries of backend servers only, and as long as the
planner's last confirmation is younger than a read of the node's own would be.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from poplarspar.coordination.entry_confirmations import EntryConfirmations
from poplarspar.coordination.fleet import FleetUpdater
from poplarspar.coordination.prefix_watcher import PrefixWatcher
from poplarspar.coordination.quarantine import (
    CONVICTION_DELAY_S,
    QuarantineExchange,
)
from poplarspar.coordination.session import Session
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.state.plan import StoreRevisions

# In smaller fleets every node watches the rest of the store itself, since a change then
# reaches it sooner and the calls are few.
MAX_NODES_READING = 20
# Plans arrive several times a second; without one for this long, the node reads the
# store itself, early enough to notice a draining backend server in time.
ANNOUNCEMENT_MAX_AGE_S = 1.0
# Entries of backend servers that expired during an outage are dropped soon after it.
MIN_HEALTHY_S = 6.0
# The first of several changes is announced at once, the others after an interval.
# Nodes that start or stop together matter less, since they only divide limits.
ANNOUNCEMENT_INTERVAL_S = 0.8
NODES_ANNOUNCEMENT_INTERVAL_S = 2.0
# Followers hear of a suspected part with the next plan, and clear it through the store.
PLANNER_CONVICTION_DELAY_S = 1.8


class StoreReader(Enum):
    """Who reads a part of the store's values, from one node's point of view."""

    EVERY_NODE = auto()
    PLANNER = auto()
    FOLLOWER = auto()


@dataclass(frozen=True)
class Watchers:
    """Watches of a node, by what they read."""

    operator: PrefixWatcher
    quarantine: PrefixWatcher
    backends: PrefixWatcher
    nodes: PrefixWatcher


class _Announced:
    """A revision that is announced at most once in an interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._changed_at = float("-inf")
        # Revisions start at 1, and 0 would say that the planner can't read.
        self.revision = 1

    def update(self, newest: int, is_urgent: bool = False) -> int:
        """Return the revision to announce, given the newest one."""
        now = time.monotonic()
        is_due = is_urgent or now >= self._changed_at + self._interval_s
        if newest > self.revision and is_due:
            self._changed_at = now
            self.revision = newest
        return self.revision


class Announcements:
    """Announces what this node has read as the planner, or follows announcements.

    Parameters
    ----------
    node_count : callable
        Returns the number of nodes.
    plan_age_s : callable
        Returns the seconds since the last plan arrived.
    reconnect : callable
        Makes calls of the store use new connections, and renews waiting watches.

    Attributes
    ----------
    watchers : Watchers
        Set before the first plan arrives.
    confirmations : EntryConfirmations
        Those that the planner of a small fleet has sent.
    received : StoreRevisions
        What the planner announced last; zeros without a connection to a planner.
    """

    watchers: Watchers

    def __init__(
        self,
        health: StoreHealth,
        session: Session,
        fleet_updater: FleetUpdater,
        quarantine_exchange: QuarantineExchange,
        node_count: Callable[[], int],
        plan_age_s: Callable[[], float],
        reconnect: Callable[[], None],
    ) -> None:
        self._health = health
        self._session = session
        self._fleet_updater = fleet_updater
        self._quarantine_exchange = quarantine_exchange
        self._node_count = node_count
        self._plan_age_s = plan_age_s
        self._reconnect = reconnect
        self.received = StoreRevisions()
        self._received_at = float("-inf")
        self.confirmations = EntryConfirmations()
        self._announced_changes = 0
        self._backend_revision = 0
        self._backends_announced_at = float("-inf")
        self._operator = _Announced(ANNOUNCEMENT_INTERVAL_S)
        self._quarantine = _Announced(ANNOUNCEMENT_INTERVAL_S)
        self._nodes = _Announced(NODES_ANNOUNCEMENT_INTERVAL_S)

    def is_follower(self) -> bool:
        """Return whether another node reads the store for this one, or tries to."""
        if not self.is_large_fleet() or self._session.is_planner:
            return False
        return self._plan_age_s() <= ANNOUNCEMENT_MAX_AGE_S

    def is_informed(self) -> bool:
        """Return whether a planner tells what this node must read, if it can read.

        It does so also while it has no plan yet.
        """
        received_s = time.monotonic() - self._received_at
        return received_s <= ANNOUNCEMENT_MAX_AGE_S and not self._session.is_planner

    def is_large_fleet(self) -> bool:
        """Return whether the planner reads the whole store for all nodes."""
        return self._node_count() > MAX_NODES_READING

    def reader_of_operator(self) -> StoreReader:
        """Return who reads the operator's values."""
        return self._reader(self.received.operator)

    def reader_of_nodes(self) -> StoreReader:
        """Return who reads the list of nodes."""
        return self._reader(self.received.nodes)

    def reader_of_quarantine(self) -> StoreReader:
        """Return who reads evidence and the quarantine."""
        return self._reader(self.received.quarantine)

    def reader_of_backends(self) -> StoreReader:
        """Return who reads the entries of backend servers."""
        if self.is_large_fleet():
            reader = self._reader(self.received.backends)
        else:
            reader = self._reader_in_small_fleet()
        if reader is StoreReader.FOLLOWER and self._health.healthy_s() < MIN_HEALTHY_S:
            return StoreReader.EVERY_NODE
        return reader

    def conviction_delay_s(self) -> float | None:
        """Return the delay before this node quarantines parts; see `Quarantine`."""
        match self.reader_of_quarantine():
            case StoreReader.FOLLOWER if self._health.is_available:
                return None
            case StoreReader.PLANNER:
                return PLANNER_CONVICTION_DELAY_S
            case _:
                return CONVICTION_DELAY_S

    def _reader(self, received_revision: int) -> StoreReader:
        if self.is_follower() and received_revision:
            return StoreReader.FOLLOWER
        if self.is_large_fleet() and self._session.is_planner:
            return StoreReader.PLANNER
        return StoreReader.EVERY_NODE

    def _reader_in_small_fleet(self) -> StoreReader:
        """Return who reads the entries of backend servers."""
        if self._session.is_planner and self._node_count() > 1:
            return StoreReader.PLANNER
        is_confirmed = self.received.backends and self.confirmations.left_s() > 0
        # Without a fresh plan, the entries tell which groups are open.
        if is_confirmed and self._plan_age_s() <= ANNOUNCEMENT_MAX_AGE_S:
            return StoreReader.FOLLOWER
        return StoreReader.EVERY_NODE

    def receive(
        self, revisions: StoreRevisions, asked_at: float = float("-inf")
    ) -> None:
        """Read what the planner has announced, unless this node has.

        `asked_at` is when this node asked, on the clock of `boot_clock_s`.
        """
        self.confirmations.record(revisions.backends_age_ms, asked_at)
        watchers = self.watchers
        if self.received.operator and not revisions.operator:
            watchers.operator.renew_watch("the planner can't read the store")
        self.received = revisions
        self._received_at = time.monotonic()
        watchers.operator.watch_until(revisions.operator)
        watchers.operator.catch_up_to(revisions.operator, revisions.operator_digest)
        watchers.quarantine.watch_until(revisions.quarantine)
        watchers.quarantine.catch_up_to(revisions.quarantine)
        watchers.backends.watch_until(revisions.backends)
        watchers.nodes.watch_until(revisions.nodes)

    def lose_planner(self) -> None:
        """Look for another planner, since the connection to the last one has ended.

        Until there is one, watch requests get shorter time-outs, and none should wait
        on a connection that is silent.
        """
        self.watchers.nodes.watch_now()
        # Links to a planner that has been replaced end again and again.
        if self.received != StoreRevisions():
            self.received = StoreRevisions()
            self._reconnect()

    def revisions(self) -> StoreRevisions:
        """Return what this node announces as the planner."""
        if not self._health.is_available:
            self._backend_revision = 0
            return StoreRevisions()
        # The nodes should find a new planner at once.
        planner_changed = self._session.planner_revision > self._nodes.revision
        newest_nodes = self.watchers.nodes.newest_revision
        # In a small fleet an announcement costs no calls, unless a watch has failed.
        is_small = not self.is_large_fleet()
        backends = self._needed_backend_revision(is_small)
        # A node that has read all that is announced knows as much as this one.
        is_confirmed = is_small and backends
        operator = self.watchers.operator
        operator_revision = self._operator.update(operator.newest_revision, is_small)
        is_newest = operator_revision == operator.newest_revision
        return StoreRevisions(
            operator=operator_revision,
            operator_digest=operator.digest if is_newest else 0,
            quarantine=self._quarantine.update(
                self._quarantine_exchange.needed_revision
            ),
            backends=backends,
            backends_age_ms=self._backends_age_ms() if is_confirmed else 0,
            nodes=self._nodes.update(newest_nodes, planner_changed),
        )

    def _backends_age_ms(self) -> int:
        """Return the time since the store last answered about entries, at least 1."""
        return 1 + int(self.watchers.backends.answered_s() * 1000)

    def _needed_backend_revision(self, is_small: bool) -> int:
        """Return the revision of entries, 0 while this node may miss changes."""
        if self._health.healthy_s() < MIN_HEALTHY_S:
            self._backend_revision = 0
            return 0
        changes = self._fleet_updater.needed_changes
        now = time.monotonic()
        is_due = now >= self._backends_announced_at + ANNOUNCEMENT_INTERVAL_S
        # All that is known must be announced with a confirmation.
        has_news = changes != self._announced_changes and (is_due or is_small)
        if has_news or not self._backend_revision:
            self._announced_changes = changes
            self._backends_announced_at = now
            backends = self.watchers.backends
            # Others may have read all changes without having reached the same revision.
            self._backend_revision = (
                backends.complete_revision if is_small else backends.known_revision
            )
        return self._backend_revision

"""A node's lease in the store: its place in the list of nodes, and the planner's."""

import time
from collections.abc import Callable

import eventlet

from poplarspar.coordination.ports import Change, WatchedStore
from poplarspar.events import Event
from poplarspar.exceptions import (
    CoordinationError,
    LeaseEnded,
    RevisionConflict,
    StoreUnavailable,
)
from poplarspar.logs import log_event
from poplarspar.state.snapshot import StoredValue

NODE_PREFIX = "poplarspar/"
PLANNER_KEY = NODE_PREFIX + "planner"
MEMBER_PREFIX = NODE_PREFIX + "nodes/"
# What planners know of spares, for when all nodes were lost at once; nobody follows
# it, so that its changes wake no other node.
SPARES_KEY = "poplarspar-spares"
# A lost planner is replaced after this time at the latest.
PLANNER_TTL_S = 1.5
# Other nodes are missed by nobody at once; their number shares bounds.
MEMBER_TTL_S = 6.0
RENEWAL_S = 0.4
MEMBER_RENEWAL_S = 2.0
# Nodes start within some tenths of a second, and the planner is best chosen among all.
START_S = 0.4
# The strongest node takes an empty place first, each other one this much later.
STAGGER_S = 0.1
LONGEST_STAGGER_S = 1.0


def boot_clock_s() -> float:
    """Return seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """A lease in the store that is renewed for as long as it is wanted."""

    def __init__(self, store: WatchedStore, ttl_s: float) -> None:
        self._store = store
        self._ttl_s = ttl_s
        self._ends_at = float("-inf")
        self.id = ""

    def is_valid(self) -> bool:
        """Return whether the store still keeps the keys of this lease."""
        return bool(self.id) and boot_clock_s() < self._ends_at

    def keep_alive(self) -> bool:
        """Renew the lease, or take a new one, and return whether it is new."""
        asked_at = boot_clock_s()
        if self.id and self._store.renew_lease(self.id):
            self._ends_at = asked_at + self._ttl_s
            return False
        self.id = ""
        self.id = self._store.grant_lease(self._ttl_s)
        self._ends_at = asked_at + self._ttl_s
        return True

    def revoke(self) -> None:
        """Give the lease up, which deletes its keys."""
        id, self.id = self.id, ""
        if not id:
            return
        try:
            self._store.end_lease(id)
        except StoreUnavailable as error:
            log_event(Event.LEASE_NOT_ENDED, cause=str(error))


class Session:
    """A node's place in the list of nodes, and its turn as the planner.

    Parameters
    ----------
    name : str
        Identifier of this process, new with each start.
    address : str
        Where other nodes reach it.
    secret : str
        What other nodes show there; the store keeps it from everybody else.
    capacity : float
        Processor cores; the strongest node plans, if it can.
    ttl_min_s : float
        Shortest lease that the store grants.
    """

    def __init__(
        self,
        store: WatchedStore,
        name: str,
        address: str,
        secret: str,
        capacity: float,
        ttl_min_s: float,
        changed: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._address = address
        self._secret = secret
        self._capacity = capacity
        self._changed = changed
        self._member_lease = Lease(store, max(MEMBER_TTL_S, ttl_min_s))
        self._planner_lease = Lease(store, max(PLANNER_TTL_S, ttl_min_s))
        self._member_due = float("-inf")
        self._listed = False
        self._vacant_since = time.monotonic() + START_S
        self._ended = False
        self._planner = Change(PLANNER_KEY, 0, None)
        self._spares = StoredValue(SPARES_KEY, 0, "")
        self.capacity_by_node: dict[str, float] = {}

    @property
    def is_planner(self) -> bool:
        """Whether this node was the planner when the store was last heard."""
        return self._planner.text == self._own_text()

    def planner_endpoint(self) -> tuple[str, str]:
        """Return the planner's address and secret, empty texts if there is none."""
        parts = (self._planner.text or "").split(" ")
        return (parts[1], parts[2]) if len(parts) == 3 else ("", "")

    @property
    def planner_revision(self) -> int:
        """Revision at which the planner took its place."""
        return self._planner.revision

    def read_spares(self) -> str:
        """Return what the last planner wrote of spares, empty if it can't be had."""
        try:
            self._spares = self._store.read(SPARES_KEY)
        except StoreUnavailable as error:
            # What reports tell is enough to plan by.
            log_event(Event.SPARES_NOT_KEPT, cause=str(error))
        return self._spares.text

    def write_spares(self, text: str) -> None:
        """Keep what this planner knows of spares."""
        if text == self._spares.text:
            return
        try:
            revision = self._store.compare_and_swap(
                SPARES_KEY, self._spares.revision, text
            )
        except StoreUnavailable as error:
            # It is written again with the next change, and only saves time.
            log_event(Event.SPARES_NOT_KEPT, cause=str(error))
        except RevisionConflict:
            # Another planner wrote it, or an answer of the store was lost.
            self.read_spares()
        else:
            self._spares = StoredValue(SPARES_KEY, revision, text)

    def planner_lease_valid(self) -> bool:
        """Return whether the store still keeps this node's place as the planner."""
        return self._planner_lease.is_valid()

    def run(self) -> None:
        """Keep the leases until they are given up."""
        while not self._ended:
            try:
                self._keep()
                if not self._planner.text:
                    self._take_planning()
            except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
                # The next round tries again.
                self._note_failure(error)
            eventlet.sleep(RENEWAL_S)

    def replace(self, items: tuple[Change, ...]) -> None:
        """Take all keys of nodes."""
        self.capacity_by_node = {}
        self._planner = Change(PLANNER_KEY, 0, None)
        self.apply(items)

    def apply(self, items: tuple[Change, ...]) -> None:
        """Take changes of keys of nodes, in order."""
        for item in items:
            node = item.key.removeprefix(MEMBER_PREFIX)
            if item.key == PLANNER_KEY:
                self._set_planner(item)
            elif item.key.startswith(MEMBER_PREFIX) and item.text is not None:
                self.capacity_by_node[node] = _capacity(item.text)
            else:
                self.capacity_by_node.pop(node, None)
        if items:
            self._changed()

    def resign(self) -> None:
        """Give up planning, so that the next planner's term is a newer one."""
        self._planner_lease.revoke()
        self._planner = Change(PLANNER_KEY, self._planner.revision, None)
        self._vacant_since = time.monotonic()

    def close(self) -> None:
        """Give up all leases for good, so that others need not wait for their ends."""
        self._ended = True
        self._planner_lease.revoke()
        self._member_lease.revoke()

    def _own_text(self) -> str:
        return f"{self._name} {self._address} {self._secret}"

    def _set_planner(self, item: Change) -> None:
        if item.revision < self._planner.revision:
            return
        self._planner = item
        log_event(
            Event.PLANNER_CHANGED,
            planner=(item.text or "").partition(" ")[0],
            revision=item.revision,
        )
        if item.text is None:
            self._vacant_since = time.monotonic()
            eventlet.spawn_after(self._stagger_s(), self._try_planning)

    def _stagger_s(self) -> float:
        """Return for how long an empty place is left to stronger nodes."""
        own = (-self._capacity, self._name)
        stronger = sum(
            (-capacity, name) < own for name, capacity in self.capacity_by_node.items()
        )
        return min(LONGEST_STAGGER_S, STAGGER_S * stronger)

    def _try_planning(self) -> None:
        try:
            self._take_planning()
        except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
            # Another node was quicker, or the next renewal tries again.
            self._note_failure(error)

    def _note_failure(self, error: CoordinationError) -> None:
        cause = f"{type(error).__name__}: {error}"
        log_event(Event.LEASE_NOT_HELD, cause=cause, runs=self.planner_lease_valid())

    def _keep(self) -> None:
        if self.is_planner and self._planner_lease.keep_alive():
            # The last lease has ended, and the planner's key with it.
            self._planner = Change(PLANNER_KEY, self._planner.revision, None)
            self._vacant_since = time.monotonic()
        now = time.monotonic()
        if now < self._member_due:
            return
        if self._member_lease.keep_alive():
            self._listed = False
        if not self._listed:
            self._enter()
        self._member_due = now + MEMBER_RENEWAL_S

    def _enter(self) -> None:
        """Write this node's key."""
        key, capacity = MEMBER_PREFIX + self._name, f"{self._capacity:.2f}"
        try:
            self._store.compare_and_swap(key, 0, capacity, self._member_lease.id)
        except RevisionConflict:
            # It was written before, and the answer was lost; no other node has it.
            pass
        self._listed = True

    def _take_planning(self) -> None:
        left_s = self._vacant_since + self._stagger_s() - time.monotonic()
        if self._ended or left_s > 0 or self._planner.text:
            return
        self._planner_lease.keep_alive()
        text = self._own_text()
        try:
            lease = self._planner_lease.id
            revision = self._store.compare_and_swap(PLANNER_KEY, 0, text, lease)
        except StoreUnavailable:
            # The write may have taken effect without an answer.
            found = self._store.read(PLANNER_KEY)
            if found.text != text:
                raise
            revision = found.revision
        self._set_planner(Change(PLANNER_KEY, revision, text))
        self._changed()


def _capacity(text: str) -> float:
    """Return the cores that a node's entry tells, 0 if it is of another version."""
    try:
        return float(text)
    except ValueError:
        return 0.0

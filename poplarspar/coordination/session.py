"""A node's leases in the store: membership among the nodes, and the planner's role."""

import time
from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.store_leases import Lease
from poplarspar.coordination.store_ports import (
    Change,
    WatchedStore,
)
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
# The planner stores its data on spares here, in case all nodes fail at once. The key
# is outside of the nodes' prefix, so that a change of it wakes no other node.
SPARES_KEY = "poplarspar-spares"
# Longest time until the lease of a failed planner expires and another node can take
# over.
PLANNER_TTL_S = 1.5
# The loss of another node is less urgent: the number of nodes only divides limits.
MEMBER_TTL_S = 6.0
RENEWAL_INTERVAL_S = 0.4
RELEASE_CHECK_INTERVAL_S = 0.05
MEMBER_RENEWAL_INTERVAL_S = 2.0
# The store counts refused calls too.
MEMBER_RETRY_INTERVAL_S = 1.0
# Nodes start within some tenths of a second of each other. The delay lets all of
# them register before one becomes the planner.
STARTUP_DELAY_S = 0.4
# The node with the most capacity claims a vacant planner key first, each further
# node this much later.
STAGGER_S = 0.1
# Within this time after a restore of the store, nodes have written their keys again.
RESTORE_HOLD_S = 6.0
MAX_STAGGER_S = 1.0


class Session:
    """A node's membership in the list of nodes, and its candidacy as the planner.

    Parameters
    ----------
    name : str
        Identifier of this process, new with each start.
    address : str
        Address for connections of other nodes.
    secret : str
        Secret that other nodes present at this address; only nodes can read it from
        the store.
    capacity : float
        Processor cores; the node with the most is the preferred planner.
    ttl_min_s : float
        Shortest time to live of a lease that the store grants, in seconds.
    on_change : callable
        Called after a change of the nodes or the planner.

    Attributes
    ----------
    planner_key_released : bool
        Whether this node has freed the planner key after `close`, so that another node
        can plan.
    """

    def __init__(
        self,
        store: WatchedStore,
        name: str,
        address: str,
        secret: str,
        capacity: float,
        ttl_min_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._address = address
        self._secret = secret
        # As other nodes read it, so that all agree on the order of the candidates.
        self._capacity = _parse_capacity(_capacity_text(capacity))
        self._on_change = on_change
        self._member_lease = Lease(store, max(MEMBER_TTL_S, ttl_min_s))
        self._planner_lease = Lease(store, max(PLANNER_TTL_S, ttl_min_s))
        self._member_renewal_at = float("-inf")
        self._member_key_written = False
        self._vacant_since = time.monotonic() + STARTUP_DELAY_S
        self._close_requested = Signal()
        self._keep_nodes_until = float("-inf")
        self._planner_entry = Change(PLANNER_KEY, 0, None)
        self._last_planner = ""
        self._spares = StoredValue(SPARES_KEY, 0, "")
        self.capacity_by_node: dict[str, float] = {}
        self.planner_key_released = False

    @property
    def is_planner(self) -> bool:
        """Whether this node was the planner at the last update from the store."""
        return self._planner_entry.text == self._own_text()

    def planner_endpoint(self) -> tuple[str, str]:
        """Return the planner's address and secret, empty strings without a planner."""
        parts = (self._planner_entry.text or "").split(" ")
        return (parts[1], parts[2]) if len(parts) == 3 else ("", "")

    @property
    def planner_revision(self) -> int:
        """Revision at which the planner wrote its key."""
        return self._planner_entry.revision

    def read_spares(self) -> str:
        """Return the last planner's text on spares, empty if none could be read."""
        try:
            self._spares = self._store.read(SPARES_KEY)
        except StoreUnavailable as error:
            # The reports of backend servers are enough for planning.
            log_event(Event.SPARES_NOT_KEPT, cause=str(error))
        return self._spares.text

    def write_spares(self, text: str) -> None:
        """Write this planner's text on spares to the store."""
        if text == self._spares.text:
            return
        try:
            revision = self._store.compare_and_swap(
                SPARES_KEY, self._spares.revision, text
            )
        except StoreUnavailable as error:
            # The text only saves time, and the next change writes it again.
            log_event(Event.SPARES_NOT_KEPT, cause=str(error))
        except RevisionConflict:
            # Another planner wrote the key, or the answer to an earlier write was lost.
            self.read_spares()
        else:
            self._spares = StoredValue(SPARES_KEY, revision, text)

    def renew_keys(self) -> None:
        """Write this node's keys again, since the store has been restored.

        Leases of before the restore may end at any moment, if the store has them. Other
        nodes write their keys again too, and count until then.
        """
        self._keep_nodes_until = time.monotonic() + RESTORE_HOLD_S
        self._member_lease.forget()
        self._planner_lease.forget()
        self._member_key_written = False
        self._member_renewal_at = float("-inf")
        self._spares = StoredValue(SPARES_KEY, 0, "")

    def planner_lease_valid(self) -> bool:
        """Return whether this node's lease on the planner key is still valid."""
        return self._planner_lease.is_valid()

    def run(self) -> None:
        """Renew the leases until `close`, then revoke them."""
        while not self._close_requested.ready():
            try:
                self._renew_leases()
                if not self._planner_entry.text:
                    self._claim_planner_key()
            except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
                # The next round tries again.
                self._log_failure(error)
            self._close_requested.wait(timeout=RENEWAL_INTERVAL_S)
        self.planner_key_released = self._planner_lease.revoke()
        self._member_lease.revoke()
        while not self._is_replaceable():
            eventlet.sleep(RENEWAL_INTERVAL_S)
            self.planner_key_released = self._planner_lease.revoke()

    def replace(self, items: tuple[Change, ...]) -> None:
        """Apply all keys under the nodes' prefix."""
        if time.monotonic() >= self._keep_nodes_until:
            self.capacity_by_node = {}
        if self._planner_entry.text and PLANNER_KEY not in {i.key for i in items}:
            # All values include no deletions. `run` claims the key in turn.
            self._planner_entry = Change(
                PLANNER_KEY, self._planner_entry.revision, None
            )
            self._vacant_since = time.monotonic()
        self.apply(items)

    def apply(self, items: tuple[Change, ...]) -> None:
        """Apply changes of keys under the nodes' prefix, in order."""
        for item in items:
            node = item.key.removeprefix(MEMBER_PREFIX)
            if item.key == PLANNER_KEY:
                self._set_planner(item)
            elif item.key.startswith(MEMBER_PREFIX) and item.text is not None:
                self.capacity_by_node[node] = _parse_capacity(item.text)
            else:
                self.capacity_by_node.pop(node, None)
        if items:
            self._on_change()

    def resign(self) -> None:
        """Give up the planner's role, so that the next planner has a newer revision."""
        self._planner_lease.revoke()
        self._planner_lease.id = ""
        self._planner_entry = Change(PLANNER_KEY, self._planner_entry.revision, None)
        self._vacant_since = time.monotonic()

    def close(self) -> None:
        """Let `run` revoke all leases, so that other nodes needn't wait for their end.

        Returns at once, since the store may not answer; `run` tries again to release
        the planner key.
        """
        if not self._close_requested.ready():
            self._close_requested.send()

    def wait_released(self, timeout_s: float) -> None:
        """Wait until the planner key, if this node has it, is free for another node."""
        ends_at = time.monotonic() + timeout_s
        while not self._is_replaceable() and time.monotonic() < ends_at:
            eventlet.sleep(RELEASE_CHECK_INTERVAL_S)

    def _is_replaceable(self) -> bool:
        return self.planner_key_released or not self.is_planner

    def _own_text(self) -> str:
        return f"{self._name} {self._address} {self._secret}"

    def _set_planner(self, item: Change) -> None:
        if item.revision < self._planner_entry.revision or item == self._planner_entry:
            return
        self._planner_entry = item
        if item.text:
            # Its key ends because it can't plan any longer, so no node waits for it.
            self._last_planner = item.text.partition(" ")[0]
        log_event(
            Event.PLANNER_CHANGED,
            planner=(item.text or "").partition(" ")[0],
            revision=item.revision,
        )
        if item.text is None:
            self._vacant_since = time.monotonic()
            eventlet.spawn_after(self._stagger_s(), self._try_claim)

    def _stagger_s(self) -> float:
        """Return the delay before this node claims a vacant planner key."""
        own = (-self._capacity, self._name)
        nodes_ahead = sum(
            (-capacity, name) < own
            for name, capacity in self.capacity_by_node.items()
            if name != self._last_planner
        )
        return min(MAX_STAGGER_S, STAGGER_S * nodes_ahead)

    def _try_claim(self) -> None:
        try:
            self._claim_planner_key()
        except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
            # Another node was first, or the next renewal tries again.
            self._log_failure(error)

    def _log_failure(self, error: CoordinationError) -> None:
        cause = f"{type(error).__name__}: {error}"
        log_event(Event.LEASE_NOT_HELD, cause=cause, runs=self.planner_lease_valid())

    def _renew_leases(self) -> None:
        if self.is_planner and self._planner_lease.keep_alive():
            # The previous lease has expired, and the planner key with it.
            self._planner_entry = Change(
                PLANNER_KEY, self._planner_entry.revision, None
            )
            self._vacant_since = time.monotonic()
        now = time.monotonic()
        if now < self._member_renewal_at:
            return
        self._member_renewal_at = now + MEMBER_RETRY_INTERVAL_S
        if self._member_lease.keep_alive():
            self._member_key_written = False
        if not self._member_key_written:
            self._write_member_key()
        self._member_renewal_at = now + MEMBER_RENEWAL_INTERVAL_S

    def _write_member_key(self) -> None:
        """Write this node's key under its membership lease."""
        key, capacity = MEMBER_PREFIX + self._name, _capacity_text(self._capacity)
        try:
            self._store.compare_and_swap(key, 0, capacity, self._member_lease.id)
        except RevisionConflict:
            # No other node uses this key: the answer to an earlier write was lost, or
            # the key has a lease of before a restore of the store.
            revision = self._store.read(key).revision
            self._store.compare_and_swap(key, revision, capacity, self._member_lease.id)
        self._member_key_written = True

    def _finds_planner(self) -> bool:
        """Return whether a node that came first has the planner key by now.

        That costs one call, and a claim that fails several.
        """
        stored = self._store.read(PLANNER_KEY)
        if not stored.revision or stored.text == self._own_text():
            return False
        self._set_planner(Change(PLANNER_KEY, stored.revision, stored.text))
        self._on_change()
        return True

    def _claim_planner_key(self) -> None:
        remaining_s = self._vacant_since + self._stagger_s() - time.monotonic()
        if remaining_s > 0 or self._planner_entry.text:
            return
        if self._close_requested.ready():
            return
        if self._stagger_s() and self._finds_planner():
            return
        self._planner_lease.keep_alive()
        text = self._own_text()
        lease_id = self._planner_lease.id
        try:
            revision = self._store.compare_and_swap(PLANNER_KEY, 0, text, lease_id)
        except StoreUnavailable:
            # The write may have taken effect without an answer.
            stored = self._store.read(PLANNER_KEY)
            if stored.text != text:
                raise
            revision = stored.revision
        except RevisionConflict:
            # A key of this node's from before a restore would end with its lease.
            stored = self._store.read(PLANNER_KEY)
            if stored.text != text:
                raise
            revision = self._store.compare_and_swap(
                PLANNER_KEY, stored.revision, text, lease_id
            )
        self._set_planner(Change(PLANNER_KEY, revision, text))
        self._on_change()


def _capacity_text(capacity: float) -> str:
    return f"{capacity:.2f}"


def _parse_capacity(text: str) -> float:
    """Return the cores in a node's value, 0 if another version wrote it."""
    try:
        return float(text)
    except ValueError:
        return 0.0

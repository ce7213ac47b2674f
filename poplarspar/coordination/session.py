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

NODE_PREFIX = "poplarspar/"
PLANNER_KEY = NODE_PREFIX + "planner"
MEMBER_PREFIX = NODE_PREFIX + "nodes/"
# What planners know of spares, for when all nodes were lost at once.
SPARES_KEY = NODE_PREFIX + "spares"
# A lost planner is replaced after this time at the latest.
LEASE_TTL_S = 1.5
RENEWAL_S = 0.4


def boot_time() -> float:
    """Return seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Session:
    """Keeps one lease, with which this node's keys in the store live.

    Parameters
    ----------
    name : str
        Identifier of this process, new with each start.
    address : str
        Where other nodes reach it.
    secret : str
        What other nodes show there; the store keeps it from everybody else.
    ttl_s : float
        Time after which the lease of a silent node ends.
    """

    def __init__(
        self,
        store: WatchedStore,
        name: str,
        address: str,
        secret: str,
        ttl_s: float,
        changed: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._address = address
        self._secret = secret
        self._ttl_s = ttl_s
        self._changed = changed
        self._lease = ""
        self._ended = False
        self._ends_at = float("-inf")
        self._planner = Change(PLANNER_KEY, 0, None)
        self._spares = Change(SPARES_KEY, 0, None)
        self.address_by_node: dict[str, str] = {}

    @property
    def is_planner(self) -> bool:
        """Whether this node was the planner when the store was last heard."""
        return self._planner.text == self._own_text()

    def planner(self) -> tuple[str, str]:
        """Return the planner's address and secret, empty texts if there is none."""
        parts = (self._planner.text or "").split(" ")
        return (parts[1], parts[2]) if len(parts) == 3 else ("", "")

    @property
    def planner_revision(self) -> int:
        """Revision at which the planner took its place."""
        return self._planner.revision

    @property
    def spares(self) -> str:
        """What the last planner wrote of spares."""
        return self._spares.text or ""

    def write_spares(self, text: str) -> None:
        """Keep what this planner knows of spares."""
        if text == self.spares:
            return
        try:
            revision = self._store.swap(SPARES_KEY, self._spares.revision, text)
        except (StoreUnavailable, RevisionConflict) as error:
            # It is written again with the next change, and only saves time.
            log_event(Event.SPARES_NOT_KEPT, cause=str(error))
            return
        self._spares = Change(SPARES_KEY, revision, text)

    def lease_runs(self) -> bool:
        """Return whether the store still keeps this node's keys."""
        return bool(self._lease) and boot_time() < self._ends_at

    def run(self) -> None:
        """Keep the lease until it is given up."""
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
        self.address_by_node = {}
        self._planner = Change(PLANNER_KEY, 0, None)
        self.apply(items)

    def apply(self, items: tuple[Change, ...]) -> None:
        """Take changes of keys of nodes, in order."""
        for item in items:
            node = item.key.removeprefix(MEMBER_PREFIX)
            if item.key == PLANNER_KEY:
                self._set_planner(item)
            elif item.key == SPARES_KEY:
                if item.revision > self._spares.revision:
                    self._spares = item
            elif item.key.startswith(MEMBER_PREFIX) and item.text is not None:
                self.address_by_node[node] = item.text
            else:
                self.address_by_node.pop(node, None)
        if items:
            self._changed()

    def end(self) -> None:
        """Give up the lease for good, so that others need not wait for its end."""
        self._ended = True
        lease, self._lease = self._lease, ""
        if not lease:
            return
        try:
            self._store.end_lease(lease)
        except StoreUnavailable as error:
            log_event(Event.LEASE_NOT_ENDED, cause=str(error))

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
        if item.text is None and self._lease:
            eventlet.spawn(self._try_planning)

    def _try_planning(self) -> None:
        try:
            self._take_planning()
        except (StoreUnavailable, RevisionConflict, LeaseEnded) as error:
            # Another node was quicker, or the next renewal tries again.
            self._note_failure(error)

    def _note_failure(self, error: CoordinationError) -> None:
        cause = f"{type(error).__name__}: {error}"
        log_event(Event.LEASE_NOT_HELD, cause=cause, runs=self.lease_runs())

    def _keep(self) -> None:
        asked_at = boot_time()
        if not self._lease:
            self._lease = self._store.grant_lease(self._ttl_s)
            self._ends_at = asked_at + self._ttl_s
            key = MEMBER_PREFIX + self._name
            self._store.swap(key, 0, self._address, self._lease)
        elif self._store.renew_lease(self._lease):
            self._ends_at = asked_at + self._ttl_s
        else:
            self._lease = ""

    def _take_planning(self) -> None:
        if self._ended or not self.lease_runs() or self._planner.text:
            return
        text = self._own_text()
        try:
            revision = self._store.swap(PLANNER_KEY, 0, text, self._lease)
        except StoreUnavailable:
            # The write may have taken effect without an answer.
            found = self._store.read(PLANNER_KEY)
            if found.text != text:
                raise
            revision = found.revision
        self._set_planner(Change(PLANNER_KEY, revision, text))
        self._changed()

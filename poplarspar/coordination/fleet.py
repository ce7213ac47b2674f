"""A node's copy of the fleet, updated from the store."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.store_ports import (
    Change,
)
from poplarspar.events import Event
from poplarspar.exceptions import MalformedDocument
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer
from poplarspar.state.serving import Fleet, ServingConfiguration

# A running backend server rewrites an entry that expired during a store outage about
# 2 s after the store is available again.
EXPIRY_GRACE_S = 2.5
# After a restore of the store, entries of backend servers that have gone end again
# within this time, and the others have been written again.
RESTORE_HOLD_S = 6.0
# The copy that a store is restored from is some seconds old.
GONE_MEMORY_S = 60.0


@dataclass(frozen=True)
class NewConfiguration:
    """The operator published a configuration."""

    configuration: ServingConfiguration


@dataclass(frozen=True)
class ZoneEvacuated:
    """The operator evacuated a zone, or put it back into service."""

    zone: str
    evacuated: bool


OperatorChange = NewConfiguration | ZoneEvacuated


class FleetDocuments(Protocol):
    """Decoding of the store values that the operator and backend servers write."""

    def decode_operator_change(self, change: Change) -> OperatorChange | None:
        """Decode a change, None if nodes don't use it.

        Raises
        ------
        MalformedDocument
            If the value is invalid.
        """

    def decode_backend(self, change: Change) -> BackendServer:
        """Decode a backend server's entry; raises `MalformedDocument`."""

    def backend_id(self, key: str) -> str:
        """Return the id of the backend server whose entry has this key."""


class FleetUpdater:
    """Applies values and changes from the store to a `Fleet`.

    Parameters
    ----------
    on_change : callable
        Called after each update.

    Attributes
    ----------
    needed_changes : int
        Number of changes of entries that nodes need although they follow the plan.
    """

    def __init__(
        self,
        documents: FleetDocuments,
        health: StoreHealth,
        on_change: Callable[[], None],
    ) -> None:
        self._documents = documents
        self._health = health
        self._on_change = on_change
        self._expired_ids: set[str] = set()
        self._malformed_keys: set[str] = set()
        self._configuration_at = time.monotonic()
        self._hold_until = float("-inf")
        self._draining_incarnations: set[tuple[str, int]] = set()
        self._gone_at_by_incarnation: dict[tuple[str, int], float] = {}
        self._held_item_by_id: dict[str, Change] = {}
        self.fleet = Fleet()
        self.entries_loaded = False
        self.needed_changes = 0

    @property
    def ready(self) -> bool:
        """Whether the configuration and all entries have been read."""
        return self.entries_loaded and self.fleet.configuration is not None

    def configuration_age_s(self) -> float:
        """Return the seconds since this node applied a configuration or started."""
        return time.monotonic() - self._configuration_at

    def hold_withdrawals(self) -> None:
        """Keep away from what was withdrawn, since the store has been restored.

        An older copy lists backend servers again that are draining or gone, until they
        have written their entries again or these end, and lacks evacuations, until the
        operator has written them again.
        """
        self._hold_until = time.monotonic() + RESTORE_HOLD_S
        self._draining_incarnations = {
            backend.incarnation
            for backend in self.fleet.backends_by_id.values()
            if backend.draining
        }

    def replace_operator_values(self, items: tuple[Change, ...]) -> None:
        """Apply all values that the operator has written."""
        decoded = [self._decode_operator(change) for change in items]
        zones = {
            change.zone
            for change in decoded
            if isinstance(change, ZoneEvacuated) and change.evacuated
        }
        if time.monotonic() < self._hold_until:
            zones |= self.fleet.evacuated_zones
        self._set_zones(frozenset(zones))
        for change in decoded:
            if isinstance(change, NewConfiguration):
                self._set_configuration(change.configuration)
        self._on_change()

    def apply_operator_changes(self, items: tuple[Change, ...]) -> None:
        """Apply the operator's changes, in order."""
        zones = set(self.fleet.evacuated_zones)
        for item in items:
            match self._decode_operator(item):
                case NewConfiguration(configuration):
                    self._set_configuration(configuration)
                case ZoneEvacuated(zone, evacuated):
                    (zones.add if evacuated else zones.discard)(zone)
        self._set_zones(frozenset(zones))
        if items:
            self._on_change()

    def replace_backend_entries(self, items: tuple[Change, ...]) -> None:
        """Apply all entries of backend servers."""
        present_ids = {self._documents.backend_id(item.key) for item in items}
        previous_by_id = dict(self.fleet.backends_by_id)
        self._held_item_by_id = {}
        for item in items:
            self._put_backend(item, may_be_gone=time.monotonic() < self._hold_until)
        for id in set(self.fleet.backends_by_id) - present_ids:
            self._expire(id)
        for id in previous_by_id.keys() | present_ids:
            self._count_needed(
                previous_by_id.get(id), self.fleet.backends_by_id.get(id)
            )
        self.entries_loaded = True
        self._on_change()

    def apply_backend_changes(self, items: tuple[Change, ...]) -> None:
        """Apply changes of entries, in order, then remove expired backend servers.

        The watcher also calls this without changes, to remove backend servers whose
        entries expired during an outage and did not come back.
        """
        for item in items:
            id = self._documents.backend_id(item.key)
            previous = self.fleet.backends_by_id.get(id)
            if item.text is None:
                self._expire(id)
            else:
                self._put_backend(item)
            self._count_needed(previous, self.fleet.backends_by_id.get(id))
        removed = self._remove_expired()
        listed = self._list_held()
        if items or removed or listed:
            self._on_change()

    def has_overdue(self) -> bool:
        """Return whether an entry that expired in an outage should be back by now."""
        return bool(self._expired_ids) and self._health.healthy_s() >= EXPIRY_GRACE_S

    def _count_needed(
        self, previous: BackendServer | None, current: BackendServer | None
    ) -> None:
        """Count a change that nodes need besides the plan.

        The plan tells which groups serve. New backend servers of a model become heads
        later, which a node notices by itself.
        """
        if previous is not None and current is not None:
            self.needed_changes += _differ(previous, current)
        else:
            self.needed_changes += self._is_plain(previous or current)

    def _is_plain(self, backend: BackendServer | None) -> bool:
        configuration = self.fleet.configuration
        if backend is None or configuration is None:
            return False
        service = configuration.services_by_name.get(backend.service)
        return service is None or service.engine is None

    def _decode_operator(self, item: Change) -> OperatorChange | None:
        try:
            return self._documents.decode_operator_change(item)
        except MalformedDocument as error:
            log_event(Event.DOCUMENT_MALFORMED, key=item.key, cause=str(error))
            return None

    def _set_configuration(self, configuration: ServingConfiguration) -> None:
        current = self.fleet.configuration
        if current is not None and current.version >= configuration.version:
            return
        self.fleet.configuration = configuration
        before_s = self.configuration_age_s()
        self._configuration_at = time.monotonic()
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=0 if current is None else current.version,
            before_s=round(before_s, 3),
        )

    def _set_zones(self, zones: frozenset[str]) -> None:
        if zones != self.fleet.evacuated_zones:
            self.fleet.evacuated_zones = zones
            log_event(Event.ZONES_EVACUATED, zones=sorted(zones))

    def _put_backend(self, item: Change, may_be_gone: bool = False) -> None:
        """Apply an entry; if it may be gone, one that has ended before waits."""
        try:
            backend = self._documents.decode_backend(item)
        except MalformedDocument as error:
            if item.key not in self._malformed_keys:
                self._malformed_keys.add(item.key)
                log_event(Event.DOCUMENT_MALFORMED, key=item.key, cause=str(error))
            # Whichever process wrote the malformed value, the entry no longer describes
            # a backend server.
            self._remove(self._documents.backend_id(item.key))
            return
        if may_be_gone and backend.incarnation in self._gone_at_by_incarnation:
            self._held_item_by_id[backend.id] = item
            return
        self._held_item_by_id.pop(backend.id, None)
        self._gone_at_by_incarnation.pop(backend.incarnation, None)
        if backend.incarnation in self._draining_incarnations:
            backend = replace(backend, draining=True)
        self._expired_ids.discard(backend.id)
        previous = self.fleet.backends_by_id.get(backend.id)
        if previous is not None and previous.started_ms > backend.started_ms:
            return
        if previous is None or previous.draining != backend.draining:
            log_event(
                Event.BACKEND_LISTED,
                backend=backend.id,
                service=backend.service,
                draining=backend.draining,
            )
        self.fleet.backends_by_id[backend.id] = backend
        self.fleet.cold_until_by_id[backend.id] = time.monotonic() + backend.cold_s

    def _list_held(self) -> bool:
        """List backend servers whose entries have not ended again after a restore."""
        if not self._held_item_by_id or time.monotonic() < self._hold_until:
            return False
        held_items = tuple(self._held_item_by_id.values())
        for item in held_items:
            self._put_backend(item)
        return True

    def _expire(self, id: str) -> None:
        self._held_item_by_id.pop(id, None)
        if id not in self.fleet.backends_by_id:
            return
        if self._health.healthy_s() >= EXPIRY_GRACE_S:
            self._remove(id)
        else:
            self._expired_ids.add(id)

    def _remove_expired(self) -> bool:
        if not self.has_overdue():
            return False
        for id in tuple(self._expired_ids):
            self._remove(id)
        return True

    def _remove(self, id: str) -> None:
        self._expired_ids.discard(id)
        backend = self.fleet.backends_by_id.pop(id, None)
        if backend is not None:
            self._record_gone(backend)
            log_event(Event.BACKEND_GONE, backend=id)
        self.fleet.cold_until_by_id.pop(id, None)

    def _record_gone(self, backend: BackendServer) -> None:
        now = time.monotonic()
        self._gone_at_by_incarnation = {
            incarnation: at
            for incarnation, at in self._gone_at_by_incarnation.items()
            if at > now - GONE_MEMORY_S
        }
        self._gone_at_by_incarnation[backend.incarnation] = now


def _differ(previous: BackendServer, current: BackendServer) -> bool:
    """Return whether requests must be sent otherwise than before."""
    became_cold = current.cold_s > 0.0 and previous.cold_s == 0.0
    restarted = (previous.address, previous.started_ms) != (
        current.address,
        current.started_ms,
    )
    drains = previous.draining != current.draining and not _is_follower(current)
    return became_cold or restarted or drains


def _is_follower(backend: BackendServer) -> bool:
    """Return whether requests go to another member of a backend server's group.

    The planner chooses no draining backend server as the head of a new group.
    """
    engine_state = backend.engine_state
    membership = engine_state.membership if engine_state is not None else None
    return membership is not None and membership.rank > 0

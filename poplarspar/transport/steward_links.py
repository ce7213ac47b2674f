"""A steward's exchange of values with its peers, with entries and with the store."""

import time

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.cluster import CLUSTER_PREFIX, ClusterState
from poplarspar.coordination.store_ports import (
    Store,
)
from poplarspar.events import Event
from poplarspar.exceptions import ProtocolError, StoreUnavailable, TransportError
from poplarspar.logs import log_event
from poplarspar.protocol.peers import (
    EntryPing,
    EntryPong,
    PeerPing,
    PeerPong,
)
from poplarspar.state.metrics import Metrics
from poplarspar.transport.links import Identity, Link, connect

PEER_POLL_PERIOD_S = 1.0
PEER_ANSWER_TIMEOUT_S = 1.0
WATCH_WAIT_S = 1.0
STORE_RETRY_DELAY_S = 0.5
IDLE_LINK_TIMEOUT_S = 10.0


class StewardSync:
    """Synchronizes a steward with the store, peers and entries, one task for each."""

    def __init__(
        self,
        cluster: ClusterState,
        store: Store,
        identity: Identity,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._identity = identity
        self._metrics = metrics
        self._change_signal = Signal()
        cluster.add_listener(self._wake_pollers)

    def watch_store(self) -> None:
        """Watch the store without end and merge its changes."""
        reachable = True
        while True:
            asked_at = time.monotonic()
            after = self._cluster.snapshot.revision
            try:
                values = self._store.watch(CLUSTER_PREFIX, after, WATCH_WAIT_S)
            except StoreUnavailable as error:
                if reachable:
                    log_event(Event.STORE_LOST, cause=str(error))
                reachable = False
                self._metrics.count("store_failures")
                eventlet.sleep(STORE_RETRY_DELAY_S)
                continue
            if not reachable:
                log_event(Event.STORE_BACK)
            reachable = True
            self._metrics.count("store_answers")
            self._cluster.merge(values)
            self._cluster.freshness.record_store_answer(asked_at)
            self._cluster.update_barrier()

    def poll_peer(self, peer: str, address: str) -> None:
        """Poll one peer without end and merge its newer values."""
        while True:
            try:
                self._poll_until_lost(peer, address)
            except (TransportError, ProtocolError) as error:
                log_event(Event.PEER_LOST, peer=peer, cause=str(error))
                eventlet.sleep(PEER_POLL_PERIOD_S)

    def serve(self, link: Link, name: str) -> None:
        """Answer the pings of one link until it ends."""
        while True:
            match link.receive(IDLE_LINK_TIMEOUT_S):
                case EntryPing(entry):
                    self._metrics.count("entry_questions")
                    self._cluster.update_entry(entry)
                    self._cluster.update_barrier()
                    link.send(self._entry_pong(entry.revision))
                case PeerPing(revision) if name in self._cluster.roster:
                    self._metrics.count("peer_questions")
                    link.send(self._peer_pong(revision))
                case other:
                    kind = type(other).__name__
                    raise ProtocolError(f"unexpected {kind} from {name!r}")

    def _poll_until_lost(self, peer: str, address: str) -> None:
        link = connect(address, self._identity)
        try:
            while True:
                change_signal = self._change_signal
                asked_at = time.monotonic()
                ping = PeerPing(self._cluster.snapshot.revision)
                answer = link.request(ping, PEER_ANSWER_TIMEOUT_S)
                self._metrics.observe("peer_answer_us", time.monotonic() - asked_at)
                self._apply_answer(peer, asked_at, answer)
                change_signal.wait(timeout=PEER_POLL_PERIOD_S)
        finally:
            link.close()

    def _apply_answer(self, peer: str, asked_at: float, answer) -> None:
        match answer:
            case PeerPong():
                pass
            case other:
                raise ProtocolError(f"unexpected {type(other).__name__}")
        self._cluster.merge(answer.values)
        self._cluster.update_remote_entries(answer.entries)
        self._cluster.freshness.record_peer_answer(
            peer,
            asked_at,
            synced=answer.synced,
            newer=answer.revision > self._cluster.snapshot.revision,
            in_force=answer.in_force,
        )
        self._cluster.update_barrier()

    def _entry_pong(self, revision: int) -> EntryPong:
        fresh_for_s = self._cluster.freshness.fresh_until() - time.monotonic()
        values = self._cluster.snapshot.newer_than(revision)
        return EntryPong(max(0.0, fresh_for_s), values)

    def _peer_pong(self, revision: int) -> PeerPong:
        return PeerPong(
            revision=self._cluster.snapshot.revision,
            in_force=self._cluster.revision_in_force(),
            synced=self._cluster.freshness.synced,
            values=self._cluster.snapshot.newer_than(revision),
            entries=self._cluster.local_entries(),
        )

    def _wake_pollers(self) -> None:
        previous, self._change_signal = self._change_signal, Signal()
        previous.send()

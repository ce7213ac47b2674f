"""A steward's links: to its peers, from its peers, from entries, to the store."""

import time

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.cluster import CLUSTER_PREFIX, ClusterState
from poplarspar.coordination.ports import Store
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

PEER_PERIOD_S = 1.0
PEER_ANSWER_S = 1.0
WATCH_WAIT_S = 1.0
STORE_RETRY_S = 0.5
LINK_SILENCE_S = 10.0


class StewardSync:
    """Tasks that keep a steward in touch, one for each peer and connection."""

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
        self._changed = Signal()
        cluster.add_listener(self._announce_change)

    def watch_store(self) -> None:
        """Watch the store for as long as the process lives."""
        answering = True
        while True:
            asked_at = time.monotonic()
            after = self._cluster.snapshot.revision
            try:
                values = self._store.watch(CLUSTER_PREFIX, after, WATCH_WAIT_S)
            except StoreUnavailable as error:
                if answering:
                    log_event(Event.STORE_LOST, cause=str(error))
                answering = False
                self._metrics.count("store_failures")
                eventlet.sleep(STORE_RETRY_S)
                continue
            if not answering:
                log_event(Event.STORE_BACK)
            answering = True
            self._metrics.count("store_answers")
            self._cluster.merge(values)
            self._cluster.freshness.record_store_answer(asked_at)
            self._cluster.update_barrier()

    def poll_peer(self, peer: str, address: str) -> None:
        """Question one peer for as long as the process lives."""
        while True:
            try:
                self._question_peer(peer, address)
            except (TransportError, ProtocolError) as error:
                log_event(Event.PEER_LOST, peer=peer, cause=str(error))
                eventlet.sleep(PEER_PERIOD_S)

    def serve(self, link: Link, name: str) -> None:
        """Answer the questions that arrive on one link."""
        while True:
            match link.receive(LINK_SILENCE_S):
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

    def _question_peer(self, peer: str, address: str) -> None:
        link = connect(address, self._identity)
        try:
            while True:
                changed = self._changed
                asked_at = time.monotonic()
                ping = PeerPing(self._cluster.snapshot.revision)
                answer = link.request(ping, PEER_ANSWER_S)
                self._metrics.observe("peer_answer_us", time.monotonic() - asked_at)
                self._take_answer(peer, asked_at, answer)
                changed.wait(timeout=PEER_PERIOD_S)
        finally:
            link.close()

    def _take_answer(self, peer: str, asked_at: float, answer) -> None:
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

    def _announce_change(self) -> None:
        changed, self._changed = self._changed, Signal()
        changed.send()

"""The entry daemon: admits callers' requests and forwards them to backend servers."""

import uuid
from contextlib import ExitStack

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.admission import Admission
from poplarspar.coordination.capacity import Capacity
from poplarspar.coordination.drain import Drain
from poplarspar.coordination.freshness import EntryFreshness
from poplarspar.coordination.idempotency import RequestRecords
from poplarspar.coordination.report_readers import ReportReaders
from poplarspar.coordination.service import RequestService
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.coordination.timers import TimerService
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.protocol.documents import JsonDocuments
from poplarspar.protocol.settings import EntrySettings
from poplarspar.state.entries import EntryStatus
from poplarspar.state.ledger import Ledger
from poplarspar.state.metrics import Metrics
from poplarspar.state.replicas import Reports
from poplarspar.state.snapshot import Snapshot, StoredValue
from poplarspar.state.status import EntryReport, LedgerStatus
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.backends import HttpBackends, HttpReportReader
from poplarspar.transport.callers import CallerApi
from poplarspar.transport.entry_links import StewardPoller
from poplarspar.transport.lending import LenderLinks, SlotLender
from poplarspar.transport.links import Identity, LinkServer
from poplarspar.transport.platform import HttpStore
from poplarspar.transport.server import SEND_BUFFER_BYTES, HttpServer, ServerLimits

HANDOVER_TIMEOUT_S = 10.0


class Entry:
    """An entry process; `close` stops everything that it started."""

    def __init__(self, settings: EntrySettings) -> None:
        # Each process is a separate owner, since a restarted entry does not know
        # the requests that its predecessor left in flight.
        self.name = f"{settings.name}.{uuid.uuid4().hex[:8]}"
        self._settings = settings
        self._stack = ExitStack()
        self._documents = JsonDocuments()
        self._snapshot = Snapshot()
        self._freshness = EntryFreshness()
        self._reports = Reports()
        self.metrics = Metrics()
        self.drain = Drain()
        self.admission = Admission(self.name, self._reports, self._freshness.is_fresh)
        self._view_changed = Signal()
        self._timers = TimerService()
        self._stack.callback(self._timers.close)
        self._start()

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by server name."""
        return {
            "http": bound_address(self._http_listener),
            "lending": bound_address(self._lending_listener),
        }

    def shut_down(self) -> None:
        """Wait until the load balancer removes this entry, then finish its requests.

        Then waits up to `HANDOVER_TIMEOUT_S` until other entries own its backend
        servers.
        """
        log_event(Event.DRAINING, running=self.drain.running)
        self.drain.begin()
        eventlet.sleep(self._settings.drain_notice_s)
        self._server.stop_accepting()
        finished = self._server.wait_ended(self._settings.drain_timeout_s)
        self._wait_for_handover()
        log_event(Event.STOPPED, finished=finished, running=self.drain.running)

    def _wait_for_handover(self) -> None:
        """Wait until other entries own all backend servers of this entry.

        Gives up after `HANDOVER_TIMEOUT_S`.
        """
        with eventlet.Timeout(HANDOVER_TIMEOUT_S, False):
            while self.admission.owns_backends():
                self._view_changed.wait()

    def close(self) -> None:
        """Stop all tasks and close all connections and listeners."""
        self._stack.close()

    def _start(self) -> None:
        identity = Identity(self.name, self._settings.cluster.peer_token)
        self._report_readers = ReportReaders(
            HttpReportReader(), self._reports, self.admission.admit_waiting
        )
        self._stack.callback(self._report_readers.close)
        self._start_lending(identity)
        self._start_serving(identity)
        self._start_steward_poller(identity)

    def _start_lending(self, identity: Identity) -> None:
        slot_lender = SlotLender(self.admission, self._timers)
        self._lending_listener = listen(self._settings.lending_listen)
        link_server = LinkServer(
            self._lending_listener, identity.token, slot_lender.serve
        )
        self._stack.callback(link_server.close)

    def _start_serving(self, identity: Identity) -> None:
        settings = self._settings
        store = HttpStore(settings.cluster.store_address)
        self._stack.callback(store.close)
        lenders = LenderLinks(identity)
        self._stack.callback(lenders.close)
        service = RequestService(
            self.admission,
            Capacity(self.name, self.admission, lenders),
            RequestRecords(store, self._documents.record_text, self._documents.record),
            HttpBackends(),
            self._timers,
            self.metrics,
            settings.queue_timeout_s,
        )
        api = CallerApi(service, self.drain, self.metrics, self.is_ready, self.describe)
        self._http_listener = listen(settings.http_listen, SEND_BUFFER_BYTES)
        timeout_s = settings.header_timeout_s
        limits = ServerLimits(settings.body_limit_bytes, timeout_s, timeout_s)
        self._server = HttpServer(
            self._http_listener,
            api.handle,
            connection_limit=settings.connection_limit,
            limits=lambda: limits,
        )
        self._stack.callback(self._server.close)

    def _start_steward_poller(self, identity: Identity) -> None:
        address_by_steward = self._settings.cluster.steward_address_by_name
        steward_poller = StewardPoller(
            [address_by_steward[name] for name in self._settings.stewards],
            identity,
            self._freshness,
            self._status,
            self._apply_values,
        )
        self._stack.callback(spawn_supervised(steward_poller.run).kill)

    def _apply_values(self, values: list[StoredValue]) -> None:
        if not self._snapshot.merge(values):
            return
        self.admission.update(self._documents.view(self._snapshot))
        self._report_readers.update_vms(self.admission.owned_vm_addresses())
        log_event(Event.VIEW_CHANGED, revision=self._snapshot.revision)
        changed, self._view_changed = self._view_changed, Signal()
        changed.send()

    def _status(self) -> EntryStatus:
        settings = self._settings
        address = settings.lending_address
        if address == settings.lending_listen:
            address = self.addresses["lending"]
        return EntryStatus(
            name=self.name,
            zone=settings.zone,
            lending_address=address,
            revision=self._snapshot.revision,
            leaving=self.drain.draining,
            running=self.drain.running,
            drained=tuple(self.admission.finished_handovers()),
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        zone = self.admission.view.objects.zones_by_name.get(self._settings.zone)
        in_service = zone is not None and zone.serving
        return in_service and self._freshness.is_fresh() and not self.drain.draining

    def describe(self) -> EntryReport:
        """Return this entry's state and metrics."""
        return EntryReport(
            name=self.name,
            revision=self._snapshot.revision,
            fresh=self._freshness.is_fresh(),
            draining=self.drain.draining,
            running=self.drain.running,
            ledger_by_backend={
                name: _ledger_status(ledger)
                for name, ledger in sorted(self.admission.ledger_by_backend.items())
            },
            metrics=self.metrics.summary(),
        )


def _ledger_status(ledger: Ledger) -> LedgerStatus:
    return LedgerStatus(
        requests=ledger.requests,
        request_limit=ledger.limit.requests,
        tokens=ledger.tokens,
        token_limit=ledger.limit.tokens,
    )

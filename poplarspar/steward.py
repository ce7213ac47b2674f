"""Steward daemon: publishes configuration and freshness, plans groups and owners."""

from contextlib import ExitStack

from poplarspar.coordination.cluster import ClusterState
from poplarspar.coordination.lease import PlannerLease
from poplarspar.coordination.planner import Planner
from poplarspar.coordination.publishing import Publisher
from poplarspar.coordination.report_readers import ReportReaders
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.protocol.documents import JsonDocuments
from poplarspar.protocol.settings import StewardSettings
from poplarspar.state.metrics import Metrics
from poplarspar.state.replicas import ReplicaGroup, Reports
from poplarspar.state.status import ClusterStatus, GroupStatus
from poplarspar.state.view import View
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.backends import HttpOrderSender, HttpReportReader
from poplarspar.transport.links import Identity, LinkServer
from poplarspar.transport.operators import OperatorApi
from poplarspar.transport.platform import HttpStore, HttpVmList
from poplarspar.transport.server import HttpServer, ServerLimits
from poplarspar.transport.steward_links import StewardSync

HTTP_CONNECTION_LIMIT = 256
HTTP_LIMITS = ServerLimits(2_000_000, header_timeout_s=10.0, idle_timeout_s=10.0)
# Longer than an operator's change takes while the store does not answer.
STOP_TIMEOUT_S = 10.0


class Steward:
    """A steward process; `close` stops everything that it started."""

    def __init__(self, settings: StewardSettings) -> None:
        self._settings = settings
        self._stack = ExitStack()
        self._documents = JsonDocuments()
        address_by_steward = settings.cluster.steward_address_by_name
        self.cluster = ClusterState(
            settings.name, sorted(address_by_steward), self._documents
        )
        self._store = HttpStore(settings.cluster.store_address)
        self._stack.callback(self._store.close)
        self._reports = Reports()
        self.metrics = Metrics()
        self._start_steward_sync()
        self._start_planner()
        self._start_operator_api()

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by server name."""
        return {
            "http": bound_address(self._http_listener),
            "peer": bound_address(self._peer_listener),
        }

    def shut_down(self) -> None:
        """Answer the operators' requests in flight; entries use another steward."""
        log_event(Event.DRAINING)
        self._server.stop_accepting()
        finished = self._server.wait_ended(STOP_TIMEOUT_S)
        log_event(Event.STOPPED, finished=finished)

    def close(self) -> None:
        """Stop all tasks and close all connections and listeners."""
        self._stack.close()

    def describe(self) -> ClusterStatus:
        """Return the cluster's state as this steward knows it."""
        view = self.cluster.view
        return ClusterStatus(
            steward=self.cluster.name,
            revision=self.cluster.snapshot.revision,
            in_force=self.cluster.revision_in_force(),
            fresh=self.cluster.freshness.is_fresh(),
            planner=self._planner.is_active,
            serving_by_zone={
                zone.name: zone.serving for zone in view.objects.zones_by_name.values()
            },
            entries_by_name=self.cluster.entries_by_name(),
            groups_by_name={
                group.name: _group_status(view, group)
                for group in view.groups_by_name.values()
            },
            metrics=self.metrics.summary(),
        )

    def _start_steward_sync(self) -> None:
        cluster_settings = self._settings.cluster
        identity = Identity(self.cluster.name, cluster_settings.peer_token)
        steward_sync = StewardSync(self.cluster, self._store, identity, self.metrics)
        self._peer_listener = listen(self._settings.peer_listen)
        server = LinkServer(self._peer_listener, identity.token, steward_sync.serve)
        self._stack.callback(server.close)
        self._spawn_task(steward_sync.watch_store)
        for peer, address in cluster_settings.steward_address_by_name.items():
            if peer != self.cluster.name:
                self._spawn_task(steward_sync.poll_peer, peer, address)

    def _start_planner(self) -> None:
        vm_list = HttpVmList(self._settings.cluster.vm_list_address)
        self._stack.callback(vm_list.close)
        report_readers = ReportReaders(HttpReportReader(), self._reports, lambda: None)
        self._stack.callback(report_readers.close)
        self._planner = Planner(
            self.cluster,
            self._store,
            self._documents,
            PlannerLease(self._store, self.cluster.name),
            vm_list,
            HttpOrderSender(),
            report_readers,
            self._reports,
        )
        self._spawn_task(self._planner.run)

    def _start_operator_api(self) -> None:
        publisher = Publisher(
            self._store,
            self.cluster,
            self._documents.configuration_text,
            self._documents.configuration,
        )
        api = OperatorApi(
            self._settings.cluster.operator_token,
            self.cluster,
            publisher,
            self.describe,
        )
        self._http_listener = listen(self._settings.http_listen)
        self._server = HttpServer(
            self._http_listener,
            api.handle,
            connection_limit=HTTP_CONNECTION_LIMIT,
            limits=lambda: HTTP_LIMITS,
        )
        self._stack.callback(self._server.close)

    def _spawn_task(self, task, *arguments) -> None:
        self._stack.callback(spawn_supervised(task, *arguments).kill)


def _group_status(view: View, group: ReplicaGroup) -> GroupStatus:
    ownership = view.ownership_of(group.name)
    return GroupStatus(
        deployment=group.deployment,
        zone=group.zone,
        epoch=group.epoch,
        members=tuple(member.vm for member in group.members),
        accepts_work=view.accepts_work(group),
        owner=ownership.owner,
        draining_from=ownership.previous,
    )

"""Tests of a node against stand-ins for the platform, all in one process."""

import standins.common  # noqa: F401  # isort: skip

import json
import operator
import socket
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import eventlet

import poplarspar.coordination.session
from poplarspar.coordination import announcements
from poplarspar.coordination.announcements import StoreReader
from poplarspar.coordination.session import MEMBER_PREFIX
from poplarspar.coordination.store_ports import Change
from poplarspar.exceptions import InvalidSettings, MalformedDocument, TransportError
from poplarspar.platform import build_node, read_node_settings
from poplarspar.platform.documents import parse_backend, parse_report
from poplarspar.platform.store import PlatformStore
from poplarspar.protocol.peers import decode, encode
from poplarspar.protocol.spares import parse_spares, spares_text
from poplarspar.state.backends import MemberPhase
from poplarspar.state.plan import (
    GroupTotal,
    ModelDemand,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
    Spare,
    StoreRevisions,
)
from poplarspar.state.rate_limits import RateLimit
from poplarspar.transport.http import send_request
from standins.platform import PlainWorker, Store, configuration, settings_text

WAIT_S = 10.0


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_until(condition, description):
    with eventlet.Timeout(WAIT_S, AssertionError(f"timed out waiting: {description}")):
        while not condition():
            eventlet.sleep(0.02)


class NodeTestCase(unittest.TestCase):
    # Follows the table of bounds.
    more_settings = ""

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.workers = [PlainWorker(f"i-{index}") for index in range(2)]
        for worker in self.workers:
            self.addCleanup(worker.close)
            self.store.put(f"servers/{worker.id}", worker.entry("ledger"))
        self.store.put("op/config", configuration(3))
        self.node = self.start_node()
        wait_until(self.node.is_ready, "node is ready")

    def start_node(self):
        ports = free_ports(4)
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(settings_text(self.store.address, ports) + self.more_settings)
            file.flush()
            settings = read_node_settings(file.name)
        metrics = f"127.0.0.1:{ports[3]}"
        node = build_node(replace(settings, metrics_listen=metrics))
        self.addCleanup(node.close)
        return node

    def send(self, path, key="key-1", node=None, method="POST", body=b"", **headers):
        address = (node or self.node).addresses["http"]
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {
            "Host": "a.example",
            "Attempt-Id": "a1",
            "Authorization": f"Token {key}",
            **names,
        }
        return send_request(
            address, method, path, body, read_timeout_s=WAIT_S, headers=all_headers
        )

    def ran(self):
        return [request for worker in self.workers for request in worker.requests]


class ServingTest(NodeTestCase):
    def test_request_is_forwarded_unchanged(self):
        answer = self.send(
            "/pay/7?a=b%20c", body=b"sum=5", X_Own="1", Deadline_Ms="900"
        )
        self.assertEqual(200, answer.status)
        self.assertIn("Response-Signature", answer.headers)
        (request,) = self.ran()
        self.assertEqual(("/pay/7?a=b%20c", b"sum=5"), (request.target, request.body))
        self.assertEqual("1", request.headers["X-Own"])
        self.assertEqual("pilots", request.headers["Tenant"])
        self.assertNotIn("Authorization", request.headers)
        self.assertLessEqual(int(request.headers["Deadline-Ms"]), 900)

    def test_workspace_header_of_a_caller_is_not_forwarded(self):
        self.send("/pay/7", Tenant="others")
        self.assertEqual("pilots", self.ran()[0].headers["Tenant"])

    def test_unknown_key_and_path_are_refused(self):
        self.assertEqual(401, self.send("/pay/7", key="key-9").status)
        self.assertEqual(404, self.send("/nowhere/").status)
        self.assertEqual([], self.ran())

    def test_invalid_input_is_refused(self):
        self.assertEqual(400, self.send("/pay/7", Deadline_Ms="soon").status)
        self.assertEqual(413, self.send("/pay/7", body=b"x" * 10_001).status)
        self.assertEqual(
            431,
            self.send(
                "/pay/7", X_Long="x" * 8000, X_More="y" * 8000, X_Most="z" * 8000
            ).status,
        )
        self.assertEqual([], self.ran())

    def test_refusal_by_all_backends_has_retry_after(self):
        for worker in self.workers:
            worker.answer_modes = ["shed"]
        answer = self.send("/pay/7")
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers["Retry-After"]), 0.0)

    def test_misdirected_request_is_retried_elsewhere(self):
        self.workers[0].answer_modes = ["misdirected"]
        self.workers[1].answer_modes = []
        for _ in range(4):
            self.assertEqual(200, self.send("/pay/7").status)

    def test_unsigned_answer_is_not_forwarded(self):
        for worker in self.workers:
            worker.answer_modes = ["unsigned"]
        answer = self.send("/pay/7")
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(self.ran()))

    def test_route_timeout_bounds_the_answer_time(self):
        for worker in self.workers:
            worker.answer_modes = ["slow"]
        with eventlet.Timeout(1.0, AssertionError("answer after the timeout")):
            self.assertEqual(504, self.send("/quick/7").status)

    def test_disconnected_caller_cancels_its_request(self):
        for worker in self.workers:
            worker.answer_modes = ["slow"]
        host, port = self.node.addresses["http"].split(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(
                b"GET /look/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a9\r\n"
                b"Authorization: Token key-1\r\n\r\n"
            )
            wait_until(self.ran, "backend server runs the request")
        wait_until(lambda: self.node.drain.running == 0, "node ended the request")
        self.assertEqual(1, len(self.ran()))

    def test_ready_endpoint_and_metrics(self):
        ready = send_request(
            self.node.addresses["ready"], "GET", "/poplarspar/readyz", read_timeout_s=5
        )
        self.assertEqual(200, ready.status)
        self.send("/pay/7")
        address = self.node._settings.metrics_listen
        text = send_request(address, "GET", "/metrics", read_timeout_s=5).body.decode()
        self.assertIn("poplarspar_configuration_version 3.0", text)
        self.assertIn("poplarspar_answers_2xx_total 1.0", text)


class StoreChangesTest(NodeTestCase):
    def test_new_configuration_revokes_and_adds_keys(self):
        tenants = [{"name": "pilots", "api_keys": ["key-2"], "priority": 1}]
        self.store.put("op/config", configuration(8, tenants=tenants))
        wait_until(
            lambda: self.send("/pay/7").status == 401, "node refuses the revoked key"
        )
        self.assertEqual(200, self.send("/pay/7", key="key-2").status)

    def test_evacuated_zone_receives_no_requests(self):
        self.store.put("op/evacuate/z-a", {})
        wait_until(
            lambda: self.send("/pay/7").status == 503,
            "node refuses requests to the evacuated zone",
        )
        self.store.remove("op/evacuate/z-a")
        wait_until(
            lambda: self.send("/pay/7").status == 200, "node uses the readmitted zone"
        )

    def test_malformed_entry_does_not_affect_others(self):
        self.store.put("servers/i-x", b"\xff\xfe not json")
        self.store.put("servers/i-y", {"service": 5, "address": "nowhere"})
        self.store.put("servers/i-0", self.workers[0].entry("ledger", state="resting"))
        fleet = self.node._fleet_updater.fleet
        wait_until(
            lambda: set(fleet.backends_by_id) == {"i-1"},
            "node lists only the valid entry",
        )
        self.assertEqual(200, self.send("/pay/7").status)

    def test_requests_are_served_during_a_store_outage(self):
        self.store.down = True
        wait_until(
            lambda: not self.node._store_health.healthy_s(), "node detects the outage"
        )
        self.assertEqual(200, self.send("/pay/7").status)
        self.store.put("op/config", configuration(9, tenants=[]))
        self.store.down = False
        wait_until(
            lambda: self.send("/pay/7").status == 401, "node applies the configuration"
        )

    def test_configuration_is_read_after_lost_history(self):
        self.store.put("op/config", configuration(9, tenants=[]))
        self.store.forget_history()
        wait_until(
            lambda: self.send("/pay/7").status == 401, "node applies the configuration"
        )

    def test_node_without_a_configuration_answers_503(self):
        self.store.remove("op/config")
        node = self.start_node()
        answer = self.send("/nowhere/", node=node)
        self.assertEqual((503, False), (answer.status, node.is_ready()))

    def test_next_node_plans_after_the_planner_closes(self):
        wait_until(lambda: self.node._session.is_planner, "first node is planner")
        second = self.start_node()
        wait_until(
            lambda: len(second._session.capacity_by_node) == 2, "second node lists both"
        )
        self.node.close()
        wait_until(lambda: second._session.is_planner, "second node is planner")

    def test_node_is_listed_after_its_first_write_was_refused(self):
        wait_until(lambda: self.node._session.is_planner, "first node is planner")
        self.store.refuse_writes = True
        second = self.start_node()
        wait_until(lambda: self.store.refused_writes, "store refused a write")
        self.store.refuse_writes = False
        wait_until(
            lambda: second.name in self.node._session.capacity_by_node,
            "planner lists the second node",
        )

    def test_superseded_planner_plans_again_in_its_next_term(self):
        wait_until(self.node._planning.may_plan, "node may plan")
        first = self.node._planning.fencing.last
        self.node._planning.fencing.mark_superseded()
        self.assertFalse(self.node._planning.may_plan())
        self.store.remove("poplarspar/planner")
        wait_until(self.node._planning.may_plan, "node may plan again")
        self.assertGreater(self.node._planning.fencing.last, first)

    def test_superseded_planner_without_successor_starts_a_new_term(self):
        wait_until(self.node._planning.may_plan, "node may plan")
        first = self.node._planning.fencing.last
        self.node._planning.fencing.mark_superseded()
        wait_until(self.node._planning.may_plan, "node may plan again")
        self.assertGreater(self.node._planning.fencing.last, first)

    def test_node_plans_when_answers_to_its_writes_are_lost(self):
        wait_until(lambda: self.node._session.is_planner, "first node is planner")
        self.node.close()
        self.store.lose_answers = True
        second = self.start_node()
        wait_until(lambda: second._session.is_planner, "second node is planner")


class EndOfShutdownTest(NodeTestCase):
    # Guards against connections that close without an answer at the end of the grace.
    def test_requests_that_outlast_the_shutdown_are_answered(self):
        self.node._settings = replace(self.node._settings, stop_timeout_s=4.0)
        fields = {"timeout_ms": 60_000}
        document = configuration(5)
        for route in document["routes"]:
            route.update(fields)
        self.store.put("op/config", document)
        fleet = self.node._fleet_updater.fleet
        wait_until(lambda: fleet.configuration.version == 5, "version 5")
        for worker in self.workers:
            worker.work_s = 20.0
        paths = ("/pay/1", "/look/1")
        early = [eventlet.spawn(self.send, path) for path in paths]
        wait_until(lambda: len(self.ran()) == 2, "both run")
        stopping = eventlet.spawn(self.node.shut_down)
        eventlet.sleep(1.0)
        late = [eventlet.spawn(self.send, path) for path in paths]
        stopping.wait()
        self.node.close()
        for answer in early + late:
            self.assertEqual(504, answer.wait().status)


class ShutdownTest(NodeTestCase):
    def test_running_request_finishes_during_shutdown(self):
        for worker in self.workers:
            worker.answer_modes = ["slow"]
        address = self.node.addresses["http"]
        task = eventlet.spawn(self.send, "/pay/7", Deadline_Ms="20000")
        wait_until(self.ran, "backend server runs the request")
        stopping = eventlet.spawn(self.node.shut_down)
        wait_until(
            lambda: not self.node.is_ready(), "node reports that it is not ready"
        )
        self.assertIn(task.wait().status, (200, 504))
        stopping.wait()
        with self.assertRaises(TransportError):
            send_request(address, "GET", "/", read_timeout_s=WAIT_S)

    def test_stopping_planner_is_replaced_at_once(self):
        wait_until(lambda: self.node._session.is_planner, "first node is planner")
        second = self.start_node()
        wait_until(
            lambda: len(second._session.capacity_by_node) == 2, "second node lists both"
        )
        stopping = eventlet.spawn(self.node.shut_down)
        with eventlet.Timeout(
            0.5, AssertionError("second node did not become planner in time")
        ):
            while not second._session.is_planner:
                eventlet.sleep(0.01)
        stopping.wait()
        self.assertTrue(second._session.is_planner)
        self.assertEqual({second.name}, set(second._session.capacity_by_node))

    # Guards against replica groups that nobody repairs during an outage of the store.
    def test_stopping_planner_plans_until_the_store_can_name_another(self):
        wait_until(lambda: self.node._planning.may_plan(), "first node plans")
        second = self.start_node()
        wait_until(
            lambda: len(second._session.capacity_by_node) == 2, "second node lists both"
        )
        self.store.down = True
        stopping = eventlet.spawn(self.node.shut_down)
        eventlet.sleep(4.0)
        self.assertFalse(stopping.dead)
        self.assertTrue(self.node._planning.may_plan())
        self.assertFalse(second._planning.may_plan())
        self.store.down = False
        wait_until(second._planning.may_plan, "second node plans")
        self.assertFalse(self.node._planning.may_plan())
        stopping.wait()

    def test_idle_connections_close_before_the_last_request_ends(self):
        host, port = self.node.addresses["http"].split(":")
        caller = socket.create_connection((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(
            b"GET /look/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a9\r\n"
            b"Authorization: Token key-1\r\n\r\n"
        )
        self.assertIn(b" 200 ", caller.recv(65536))
        for worker in self.workers:
            worker.answer_modes = ["slow"]
        running = eventlet.spawn(self.send, "/long/2")
        wait_until(
            lambda: len(self.ran()) == 2, "backend server runs the second request"
        )
        stopping = eventlet.spawn(self.node.shut_down)
        with eventlet.Timeout(4.0, AssertionError("idle connection is still open")):
            self.assertEqual(b"", caller.recv(65536))
        self.assertEqual(200, running.wait().status)
        stopping.wait()

    def test_answers_close_connections_during_drain(self):
        self.node.drain.begin()
        self.assertEqual("close", self.send("/pay/7").headers["Connection"])


class AnnouncementsTest(NodeTestCase):
    """In a large fleet only the planner reads all changes of the store."""

    def setUp(self):
        for name, value in (("MAX_NODES_READING", 1), ("MIN_HEALTHY_S", 0.3)):
            patch = mock.patch.object(announcements, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        super().setUp()
        wait_until(lambda: self.node._planning.may_plan(), "first node plans")
        # Without a service of models, the planner has nothing to publish by itself.
        self.node._planning._plan_exchange.publish((), ())
        self.follower = self.start_node()
        wait_until(
            lambda: self.readers() == {StoreReader.FOLLOWER}, "second node follows"
        )

    def readers(self):
        """Return who reads the parts of the store, from the follower's view."""
        reader = self.follower._announcements
        return {
            reader.reader_of_operator(),
            reader.reader_of_nodes(),
            reader.reader_of_quarantine(),
            reader.reader_of_backends(),
        }

    def test_follower_learns_of_a_draining_server_in_time(self):
        # The pause of ten seconds has just begun.
        eventlet.sleep(1.5)
        worker = self.workers[0]
        self.store.put(
            f"servers/{worker.id}", {**worker.entry("ledger"), "state": "draining"}
        )
        backends = self.follower._fleet_updater.fleet.backends_by_id
        with eventlet.Timeout(1.8, AssertionError("not known within the limit of 2 s")):
            while not backends[worker.id].draining:
                eventlet.sleep(0.02)

    # Guards against hundreds of nodes that claim the planner's key at the same moment.
    def test_planner_missing_from_the_list_is_replaced_in_turn(self):
        session = self.follower._session
        planner_entry, nodes = session._planner_entry, dict(session.capacity_by_node)
        items = tuple(
            Change(MEMBER_PREFIX + name, 1, str(capacity))
            for name, capacity in nodes.items()
        )
        with mock.patch.object(poplarspar.coordination.session, "log_event") as log:
            session.replace((*items, planner_entry))
            began_at = time.monotonic()
            session.replace(items)
        log.assert_not_called()
        self.assertEqual(nodes, session.capacity_by_node)
        self.assertIsNone(session._planner_entry.text)
        self.assertGreaterEqual(session._vacant_since, began_at)

    def test_metrics_tell_who_reads_the_store(self):
        for node, expected in ((self.node, 0), (self.follower, 1)):
            self.assertEqual(expected, node._gauges()["store_read_by_planner"])

    def test_follower_learns_of_a_new_configuration_and_of_nodes(self):
        eventlet.sleep(1.5)
        self.store.put("op/config", configuration(4))
        updater = self.follower._fleet_updater
        with eventlet.Timeout(1.8, AssertionError("not known within the limit of 2 s")):
            while updater.fleet.configuration.version != 4:
                eventlet.sleep(0.02)
        self.start_node()
        wait_until(
            lambda: len(self.follower._session.capacity_by_node) == 3,
            "follower knows the third node",
        )

    # Guards against hundreds of nodes that each watch all parts of the store.
    def test_followers_of_a_quiet_store_hardly_call_it(self):
        eventlet.sleep(2.0)
        store = self.follower._adapters.store
        with mock.patch.object(store, "_send", wraps=store._send) as send:
            eventlet.sleep(4.0)
        calls = [call.args[1].partition("?")[0] for call in send.call_args_list]
        others = [call for call in calls if not call.startswith("kv-keep")]
        self.assertLessEqual(len(others), 2, calls)

    def test_another_node_plans_soon_after_the_planner_stops(self):
        stopping = eventlet.spawn(self.node.shut_down)
        late = AssertionError("second node did not become planner in time")
        with eventlet.Timeout(1.5, late):
            while not self.follower._session.is_planner:
                eventlet.sleep(0.01)
        stopping.wait()

    def test_follower_asks_a_planner_without_a_plan_no_more_often(self):
        exchange = self.node._planning._plan_exchange
        with mock.patch.object(exchange, "_update_since") as update_since:
            update_since.return_value = PlanUpdate(
                revisions=exchange._store_revisions()
            )
            exchange.withdraw()
            eventlet.sleep(1.0)
        # One every 0.15 s from each of two nodes, and those that were waiting.
        self.assertLessEqual(update_since.call_count, 2 * 7 + 4)

    def test_follower_reads_itself_when_the_planner_can_not(self):
        self.node._store_health.record_failure("turned away")
        self.node._store_health.record_success = lambda: None
        wait_until(
            lambda: self.readers() == {StoreReader.EVERY_NODE},
            "second node reads the store itself",
        )

    # Guards against refused calls by hundreds of nodes while the store is away.
    def test_follower_tries_an_unavailable_store_rarely(self):
        calls_by_node = {}
        for node in (self.node, self.follower):
            store = node._adapters.store
            patch = mock.patch.object(store, "read_all", wraps=store.read_all)
            calls_by_node[node] = patch.start()
            self.addCleanup(patch.stop)
        self.store.down = True
        wait_until(
            lambda: self.readers() == {StoreReader.EVERY_NODE}, "planner can't read"
        )
        eventlet.sleep(2.0)
        counts_before = [calls.call_count for calls in calls_by_node.values()]
        eventlet.sleep(4.0)
        counts = [calls.call_count for calls in calls_by_node.values()]
        of_planner, of_follower = map(operator.sub, counts, counts_before)
        # One in 0.2 to 0.4 s, against one in 0.8 to 1.6 s and one of each other watch.
        self.assertGreaterEqual(of_planner, 9)
        self.assertLessEqual(of_follower, 5 + 3)
        self.store.down = False

        def one_follows_the_other():
            # The key may have expired, and the plan ends with the term. A planner of
            # models publishes several times a second, also in its next term.
            for node in calls_by_node:
                node._planning._plan_exchange.publish((), ())
            readers = {
                node._announcements.reader_of_operator() for node in calls_by_node
            }
            return readers == {StoreReader.PLANNER, StoreReader.FOLLOWER}

        wait_until(one_follows_the_other, "a planner reads again for the other node")


class SparesTest(unittest.TestCase):
    def test_spares_round_trip_and_malformed_document(self):
        spares = (Spare("i-1", 17, "m0"), Spare("i-2", 18, "", "m1"))
        self.assertEqual(spares, parse_spares(spares_text(spares)))
        self.assertEqual((), parse_spares("not a document"))


class PlanTest(unittest.TestCase):
    # Guards against nodes that never learn which revisions the planner has read.
    def test_plan_round_trip_keeps_every_field(self):
        update = PlanUpdate(
            serial=3,
            base_serial=2,
            node_count=9,
            groups=(PlannedGroup("i-1", "g", 4, "m0", slowdown=1.5),),
            removed_groups=(("i-3", 2),),
            spares=(Spare("i-2", 18, "m1", "m0"),),
            removed_spares=(("i-4", 19),),
            totals=(GroupTotal(5, 600, True),),
            revisions=StoreRevisions(71, 72, 73, 74, 75),
            demands=(ModelDemand("llm", "m0", 1.5),),
        )
        self.assertEqual(update, decode(encode(update)))

    def test_limits_round_trip_with_their_ages(self):
        now = time.monotonic()
        for limit in (2.4, None):
            sent = RateLimit("i-1", 17, limit, now - 3.0)
            for message in (
                NodeLoad(1, rate_limits=(sent,)),
                PlanUpdate(rate_limits=(sent,)),
            ):
                (received,) = decode(encode(message)).rate_limits
                self.assertEqual(sent.incarnation, received.incarnation)
                self.assertEqual(limit, received.requests_per_s)
                self.assertAlmostEqual(now - 3.0, received.observed_at, places=1)


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.served = Store()
        self.addCleanup(self.served.close)
        self.store = PlatformStore(self.served.address)
        self.addCleanup(self.store.close)

    def test_read_all_returns_every_page(self):
        for index in range(120):
            self.served.put(f"servers/{index:03}", {"n": index})
        changes = self.store.read_all("servers/")
        self.assertEqual(120, len({change.key for change in changes.items}))

    def test_write_and_delete_at_a_revision(self):
        first = self.store.compare_and_swap("poplarspar/x", 0, "a")
        self.assertEqual("a", self.store.read("poplarspar/x").text)
        self.store.delete("poplarspar/x", first)
        self.assertEqual(0, self.store.read("poplarspar/x").revision)


class DocumentTest(unittest.TestCase):
    entry = {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 13,
        "state": "ready",
        "cold_ms": 1500,
        "born": 17,
        "seq": 4,
        "models": [{"name": "m0"}],
        "staged": ["m1"],
        "domain": "d0",
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    }

    def test_backend_entry(self):
        backend = parse_backend("i-1", json.dumps(self.entry))
        self.assertEqual((1.5, 17), (backend.cold_s, backend.started_ms))
        self.assertEqual(("g", 3), backend.open_group.key)

    def test_malformed_entries_are_rejected(self):
        for field, value in [
            ("born", "17"),
            ("address", 5),
            ("state", "odd"),
            ("slots", None),
            ("service", ""),
            ("group", {"name": "g"}),
        ]:
            with self.subTest(field=field), self.assertRaises(MalformedDocument):
                parse_backend("i-1", json.dumps({**self.entry, field: value}))

    def test_backend_report(self):
        report = parse_report("i-1", json.dumps({**self.entry, "pace": 2.5}))
        self.assertEqual(2.5, report.slowdown)
        self.assertIs(MemberPhase.OPEN, report.engine_state.membership.phase)


class SettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return read_node_settings(file.name)

    def test_missing_field_is_named(self):
        text = settings_text("10.0.0.1:80", [1, 2, 3, 4])
        text = text.replace('address = "10.0.0.1:80"', "")
        with self.assertRaisesRegex(InvalidSettings, "platform.address"):
            self.read(text)

    def test_unreadable_file_is_rejected(self):
        with self.assertRaises(InvalidSettings):
            self.read("node_name = ")
        with self.assertRaises(InvalidSettings):
            read_node_settings(str(Path("/nowhere/settings.toml")))


if __name__ == "__main__":
    unittest.main()

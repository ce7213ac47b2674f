"""Answers of backend servers that belong to other requests, or continue no stream.

Each case plays a faulty backend server on its own socket behind a real node.
"""

import standins.common  # noqa: F401  # isort: skip

import json
import unittest

import eventlet

from poplarspar.coordination.pools import HealthMonitor
from poplarspar.exceptions import StoreUnavailable
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.store import PlatformStore
from poplarspar.state.backends import BackendServer
from poplarspar.transport.platform import HttpStore
from tests.test_platform import NodeTestCase

HEAD_END = b"\r\n\r\n"


class RawServer:
    """Answers each connection with the next of some byte strings, then closes it."""

    def __init__(self, answers):
        self._answers = list(answers)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.heads = []
        self._task = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock):
        data = b""
        while HEAD_END not in data:
            part = sock.recv(65536)
            if not part:
                return
            data += part
        self.heads.append(data.partition(HEAD_END)[0].decode())
        sock.sendall(self._answers.pop(0) if self._answers else b"")
        sock.close()

    def close(self):
        self._task.kill()
        self._listener.close()


def refusal(attempt_id, status="503 Service Unavailable", extra="Not-Executed: 1\r\n"):
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\n{extra}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class RawServerTestCase(NodeTestCase):
    """A real node whose backend servers all have the address of one `RawServer`."""

    def use_server(self, answers):
        server = RawServer(answers)
        self.addCleanup(server.close)
        for worker in self.workers:
            entry = {**worker.entry("ledger"), "address": server.address}
            self.store.put(f"servers/{worker.id}", entry)
        updater = self.node._fleet_updater
        with eventlet.Timeout(20.0, AssertionError("addresses not updated")):
            while any(
                backend.address != server.address
                for backend in updater.fleet.backends_by_id.values()
            ):
                eventlet.sleep(0.05)
        return server


class RepeatedRefusalTest(RawServerTestCase):
    """A backend server runs a request, but writes an earlier refusal once more."""

    def test_refusal_of_another_request_promises_nothing(self):
        cases = {
            "full": refusal("earlier"),
            "misdirected": refusal("earlier", "421 Misdirected Request", ""),
            "too many": refusal("earlier", "429 Too Many Requests"),
            "success that says not run": refusal("a1", "200 OK"),
        }
        server = self.use_server([])
        for name, answer in cases.items():
            with self.subTest(name):
                server._answers = [answer] * 4
                server.heads.clear()
                status = self.send("/pay/7").status
                # The request may have run: it isn't sent again, and no status that
                # promises the contrary goes to the caller.
                self.assertIn(status, (502, 504))
                self.assertEqual(1, len(server.heads))

    def test_own_refusal_is_still_a_promise(self):
        server = self.use_server([])
        server._answers = [refusal("a1")] * 4
        self.assertEqual(503, self.send("/pay/7").status)


class KeptConnectionServer:
    """Answers the requests on each connection with the next of some byte strings.

    Instead of a string, a pair of strings is written in two parts, both before the next
    request arrives. `connections` counts the connections.
    """

    def __init__(self, answers):
        self._answers = list(answers)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self._task = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        while self._answers:
            data = b""
            while HEAD_END not in data:
                part = sock.recv(65536)
                if not part:
                    return
                data += part
            answer = self._answers.pop(0)
            parts = answer if isinstance(answer, tuple) else (answer,)
            for part in parts:
                sock.sendall(part)
                eventlet.sleep(0.02)

    def close(self):
        self._task.kill()
        self._listener.close()


def json_answer(document):
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def report_document(seq, born=5, running=0):
    return {"seq": seq, "born": born, "models": [], "running": running}


class SecondCopyTest(unittest.TestCase):
    """An earlier answer is written once more on a connection that is in use again."""

    def serve(self, *answers):
        server = KeptConnectionServer(answers)
        self.addCleanup(server.close)
        return server

    def monitor(self, *documents):
        server = self.serve(*(json_answer(document) for document in documents))
        monitor = HealthMonitor(PlatformReportReader(), lambda: None)
        self.addCleanup(monitor.close)
        backend = BackendServer(
            "i-1", 5, "llm", server.address, "a", False, 4, 0.0, None
        )
        monitor.set_backends({"i-1": backend})
        return server, monitor.by_id["i-1"]

    def wait_for_running(self, observation, number):
        with eventlet.Timeout(8.0, AssertionError("no such report")):
            while observation.report is None or observation.report.running != number:
                eventlet.sleep(0.01)

    # Guards against a planner that takes an old report for the effect of its orders.
    def test_copy_of_a_report_from_before_an_order_is_no_report(self):
        server, observation = self.monitor(
            report_document(3, running=1),
            report_document(4, running=2),
            report_document(3, running=1),
            report_document(4, running=3),
        )
        seen = []
        self.wait_for_running(observation, 2)
        with eventlet.Timeout(8.0, AssertionError("no report after the copy")):
            while observation.report.running != 3:
                seen.append(observation.report.running)
                eventlet.sleep(0.01)
        self.assertEqual({2}, set(seen))
        # What follows on the connection belongs to no later probe.
        self.assertEqual(2, server.connections)

    def test_copy_of_a_report_from_before_a_restart_is_no_report(self):
        _, observation = self.monitor(
            report_document(3, born=5, running=1),
            report_document(0, born=6, running=2),
            report_document(3, born=5, running=1),
            report_document(0, born=6, running=3),
        )
        self.wait_for_running(observation, 2)
        self.wait_for_running(observation, 3)
        self.assertEqual(6, observation.report.started_ms)

    def test_copy_that_arrives_before_the_next_probe_answers_none(self):
        first, second = (json_answer(report_document(3, running=n)) for n in (1, 2))
        for copied in (first + first, (first, first), (first, first[:30])):
            with self.subTest(parts=len(copied)):
                server = self.serve(copied, second)
                reader = PlatformReportReader()
                backend = BackendServer(
                    "i-1", 5, "llm", server.address, "a", False, 4, 0.0, None
                )
                self.assertEqual(1, reader.read(backend, 1.0).running)
                eventlet.sleep(0.06)
                self.assertEqual(2, reader.read(backend, 1.0).running)

    # Guards against a write that a node believes to be done.
    def test_copy_of_an_earlier_commit_is_no_commit(self):
        server = self.serve(*[json_answer({"revision": 7})] * 2)
        store = PlatformStore(server.address)
        self.addCleanup(store.close)
        self.assertEqual(7, store.compare_and_swap("a", 0, "x"))
        with self.assertRaises(StoreUnavailable):
            store.compare_and_swap("b", 0, "y")

    def test_copy_of_an_earlier_read_is_no_read(self):
        old = json_answer({"items": [], "as_of": 6})
        server = self.serve(old, json_answer({"revision": 7}), old)
        store = PlatformStore(server.address)
        self.addCleanup(store.close)
        store.read_all("op/")
        store.compare_and_swap("a", 0, "x")
        with self.assertRaises(StoreUnavailable):
            store.read_all("op/")

    def test_value_of_another_key_is_no_value(self):
        item = {"key": "a", "revision": 3, "value": "eA==", "text": "x"}
        for client in (PlatformStore, HttpStore):
            with self.subTest(client=client.__name__):
                server = self.serve(*[json_answer(item)] * 2)
                store = client(server.address)
                self.addCleanup(store.close)
                self.assertEqual("x", store.read("a").text)
                with self.assertRaises(StoreUnavailable):
                    store.read("b")

    def test_copy_of_an_earlier_swap_is_no_swap(self):
        server = self.serve(*[json_answer({"revision": 7})] * 2)
        store = HttpStore(server.address)
        self.addCleanup(store.close)
        self.assertEqual(7, store.compare_and_swap("a", 3, "x"))
        with self.assertRaises(StoreUnavailable):
            store.compare_and_swap("b", 3, "y")


if __name__ == "__main__":
    unittest.main()

"""Malformed input from callers, backend servers, the store and other nodes.

The seeded cases change sound documents, heads and frames. Each decoder must return a
value that the node can use, or raise the error that its caller expects.
`MALFORMED_CASES` sets the number of cases of each decoder.
"""

import standins.common  # noqa: F401  # isort: skip

import copy
import json
import os
import random
import time
import unittest
from dataclasses import replace

import eventlet

from poplarspar.coordination.forwarding import NoLimit, UnreadableLimit
from poplarspar.coordination.pools import HealthMonitor
from poplarspar.coordination.store_ports import (
    Change,
)
from poplarspar.events import Event
from poplarspar.exceptions import (
    BackendFailed,
    CoordinationError,
    InvalidRequest,
    MalformedDocument,
    ProtocolError,
)
from poplarspar.platform.backends import PlatformReportReader
from poplarspar.platform.callers import parse_request
from poplarspar.platform.documents import (
    parse_backend,
    parse_configuration,
    parse_report,
)
from poplarspar.platform.headers import parse_load, parse_rate_limit
from poplarspar.platform.keys import PlatformDocuments
from poplarspar.platform.store import PlatformStore
from poplarspar.protocol.peers import decode, encode
from poplarspar.protocol.quarantine import QuarantineJson
from poplarspar.protocol.server_sent_events import split_events
from poplarspar.protocol.spares import parse_spares
from poplarspar.state.plan import (
    GroupLoad,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
    Spare,
)
from poplarspar.transport.server import Request
from standins.platform import configuration
from tests.test_endless_answers import AttemptTestCase
from tests.test_foreign_answers import RawServer
from tests.test_platform import NodeTestCase, wait_until

CASES = int(os.environ.get("MALFORMED_CASES", "1500"))
TIMEOUT_S = 0.4

BACKEND = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": "z-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_ms": 0,
    "seq": 3,
    "born": 1_700_000_000_000,
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "staged": ["m0"],
    "domain": "d0",
    "group": {"name": "g1", "epoch": 5, "rank": 0, "state": "open"},
}
REPORT = {
    **{k: BACKEND[k] for k in ("seq", "born", "models", "staged", "domain", "group")},
    "stage": "combined",
    "busy": False,
    "waiting": 1,
    "running": 2,
    "pace": 1.0,
}
EVIDENCE = {
    "unanswered": [
        {"id": "n#1", "backends": ["i-1/1"], "parts": ["a0"], "age_ms": 5, "pool": "p"}
    ],
    "begun_age_ms_by_part": {"a0": 3},
}
ENTRIES = {"entries": [{"parts": ["a0", "b0"], "hold_ms": 30_000}]}
SPARES = [["i-1", 5, "m0", "m1"]]
HEADERS = {
    "Host": "a.example",
    "Attempt-Id": "a1",
    "Deadline-Ms": "900",
    "Last-Event-Id": "3",
    "Token-Count": "1460,80",
    "Length-Hint": "40",
    "Prompt-Prefix": "5c1e:800,91bd:410",
    "Authorization": "Token key-1",
}
ODD_VALUES = [
    None,
    True,
    "",
    "x",
    "\u00b2",
    "9" * 5000,
    "a" * 300_000,
    -1,
    0,
    1.5,
    2**31,
    2**63,
    2**64,
    10**40,
    10**400,
    1e308,
    float("nan"),
    float("inf"),
    [],
    {},
    [[[[]]]],
    {"a": {"b": []}},
]
ODD_TEXTS = [
    "",
    "\u00b2",
    "\u00b3,\u00b9,\u00b2",
    "-1",
    "1,2",
    "1,2,3,4",
    "9" * 5000,
    "9" * 400 + "," + "9" * 400,
    "99999999999,99999999999",
    "1e9",
    "nan",
    "\x00",
    "5c1e:" + "9" * 5000,
    ",,,",
    "a:b:c",
]


class Mutator:
    """Changes sound values at random places."""

    def __init__(self, seed):
        self.random = random.Random(seed)

    def document(self, document):
        """Return a JSON text with odd, missing or extra fields, or damaged bytes."""
        changed = copy.deepcopy(document)
        for _ in range(self.random.randint(1, 3)):
            self._change(changed)
        text = json.dumps(changed)
        if self.random.random() < 0.2:
            text = self.bytes(text.encode()).decode(errors="replace")
        return text

    def _change(self, value):
        while True:
            keys = list(value) if isinstance(value, dict) else list(range(len(value)))
            if not keys:
                return
            key = self.random.choice(keys)
            if isinstance(value[key], (dict, list)) and self.random.random() < 0.7:
                value = value[key]
                continue
            if self.random.random() < 0.2:
                del value[key]
            else:
                value[key] = self.random.choice(ODD_VALUES)
            return

    def bytes(self, data):
        """Return bytes with some changed, left out, repeated or cut off."""
        changed = bytearray(data)
        for _ in range(self.random.randint(1, 4)):
            at = self.random.randrange(len(changed) + 1)
            match self.random.randrange(4):
                case 0:
                    changed[at : at + 1] = bytes([self.random.randrange(256)])
                case 1:
                    del changed[at : at + self.random.randint(1, 20)]
                case 2:
                    changed[at:at] = changed[at : at + self.random.randint(1, 20)]
                case 3:
                    del changed[at:]
        return bytes(changed)

    def headers(self, headers):
        """Return headers of which some have odd values."""
        changed = dict(headers)
        for name in self.random.sample(sorted(changed), self.random.randint(1, 3)):
            changed[name] = self.random.choice(ODD_TEXTS)
        return changed


class DecoderTest(unittest.TestCase):
    def check(self, name, case, use, errors):
        """Run seeded cases; each may only raise one of `errors`."""
        for seed in range(CASES):
            value = case(Mutator(f"{name} {seed}"))
            try:
                use(value)
            except errors:
                continue
            except Exception as error:
                raise AssertionError(f"{name}, seed {seed}: {value!r:.300}") from error

    def check_document(self, name, document, parse, use=lambda value: None):
        self.check(
            name,
            lambda mutator: mutator.document(document),
            lambda text: use(parse(text)),
            MalformedDocument,
        )

    # Guards against one backend server whose numbers fit into no plan, so that all
    # nodes are left without one.
    def test_entries_and_reports_of_backend_servers(self):
        def use_state(id, started_ms, engine_state, slowdown=1.0):
            spare = Spare(id, started_ms, engine_state.model, "")
            groups, loads = (), ()
            if engine_state.membership is not None:
                name, epoch = engine_state.membership.key
                groups = (PlannedGroup(id, name, epoch, engine_state.model, slowdown),)
                loads = (GroupLoad(id, epoch, 1, 1, 1),)
            decode(encode(PlanUpdate(serial=1, groups=groups, spares=(spare,))))
            decode(encode(NodeLoad(1, loads)))
            self.assertGreater(slowdown, 0.0)
            self.assertLess(slowdown, float("inf"))

        def use_entry(entry):
            host, port = entry.address.split(":")
            self.assertEqual(4, len(host.split(".")))
            self.assertIn(int(port), range(1, 65536))
            if entry.engine_state is not None:
                use_state(entry.id, entry.started_ms, entry.engine_state)

        def use_report(report):
            use_state(
                report.id, report.started_ms, report.engine_state, report.slowdown
            )

        addresses = ("10.0.0.1:99999", "1.2.3.4.5:80", "1.2.3:80", "999.1.1.1:80")
        for address in addresses:
            with self.assertRaises(MalformedDocument, msg=address):
                parse_backend("i-1", json.dumps({**BACKEND, "address": address}))
        self.check_document(
            "entry", BACKEND, lambda text: parse_backend("i-1", text), use_entry
        )
        self.check_document(
            "report", REPORT, lambda text: parse_report("i-1", text), use_report
        )

    def test_values_of_the_operator_and_of_other_nodes(self):
        documents = QuarantineJson()
        self.check_document("configuration", configuration(3), parse_configuration)
        self.check_document("evidence", EVIDENCE, documents.parse_evidence)
        self.check_document("quarantine", ENTRIES, documents.parse_entries)
        self.check_document("spares", SPARES, parse_spares)
        change = Change("op/config", 3, None)
        self.assertIsNone(PlatformDocuments().decode_operator_change(change))

    # Guards against a caller whose numbers leave its node without a plan.
    def test_headers_of_callers(self):
        def use(headers):
            items = tuple(headers.items())
            request = Request(
                "GET", "/a/1", b"", headers, "", "/a/1", items, None, time.monotonic()
            )
            parsed = parse_request(request)
            load = GroupLoad("i-1", 1, 1, 40 * parsed.prompt_tokens, 1)
            decode(encode(NodeLoad(1, (load,))))
            float(parsed.max_answer_tokens + (parsed.expected_tokens or 0))
            float(parsed.last_event or 0)

        self.check("caller", lambda m: m.headers(HEADERS), use, InvalidRequest)

    def test_headers_of_backend_servers(self):
        def use(text):
            load, limit = parse_load(text), parse_rate_limit(text)
            if load is not None:
                float(load.running + load.waiting + load.slots)
            if limit not in (NoLimit(), UnreadableLimit()):
                self.assertLess(limit.requests_per_s, 1e10)

        def case(mutator):
            data = mutator.random.choice([*ODD_TEXTS, "3,0,8"]).encode("latin-1")
            return mutator.bytes(data).decode("latin-1")

        self.check("load", case, use, ())

    def test_frames_of_other_nodes(self):
        group = PlannedGroup("i-1", "g1", 5, "m0", 1.0)
        frames = [
            encode(NodeLoad(3, (GroupLoad("i-1", 5, 2, 900, 0),))),
            encode(PlanUpdate(serial=4, groups=(group,))),
        ]
        self.check(
            "frame",
            lambda mutator: mutator.bytes(mutator.random.choice(frames)),
            decode,
            ProtocolError,
        )

    def test_events_of_streams(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n: comment\n\n"
        with self.assertRaises(ProtocolError):
            list(split_events([b"id: " + b"9" * 5000 + b"\n\n"]))
        self.check(
            "events",
            lambda mutator: [mutator.bytes(stream)],
            lambda chunks: [float(e.number or 0) for e in split_events(chunks)],
            ProtocolError,
        )


HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
    b"Server-Load: 1,0,4\r\nServer-Limit: 3\r\n"
)
ANSWERS = [
    HEAD + b"Content-Length: 2\r\n\r\nok",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    HEAD + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
    HEAD + b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    HEAD.replace(b"1,0,4", b"\xb2,0,4") + b"Content-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n"
    b'{"items":[{"key":"a","revision":3}],"as_of":3}',
]


class AnswerTest(AttemptTestCase):
    """Damaged answers to requests, probes and calls of the store."""

    def serve(self, count):
        mutator = Mutator("answers")
        answers = [mutator.bytes(mutator.random.choice(ANSWERS)) for _ in range(count)]
        server = RawServer([*ANSWERS, *answers])
        self.addCleanup(server.close)
        return server

    def check_answers(self, receive, errors):
        count = max(60, CASES // 10)
        server = self.serve(count)
        for number in range(count + len(ANSWERS)):
            try:
                receive(server.address)
            except errors:
                continue
            except Exception as error:
                raise AssertionError(f"answer {number}") from error

    def test_damaged_answers_fail_the_attempt(self):
        self.check_answers(self.read_body, BackendFailed)
        self.check_answers(self.read_events, BackendFailed)

    # Numbers beyond the bound of counts, as of versions that are times.
    def test_versions_of_weights_are_told_apart(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nWeight-Versions: "
        values = (b"1733477326", b"1733477327", b"x")
        server = RawServer([head + value + b"\r\n\r\n" for value in values])
        self.addCleanup(server.close)
        versions = [self.send(server.address).weights_version for _ in values]
        self.assertEqual([1733477326, 1733477327, None], versions)

    def test_damaged_reports_fail_the_probe(self):
        backend = parse_backend("i-1", json.dumps(BACKEND))

        def read(address):
            PlatformReportReader().read(replace(backend, address=address), TIMEOUT_S)

        self.check_answers(read, BackendFailed)

    def test_damaged_answers_of_the_store_count_as_an_outage(self):
        def call(address):
            store = PlatformStore(address)
            self.addCleanup(store.close)
            store.read_all("op/")

        self.check_answers(call, CoordinationError)


class NodeTest(NodeTestCase):
    """A node goes on after malformed input, and answers its callers."""

    # Guards against nodes that end, or stop following the list, at an entry of another
    # writer.
    def test_odd_entries_do_not_stop_a_node_from_following_the_list(self):
        entry = json.dumps(self.workers[0].entry("ledger"))[:-1]
        nested = "[" * 100_000 + "]" * 100_000
        odd_entries = [
            nested,
            f'{entry}, "models": {nested}}}',
            f'{entry}, "other": {"{" * 9}"a":{nested}{"}" * 9}}}',
            *(
                f'{entry}, "{name}": {number}}}'
                for name in ("born", "slots", "cold_ms", "seq", "other")
                for number in ("9" * 5000, "-1", "1e999", "NaN", "9" * 25)
            ),
            *(
                f'{entry}, "address": "127.0.0.1:{port}"}}'
                for port in (0, 65536, 99999, "9" * 50, -1, "\\u00b2")
            ),
            f'{entry}, "address": "\\ud800", "zone": "\\ud800"}}',
            "\x00\xff",
        ]
        for number, odd in enumerate(odd_entries):
            self.store.put(f"servers/odd{number}", odd.encode("latin-1"))
        self.store.put("servers/i-next", self.workers[0].entry("ledger"))
        second = self.start_node()
        wait_until(second.is_ready, "a node starts with the odd entries")
        for node in (self.node, second):
            wait_until(
                lambda node=node: "i-next" in node._fleet_updater.fleet.backends_by_id,
                "the next entry is listed",
            )
        for number in range(len(odd_entries)):
            self.store.remove(f"servers/odd{number}")
        self.store.remove("servers/i-next")
        for node in (self.node, second):
            wait_until(
                lambda node=node: self.send("/look/1", node=node).status == 200,
                "requests are served",
            )

    def test_odd_numbers_of_callers_are_refused(self):
        for name in ("Deadline_Ms", "Token_Count", "Last_Event_Id"):
            for text in ("\u00b2", "9" * 5000, "9" * 40):
                value = f"{text},{text}" if name == "Token_Count" else text
                with self.subTest(name=name, text=text[:50]):
                    self.assertEqual(400, self.send("/look/1", **{name: value}).status)
        self.assertEqual(200, self.send("/look/1").status)

    # Guards against a worker whose load can't be decoded: its answer counts.
    def test_answer_with_an_odd_load_is_delivered(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
        answer = head + b"Server-Load: \xb2,0,4\r\nContent-Length: 2\r\n\r\nok"
        server = RawServer([answer] * 2)
        self.addCleanup(server.close)
        for worker in self.workers:
            entry = {**worker.entry("ledger"), "address": server.address}
            self.store.put(f"servers/{worker.id}", entry)
        fleet = self.node._fleet_updater.fleet
        wait_until(
            lambda: (
                {b.address for b in fleet.backends_by_id.values()} == {server.address}
            ),
            "node knows the address",
        )
        self.assertEqual((200, b"ok"), self._status_and_body())

    def _status_and_body(self):
        answer = self.send("/pay/1")
        return answer.status, answer.body

    def test_unexpected_error_of_the_handler_is_answered_and_logged(self):
        self.node._server._handler = None
        with self.assertLogs("poplarspar", "INFO") as logs:
            answer = self.send("/look/1")
        self.assertEqual(500, answer.status)
        self.assertEqual("unknown", answer.json()["error"]["ran"])
        events = [record.event for record in logs.records]
        self.assertIn(Event.REQUEST_FAILED.number, events)


class ProbeTest(unittest.TestCase):
    # Guards against a backend server that is never probed again.
    def test_probes_go_on_after_an_unexpected_error(self):
        backend = parse_backend("i-1", json.dumps(BACKEND))
        report = parse_report("i-1", json.dumps(REPORT))
        outcomes = [RuntimeError("unexpected"), report, report]

        class Reports:
            calls = 0

            def read(self, backend, timeout_s):
                self.calls += 1
                outcome = outcomes[min(self.calls, len(outcomes)) - 1]
                if isinstance(outcome, Exception):
                    raise outcome
                return outcome

            def disconnect(self, backend):
                pass

        reports = Reports()
        monitor = HealthMonitor(reports, lambda: None)
        self.addCleanup(monitor.close)
        monitor.set_backends({"i-1": backend})
        with eventlet.Timeout(5.0, AssertionError("no report after the error")):
            while monitor.by_id["i-1"].report is None:
                eventlet.sleep(0.02)


if __name__ == "__main__":
    unittest.main()

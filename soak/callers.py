"""Callers of a soak: each sends one request after the other on kept connections."""

import itertools
import random
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

import eventlet

from soak.environment import (
    CALL_TIMEOUT_MS,
    HOST,
    KEYS,
    STREAM_TIMEOUT_MS,
    Surroundings,
)
from soak.nodes import Node

# Events of each stream; a place is held for a second or so.
EVENTS = 30
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.05
KINDS = ("pay", "look", "draft", "explain")
MODEL_BY_KIND = {"draft": "m0", "explain": "m1"}
NOT_RUN = (408, 421, 429, 503)


@dataclass
class Sent:
    """One request and what came of it.

    Attributes
    ----------
    status : int
        0 if the connection ended, or nothing came in time.
    whole : bool
        Whether the answer came to its proper end.
    kept : bool
        Whether it was sent on a connection that had served another request.
    """

    attempt: str
    kind: str
    node: Node
    workspace: str
    target: str
    body: bytes
    sent_at: float
    timeout_s: float
    kept: bool = False
    status: int = 0
    whole: bool = False
    ended_at: float = 0.0
    closes: bool = False
    events: list[bytes] = field(default_factory=list)
    content: bytes = b""


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    count : int
        Callers of each kind of request.
    """

    def __init__(
        self,
        nodes: list[Node],
        surroundings: Surroundings,
        chance: random.Random,
        count: int,
    ) -> None:
        self._nodes = nodes
        self._surroundings = surroundings
        self._chance = chance
        self._serials = itertools.count(1)
        self._stopped = False
        self.sent: list[Sent] = []
        self._tasks = [
            eventlet.spawn(self._call_forever, kind)
            for kind in KINDS
            for _ in range(count)
        ]

    def stop(self) -> None:
        """Let each caller end its present request."""
        self._stopped = True
        for task in self._tasks:
            task.wait()

    def _call_forever(self, kind: str) -> None:
        while not self._stopped:
            node = self._pick()
            if node is None:
                eventlet.sleep(PAUSE_S)
                continue
            self._use_connection(kind, node)

    def _pick(self) -> Node | None:
        """Return a node as the balancer would, None while all are away."""
        found = [node for node in self._nodes if node.in_rotation]
        return self._chance.choice(found) if found else None

    def _use_connection(self, kind: str, node: Node) -> None:
        """Send requests on one connection until it ends."""
        host, port = node.address.split(":")
        connection = HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            eventlet.sleep(PAUSE_S)
            return
        kept = False
        try:
            while not self._stopped:
                sent = self._send(kind, node, connection, kept)
                if sent.closes or not sent.whole:
                    return
                kept = True
                eventlet.sleep(PAUSE_S if sent.status < 400 else 4 * PAUSE_S)
        finally:
            connection.close()

    def _send(
        self, kind: str, node: Node, connection: HTTPConnection, kept: bool
    ) -> Sent:
        workspace = self._chance.choice(list(KEYS))
        number = next(self._serials)
        streamed = kind in MODEL_BY_KIND
        timeout_ms = STREAM_TIMEOUT_MS if streamed else CALL_TIMEOUT_MS
        sent = Sent(
            attempt=f"{kind}-{number}",
            kind=kind,
            node=node,
            workspace=workspace,
            target=f"/{kind}/{number}?n={number}",
            body=b"" if kind == "look" else b"sum=%d" % number,
            sent_at=time.monotonic(),
            timeout_s=timeout_ms / 1000,
            kept=kept,
        )
        self.sent.append(sent)
        with eventlet.Timeout(sent.timeout_s + CONNECT_TIMEOUT_S, False):
            try:
                self._exchange(sent, connection)
            except (OSError, HTTPException, ValueError):
                # An answer that breaks off counts as what it is: not whole.
                pass
        sent.ended_at = time.monotonic()
        return sent

    def _exchange(self, sent: Sent, connection: HTTPConnection) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": sent.attempt,
            "Authorization": f"Token {KEYS[sent.workspace]}",
            "Tenant": "forged",
            "Deadline-Ms": str(int(sent.timeout_s * 1000)),
        }
        if sent.kind in MODEL_BY_KIND:
            headers["Model"] = MODEL_BY_KIND[sent.kind]
            headers["Token-Count"] = f"100,{EVENTS}"
        connection.sock.settimeout(sent.timeout_s + CONNECT_TIMEOUT_S)
        method = "GET" if sent.kind == "look" else "POST"
        connection.request(method, sent.target, sent.body or None, headers)
        answer = connection.getresponse()
        sent.closes = answer.getheader("Connection", "").lower() == "close"
        if answer.status == 200 and sent.kind in MODEL_BY_KIND:
            sent.status = answer.status
            self._read_events(sent, answer)
        else:
            sent.content = answer.read()
            sent.status = answer.status
        sent.whole = True

    @staticmethod
    def _read_events(sent: Sent, answer: HTTPResponse) -> None:
        buffer = b""
        while piece := answer.read1(65_536):
            *events, buffer = (buffer + piece).split(b"\n\n")
            sent.events += [event + b"\n\n" for event in events]
        if buffer:
            raise ValueError("the stream ended inside of an event")

"""Callers of a soak: each sends its requests in sequence on persistent connections."""

import itertools
import random
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

import eventlet

from poplarspar.platform.headers import PROMPT_PARTS
from soak.environment import (
    CALL_TIMEOUT_MS,
    HOST,
    KEYS,
    STREAM_TIMEOUT_MS,
    Environment,
)
from soak.nodes import Node

# A stream of this many events occupies a slot for about a second.
EVENTS_PER_STREAM = 30
CONNECT_TIMEOUT_S = 1.0
REQUEST_PAUSE_S = 0.05
# Prompts begin with one of so many parts.
FIRST_PARTS = 4
HARMFUL_SHARE = 0.15
KINDS = ("pay", "look", "draft", "explain")
MODEL_BY_KIND = {"draft": "m0", "explain": "m1", "digest": "m0"}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass
class SentRequest:
    """One request and its outcome.

    Attributes
    ----------
    status : int
        0 if the connection ended or the request timed out before a status.
    complete : bool
        Whether the caller received the whole answer.
    parts : tuple of str
        Parts of the prompt; others share all but the last.
    connection_reused : bool
        Whether the connection had served an earlier request.
    connection_closes : bool
        Whether the node announced that it closes the connection.
    """

    attempt_id: str
    kind: str
    node: Node
    workspace: str
    target: str
    body: bytes
    sent_at: float
    timeout_s: float
    parts: tuple[str, ...] = ()
    connection_reused: bool = False
    status: int = 0
    complete: bool = False
    ended_at: float = 0.0
    connection_closes: bool = False
    events: list[bytes] = field(default_factory=list)
    content: bytes = b""


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    count : int
        Number of callers for each kind of request.
    large_share : float
        Share of the requests that come from the first workspace, 0 for even shares.
    """

    def __init__(
        self,
        nodes: list[Node],
        environment: Environment,
        rng: random.Random,
        count: int,
        large_share: float = 0.0,
    ) -> None:
        self._nodes = nodes
        self._environment = environment
        self._rng = rng
        # Drawn from a generator of their own, so that seeds keep their other draws.
        self._parts_rng = random.Random(1)
        self._serials = itertools.count(1)
        self._stopped = False
        self._large_share = large_share
        self.requests: list[SentRequest] = []
        self._tasks = [
            eventlet.spawn(self._call_forever, kind)
            for kind in KINDS
            for _ in range(count)
        ]

    def stop(self) -> None:
        """Wait until each caller has finished its current request."""
        self._stopped = True
        for task in self._tasks:
            task.wait()

    def burst(self, kind: str, count: int, duration_s: float) -> None:
        """Add callers of one kind for some time."""
        ends_at = time.monotonic() + duration_s
        tasks = [
            eventlet.spawn(self._call_forever, kind, ends_at) for _ in range(count)
        ]
        for task in tasks:
            task.wait()

    def _call_forever(self, kind: str, ends_at: float = float("inf")) -> None:
        while not self._stopped and time.monotonic() < ends_at:
            node = self._choose_node()
            if node is None:
                eventlet.sleep(REQUEST_PAUSE_S)
                continue
            self._use_connection(kind, node, ends_at)

    def _choose_node(self) -> Node | None:
        """Return a random node in the balancer's rotation, or None if it is empty."""
        found = [node for node in self._nodes if node.in_rotation]
        return self._rng.choice(found) if found else None

    def _use_connection(self, kind: str, node: Node, ends_at: float) -> None:
        """Send requests on one connection until the node closes it."""
        host, port = node.address.split(":")
        connection = HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            eventlet.sleep(REQUEST_PAUSE_S)
            return
        reused = False
        try:
            while not self._stopped and time.monotonic() < ends_at:
                request = self._send(kind, node, connection, reused)
                if request.connection_closes or not request.complete:
                    return
                reused = True
                eventlet.sleep(
                    REQUEST_PAUSE_S if request.status < 400 else 4 * REQUEST_PAUSE_S
                )
        finally:
            connection.close()

    def _send(
        self, kind: str, node: Node, connection: HTTPConnection, reused: bool
    ) -> SentRequest:
        workspace = self._rng.choice(list(KEYS))
        if self._large_share and self._rng.random() < self._large_share:
            workspace = next(iter(KEYS))
        number = next(self._serials)
        streamed = kind in MODEL_BY_KIND
        timeout_ms = STREAM_TIMEOUT_MS if streamed else CALL_TIMEOUT_MS
        request = SentRequest(
            attempt_id=f"{kind}-{number}",
            kind=kind,
            node=node,
            workspace=workspace,
            target=f"/{kind}/{number}?n={number}",
            body=b"" if kind == "look" else b"sum=%d" % number,
            sent_at=time.monotonic(),
            timeout_s=timeout_ms / 1000,
            parts=self._draw_parts(number) if streamed else (),
            connection_reused=reused,
        )
        harm = self._environment.current_harmful_request
        if (
            harm is not None
            and harm.kind == kind
            and self._parts_rng.random() < HARMFUL_SHARE
        ):
            request.target, request.body = harm.target, b"" if kind == "look" else b"x"
            request.workspace = next(iter(KEYS))
        self.requests.append(request)
        with eventlet.Timeout(request.timeout_s + CONNECT_TIMEOUT_S, False):
            try:
                self._exchange(request, connection)
            except (OSError, HTTPException, ValueError):
                # The request stays marked as incomplete.
                pass
        request.ended_at = time.monotonic()
        return request

    def _draw_parts(self, number: int) -> tuple[str, ...]:
        first, own = f"a{self._parts_rng.randrange(FIRST_PARTS)}", f"f{number:x}"
        harm = self._environment.current_harm
        if harm is not None and self._parts_rng.random() < HARMFUL_SHARE:
            return first, harm.part, own
        return first, own

    def _exchange(self, request: SentRequest, connection: HTTPConnection) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": request.attempt_id,
            "Authorization": f"Token {KEYS[request.workspace]}",
            "Tenant": "forged",
            "Deadline-Ms": str(int(request.timeout_s * 1000)),
        }
        if request.kind in MODEL_BY_KIND:
            headers["Model"] = MODEL_BY_KIND[request.kind]
            headers["Token-Count"] = f"100,{EVENTS_PER_STREAM}"
            headers[PROMPT_PARTS] = ",".join(f"{part}:40" for part in request.parts)
        connection.sock.settimeout(request.timeout_s + CONNECT_TIMEOUT_S)
        method = "GET" if request.kind == "look" else "POST"
        connection.request(method, request.target, request.body or None, headers)
        response = connection.getresponse()
        request.connection_closes = (
            response.getheader("Connection", "").lower() == "close"
        )
        if response.status == 200 and request.kind in MODEL_BY_KIND:
            request.status = response.status
            self._read_events(request, response)
        else:
            request.content = response.read()
            request.status = response.status
        request.complete = True

    @staticmethod
    def _read_events(request: SentRequest, response: HTTPResponse) -> None:
        buffer = b""
        while chunk := response.read1(65_536):
            *events, buffer = (buffer + chunk).split(b"\n\n")
            # Comments are no events.
            request.events += [e + b"\n\n" for e in events if not e.startswith(b":")]
        if buffer:
            raise ValueError("the stream ended in the middle of an event")

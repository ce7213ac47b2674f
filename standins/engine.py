"""Stand-in for one member of a model engine's replica."""

from standins.common import parse_options, serve  # isort: skip

import json
import time

import eventlet

from poplarspar.exceptions import TransportError
from poplarspar.protocol.backends import read_event_data
from poplarspar.transport.http import open_stream, send_request
from poplarspar.transport.server import Request, Response, json_response
from standins.backend import Backend, OverloadCrash
from standins.tokens import token_text

CHARACTERS_PER_TOKEN = 4


class Engine(Backend):
    """A member that loads weights when ordered into a group."""

    def __init__(self, options) -> None:
        super().__init__(options.vm, options.cold, options.warm, options.boot_s)
        self.options = options
        self.tokens = 0

    def start(self) -> None:
        super().start()
        self.membership = {"group": "", "epoch": 0, "index": 0}
        self.members: list[str] = []
        self.loaded_incarnation = ""
        self.connected_members: set[str] = set()

    def handle(self, request: Request) -> Response:
        common = self.handle_common(request)
        if common is not None:
            return common
        match request.method, request.path:
            case "POST", "/v1/orders":
                return self.accept_order(json.loads(request.body))
            case "POST", "/v1/generate":
                return self.generate(json.loads(request.body))
        return json_response(404, {})

    def report(self) -> dict:
        ready = self.is_up and bool(self.membership["group"]) and self.is_loaded()
        return {**super().report(), **self.membership, "ready": ready}

    def is_loaded(self) -> bool:
        return self.loaded_incarnation == self.incarnation

    def accept_order(self, order: dict) -> Response:
        if self.options.fenced and order["epoch"] < self.membership["epoch"]:
            self.counts["fenced"] += 1
            return json_response(409, {"error": "old fencing number"})
        self.counts["orders"] += 1
        self.membership = {key: order[key] for key in ("group", "epoch", "index")}
        self.members = order["members"]
        self.connected_members = set()
        if not self.is_loaded():
            eventlet.spawn(self.load_weights, order["deployment"], self.incarnation)
        if order["index"] == 0:
            for address in self.members[1:]:
                eventlet.spawn(self.watch_member, address, order["epoch"])
        return json_response(200, {})

    def load_weights(self, deployment: str, incarnation: str) -> None:
        path = f"/v1/weights/{deployment}"
        send_request(self.options.weights, "GET", path, read_timeout_s=300)
        self.loaded_incarnation = incarnation

    def watch_member(self, address: str, epoch: int) -> None:
        """Keep track of whether a member is there, as the engine's own links do."""
        while self.membership["epoch"] == epoch:
            try:
                stream = open_stream(address, "GET", "/v1/reports", read_timeout_s=2)
                for data in read_event_data(stream.chunks()):
                    report = json.loads(data)
                    same_epoch = report["epoch"] == epoch and report["ready"]
                    change = (
                        self.connected_members.add
                        if same_epoch
                        else self.connected_members.discard
                    )
                    change(address)
                    if self.membership["epoch"] != epoch:
                        return
            except TransportError:
                self.connected_members.discard(address)
            eventlet.sleep(0.2)

    def is_group_connected(self) -> bool:
        return self.is_loaded() and self.connected_members == set(self.members[1:])

    def generate(self, body: dict) -> Response:
        if not self.is_group_connected() or self.membership["index"] != 0:
            self.counts["refused"] += 1
            return json_response(503, {"error": "not ready"})
        size = len(body["prompt"]) // CHARACTERS_PER_TOKEN + body["max_tokens"]
        return Response(200, self.stream(body, size), "text/event-stream")

    def stream(self, body: dict, size: int):
        ends_at = time.monotonic() + body["timeout_s"]
        try:
            with self.load() as incarnation:
                self.tokens += size
                if self.tokens > self.options.memory_tokens:
                    self.counts["overloads"] += 1
                    self.restart()
                try:
                    yield from self.events(body, incarnation, ends_at)
                finally:
                    self.tokens -= size
        except OverloadCrash:
            return

    def events(self, body: dict, incarnation: str, ends_at: float):
        epoch = self.membership["epoch"]
        total = body["max_tokens"]
        for offset in range(body["offset"], total + 1):
            eventlet.sleep(self.options.token_s)
            same_group = self.is_group_connected() and self.membership["epoch"] == epoch
            if self.incarnation != incarnation or not same_group:
                return
            if time.monotonic() > ends_at:
                return
            event = {
                "request_id": body["request_id"],
                "offset": offset,
                "text": token_text(body["prompt"], offset) if offset < total else "",
                "last": offset == total,
                "incarnation": incarnation,
            }
            if offset == total:
                self.complete()
            yield b"data: " + json.dumps(event).encode() + b"\n\n"


if __name__ == "__main__":
    serve(
        Engine(
            parse_options(
                vm="vm",
                cold=1,
                warm=4,
                boot_s=1.5,
                token_s=0.01,
                memory_tokens=100_000,
                fenced=1,
                weights="",
            )
        ).handle
    )

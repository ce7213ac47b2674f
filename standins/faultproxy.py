"""Fault-injecting TCP proxy: cuts, freezes, delays and forgotten connections."""

from standins.common import serve  # isort: skip

import json
from dataclasses import dataclass, field

import eventlet

from poplarspar.transport.addresses import bound_address, listen, split_address
from poplarspar.transport.server import Request, Response, json_response

CHUNK_BYTES = 65_536
POLL_S = 0.02


@dataclass(eq=False)
class ProxiedConnection:
    """One proxied connection; `silent` once its ends have lost each other."""

    sockets: tuple
    silent: bool = False


@dataclass
class Path:
    """One listening port and the faults on the way behind it.

    The mode is one of pass, cut, freeze, drop_up, drop_down and forget (which
    silences the connections that are open now, while new ones work).
    """

    upstream: str = ""
    mode: str = "pass"
    delay_s: float = 0.0
    connections: set[ProxiedConnection] = field(default_factory=set)
    carried_bytes: int = 0


class FaultProxy:
    """All paths of one test, driven over HTTP."""

    def __init__(self) -> None:
        self.path_by_address: dict[str, Path] = {}

    def handle(self, request: Request) -> Response:
        body = json.loads(request.body or b"{}")
        if request.path == "/carried":
            paths = self.path_by_address.items()
            return json_response(200, {a: p.carried_bytes for a, p in paths})
        if request.path == "/paths":
            return json_response(200, {"address": self.open(body.get("upstream", ""))})
        path = self.path_by_address[body["address"]]
        path.upstream = body.get("upstream", path.upstream)
        path.delay_s = body.get("delay_s", path.delay_s)
        self.set_mode(path, body.get("mode", path.mode))
        return json_response(200, {"connections": len(path.connections)})

    def open(self, upstream: str) -> str:
        listener = listen("127.0.0.1:0")
        address = bound_address(listener)
        self.path_by_address[address] = Path(upstream)
        eventlet.spawn(self.accept, listener, self.path_by_address[address])
        return address

    def set_mode(self, path: Path, mode: str) -> None:
        if mode == "forget":
            for connection in path.connections:
                connection.silent = True
            mode = "pass"
        if mode == "cut":
            for connection in list(path.connections):
                self.close(path, connection)
        path.mode = mode

    def accept(self, listener, path: Path) -> None:
        while True:
            sock, _ = listener.accept()
            if path.mode == "cut" or not path.upstream:
                sock.close()
                continue
            eventlet.spawn(self.connect, path, sock)

    def connect(self, path: Path, sock) -> None:
        try:
            other = eventlet.connect(split_address(path.upstream))
        except OSError:
            sock.close()
            return
        connection = ProxiedConnection((sock, other))
        path.connections.add(connection)
        eventlet.spawn(self.forward, path, connection, sock, other, "drop_up")
        eventlet.spawn(self.forward, path, connection, other, sock, "drop_down")

    def forward(
        self, path: Path, connection: ProxiedConnection, source, target, drop_mode: str
    ) -> None:
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if path.delay_s:
                    eventlet.sleep(path.delay_s)
                while path.mode == "freeze" and connection in path.connections:
                    eventlet.sleep(POLL_S)
                path.carried_bytes += len(chunk)
                if not connection.silent and path.mode != drop_mode:
                    target.sendall(chunk)
        except OSError:
            pass
        # An end that goes away behind a silent path is not heard of either.
        if not connection.silent and path.mode not in ("freeze", drop_mode):
            self.close(path, connection)

    @staticmethod
    def close(path: Path, connection: ProxiedConnection) -> None:
        # The sockets close by themselves when both pumps have ended.
        path.connections.discard(connection)
        for sock in connection.sockets:
            try:
                sock.shutdown(2)
            except OSError:
                pass


if __name__ == "__main__":
    serve(FaultProxy().handle)

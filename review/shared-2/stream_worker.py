"""A backend server that answers with events, and that can crash and come back."""

import socket

import eventlet

from poplarspar.transport.addresses import listen
from poplarspar.transport.server import HttpServer, Request, Response
from standins.platform import LIMITS, PlainWorker, Run


class StreamWorker(PlainWorker):
    """Answers with `events` events, one each `period_s` after `begin_s`."""

    def __init__(
        self, id: str, events: int, period_s: float, begin_s: float = 0.0
    ) -> None:
        self.ended: list[str] = []
        self._events = events
        self._period_s = period_s
        self._begin_s = begin_s
        self._connections: set = set()
        self.runs_now = True
        super().__init__(id)

    def crash(self) -> None:
        """Cut all connections and refuse new ones."""
        self.runs_now = False
        self.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def come_back(self) -> None:
        """Run again at the same address."""
        self.runs_now = True
        self._listener = listen(self.address)
        self._server = HttpServer(
            self._listener, self.handle, connection_limit=256, limits=lambda: LIMITS
        )

    def handle(self, request: Request) -> Response:
        """Answer with events."""
        id = request.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": id}
        if request.headers.get("Expect-Instance") != self.id:
            return Response(421, b"", None, headers)
        headers["Response-Signature"] = f"s.{self.id}"
        headers["Content-Type"] = "text/event-stream"
        return Response(200, self._answer(request, id), None, headers)

    def _answer(self, request: Request, id: str):
        self._connections.add(request.connection)
        try:
            eventlet.sleep(self._begin_s)
            self.runs.append(Run.from_request(self.id, request))
            for number in range(1, self._events + 1):
                yield f"id: {number}\ndata: {id}.{number}\n\n".encode()
                if number < self._events:
                    eventlet.sleep(self._period_s)
            self.ended.append(id)
        finally:
            self._connections.discard(request.connection)

"""Reports of backend servers and orders to them, in the platform's format."""

import json
from dataclasses import replace

from poplarspar.events import Event
from poplarspar.exceptions import BackendFailed, MalformedDocument, TransportError
from poplarspar.logs import log_event
from poplarspar.platform.documents import parse_report
from poplarspar.platform.headers import EXPECTED_BACKEND, LEAVING, parse_leaving
from poplarspar.state.backends import BackendReport, BackendServer
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderResult,
    Refused,
    Stage,
    Unanswered,
)
from poplarspar.transport.http import HttpClient, send_request

REPORT_PATH = "/poplarspar/report"
ORDER_PATH = "/poplarspar/order"
# A report is decoded in one turn, several times a second for each backend server.
MAX_REPORT_BYTES = 65_536
OK = 200
ORDER_STARTED = 202
ORDER_FENCED = 412


class PlatformReportReader:
    """Reads backend servers' reports, each on a connection that stays open."""

    def __init__(self) -> None:
        self._client_by_address: dict[str, HttpClient] = {}
        self._malformed_by_id: dict[str, str] = {}

    def read(self, backend: BackendServer, timeout_s: float) -> BackendReport:
        """Return a backend server's report; raises `BackendFailed`."""
        client = self._client_by_address.get(backend.address)
        if client is None:
            client = HttpClient(backend.address)
            self._client_by_address[backend.address] = client
        try:
            answer = client.send(
                "GET",
                REPORT_PATH,
                read_timeout_s=timeout_s,
                answer_timeout_s=2 * timeout_s,
                limit_bytes=MAX_REPORT_BYTES,
                headers={EXPECTED_BACKEND: backend.id},
            )
            if answer.status != OK:
                raise BackendFailed(f"report: status {answer.status}", sent=True)
            report = self._parse(backend.id, answer.body)
            leaving = parse_leaving(answer.headers.get(LEAVING, ""))
            return replace(report, leaving=bool(leaving))
        except (TransportError, MalformedDocument) as error:
            self.disconnect(backend)
            raise BackendFailed(f"report: {error}", sent=True) from error

    def _parse(self, id: str, body: bytes) -> BackendReport:
        """Decode a report; logs once why it is malformed, until it no longer is."""
        try:
            report = parse_report(id, body.decode(errors="replace"))
        except MalformedDocument as error:
            if self._malformed_by_id.get(id) != str(error):
                self._malformed_by_id[id] = str(error)
                log_event(Event.DOCUMENT_MALFORMED, key=id, cause=str(error))
            raise
        self._malformed_by_id.pop(id, None)
        return report

    def disconnect(self, backend: BackendServer) -> None:
        """Close the connection to a backend server."""
        client = self._client_by_address.pop(backend.address, None)
        if client is not None:
            client.close()


class PlatformOrderSender:
    """Sends orders to backend servers."""

    def send(
        self,
        backend: BackendServer,
        order: Order,
        *,
        fence: int,
        accepted_before: int | None,
        timeout_s: float,
    ) -> OrderResult:
        """Send an order and return its result.

        Parameters
        ----------
        fence : int
            Fencing token; the backend server then refuses orders with a lower one.
        accepted_before : int or None
            Number of orders that the backend server must have accepted so far;
            otherwise it refuses this order. None for any number.
        """
        body = _order_body(order)
        body["fencing_token"] = fence
        if accepted_before is not None:
            body["expected"] = accepted_before
        try:
            answer = send_request(
                backend.address,
                "POST",
                ORDER_PATH,
                json.dumps(body).encode(),
                read_timeout_s=timeout_s,
                connect_timeout_s=timeout_s,
                headers={
                    "Content-Type": "application/json",
                    EXPECTED_BACKEND: backend.id,
                },
            )
        except TransportError:
            return Unanswered()
        if answer.status in (OK, ORDER_STARTED):
            return Accepted(done=answer.status == OK)
        return Refused(answer.status, fenced=answer.status == ORDER_FENCED)


def _order_body(order: Order) -> dict:
    match order:
        case Join(group, epoch, model, members):
            return {
                "op": "join",
                "group": group,
                "epoch": epoch,
                "model": model,
                "members": list(members),
            }
        case Open(group, epoch):
            return {"op": "open", "group": group, "epoch": epoch}
        case Close(group, epoch, evict):
            mode = "evict" if evict else "queue"
            return {"op": "close", "group": group, "epoch": epoch, "close_mode": mode}
        case Leave(group, epoch):
            return {"op": "leave", "group": group, "epoch": epoch}
        case Stage(model):
            return {"op": "stage", "model": model}

"""HTTP client of backend servers: token streams, calls, orders and reports."""

import time
from collections.abc import Iterator

from poplarspar.coordination.ports import Answer, GenerationRequest, ServiceCall, Token
from poplarspar.exceptions import (
    BackendFailed,
    ConnectFailed,
    CoordinationError,
    ProtocolError,
    TransportError,
)
from poplarspar.protocol.backends import (
    assignment_body,
    generation_body,
    parse_member_report,
    parse_token_event,
    read_event_data,
)
from poplarspar.state.replicas import MemberReport, ReplicaGroup
from poplarspar.transport.http import HttpStream, open_stream, send_request

TOKEN_TIMEOUT_S = 5.0
REPORT_TIMEOUT_S = 1.5
OK = 200
BUSY = 503
INCARNATION_HEADER = "X-Incarnation"


class HttpTokenSource:
    """Token stream from a model engine; see `coordination.ports.TokenSource`.

    Parameters
    ----------
    ends_at : float
        Monotonic time in seconds at which the engine ends the stream.
    """

    def __init__(self, stream: HttpStream, ends_at: float) -> None:
        self._stream = stream
        self._ends_at = ends_at

    def tokens(self) -> Iterator[Token]:
        """Yield tokens; raises `BackendFailed` when the stream breaks."""
        try:
            self._limit_wait()
            for data in self._stream.items(read_event_data):
                yield parse_token_event(data)
                self._limit_wait()
        except (TransportError, ProtocolError) as error:
            raise BackendFailed(str(error), sent=True) from error
        raise BackendFailed("the stream ended before the last token", sent=True)

    def _limit_wait(self) -> None:
        """Limit the wait for the next token, whatever else the engine sends."""
        remaining_s = self._ends_at - time.monotonic()
        if remaining_s <= 0.0:
            raise BackendFailed("the answer was not complete in time", sent=True)
        self._stream.set_read_timeout(min(TOKEN_TIMEOUT_S, remaining_s))

    def close(self) -> None:
        """Close the connection, which cancels the stream."""
        self._stream.close()


class HttpBackends:
    """Generation and service calls over HTTP; see `coordination.ports.Backends`."""

    def generate(self, address: str, generation: GenerationRequest) -> HttpTokenSource:
        """Start a token stream; raises `BackendFailed`."""
        ends_at = time.monotonic() + generation.timeout_s
        try:
            stream = open_stream(
                address,
                "POST",
                "/v1/generate",
                generation_body(generation),
                read_timeout_s=min(TOKEN_TIMEOUT_S, generation.timeout_s),
            )
        except ConnectFailed as error:
            raise BackendFailed(str(error), sent=False) from error
        except TransportError as error:
            raise BackendFailed(str(error), sent=True) from error
        if stream.status != OK:
            stream.close()
            message = f"engine answered with status {stream.status}"
            raise BackendFailed(message, sent=stream.status != BUSY)
        return HttpTokenSource(stream, ends_at)

    def call(self, address: str, call: ServiceCall) -> Answer:
        """Make one call on a new connection; raises `BackendFailed`."""
        headers = {"X-Request-Id": call.request_id}
        if call.key:
            headers["Idempotency-Key"] = call.key
        try:
            answer = send_request(
                address,
                "POST",
                f"/v1/{call.route}",
                call.body,
                read_timeout_s=call.timeout_s,
                headers=headers,
            )
        except ConnectFailed as error:
            raise BackendFailed(str(error), sent=False) from error
        except TransportError as error:
            raise BackendFailed(str(error), sent=True) from error
        answered_id = answer.headers.get("X-Request-Id", call.request_id)
        if answered_id != call.request_id:
            raise BackendFailed("the answer belongs to another request", sent=True)
        incarnation = answer.headers.get(INCARNATION_HEADER, "")
        return Answer(answer.status, answer.body, incarnation)


class HttpOrderSender:
    """Sends orders to model engines; see `coordination.ports.Orders`."""

    def assign(self, group: ReplicaGroup, index: int, timeout_s: float) -> None:
        """Order a member to join its group.

        Raises `BackendFailed` if the member refuses or does not answer.
        """
        address = group.members[index].address
        body = assignment_body(group, index)
        try:
            answer = send_request(
                address, "POST", "/v1/orders", body, read_timeout_s=timeout_s
            )
        except TransportError as error:
            raise BackendFailed(f"order: {error}", sent=True) from error
        if answer.status != OK:
            message = f"order refused with status {answer.status}"
            raise BackendFailed(message, sent=True)


class HttpReportReader:
    """Reads load reports; see `coordination.ports.ReportSource`."""

    def reports(self, vm: str, address: str) -> Iterator[MemberReport]:
        """Yield the reports of one backend server until the connection ends."""
        try:
            stream = open_stream(
                address, "GET", "/v1/reports", read_timeout_s=REPORT_TIMEOUT_S
            )
        except TransportError as error:
            raise CoordinationError(f"reports of {vm}: {error}") from error
        try:
            stream.set_read_timeout(REPORT_TIMEOUT_S)
            for data in stream.items(read_event_data):
                stream.set_read_timeout(REPORT_TIMEOUT_S)
                report = parse_member_report(data)
                if report.vm == vm:
                    yield report
        except (TransportError, ProtocolError) as error:
            raise CoordinationError(f"reports of {vm}: {error}") from error
        finally:
            stream.close()

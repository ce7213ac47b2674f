"""Connections to backend servers: streams, calls, orders and reports."""

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

TOKEN_SILENCE_S = 5.0
REPORT_SILENCE_S = 1.5
OK = 200
BUSY = 503
INCARNATION_HEADER = "X-Incarnation"


class HttpTokenSource:
    """An engine's stream; see `coordination.ports.TokenSource`."""

    def __init__(self, stream: HttpStream) -> None:
        self._stream = stream

    def tokens(self) -> Iterator[Token]:
        """Yield tokens; raises `BackendFailed` when the stream breaks."""
        try:
            for data in read_event_data(self._stream.chunks()):
                yield parse_token_event(data)
        except (TransportError, ProtocolError) as error:
            raise BackendFailed(str(error), sent=True) from error
        raise BackendFailed("the stream ended before the answer", sent=True)

    def close(self) -> None:
        """Cancel the stream."""
        self._stream.close()


class HttpBackends:
    """Backend servers over HTTP; see `coordination.ports.Backends`."""

    def generate(self, address: str, generation: GenerationRequest) -> HttpTokenSource:
        """Start a stream; raises `BackendFailed`."""
        try:
            stream = open_stream(
                address,
                "POST",
                "/v1/generate",
                generation_body(generation),
                read_timeout_s=TOKEN_SILENCE_S,
            )
        except ConnectFailed as error:
            raise BackendFailed(str(error), sent=False) from error
        except TransportError as error:
            raise BackendFailed(str(error), sent=True) from error
        if stream.status != OK:
            stream.close()
            message = f"engine answered with status {stream.status}"
            raise BackendFailed(message, sent=stream.status != BUSY)
        return HttpTokenSource(stream)

    def call(self, address: str, call: ServiceCall) -> Answer:
        """Make one call on a connection of its own; raises `BackendFailed`."""
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
        echoed = answer.headers.get("X-Request-Id", call.request_id)
        if echoed != call.request_id:
            raise BackendFailed("the answer belongs to another request", sent=True)
        incarnation = answer.headers.get(INCARNATION_HEADER, "")
        return Answer(answer.status, answer.body, incarnation)


class HttpOrderSender:
    """Orders to model engines; see `coordination.ports.Orders`."""

    def assign(self, group: ReplicaGroup, index: int, timeout_s: float) -> None:
        """Order a member into its group; raises `BackendFailed` if it can't."""
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
    """Load reports; see `coordination.ports.ReportSource`."""

    def reports(self, vm: str, address: str) -> Iterator[MemberReport]:
        """Yield the reports of one backend server until the connection ends."""
        try:
            stream = open_stream(
                address, "GET", "/v1/reports", read_timeout_s=REPORT_SILENCE_S
            )
        except TransportError as error:
            raise CoordinationError(f"reports of {vm}: {error}") from error
        try:
            for data in read_event_data(stream.chunks()):
                report = parse_member_report(data)
                if report.vm == vm:
                    yield report
        except (TransportError, ProtocolError) as error:
            raise CoordinationError(f"reports of {vm}: {error}") from error
        finally:
            stream.close()

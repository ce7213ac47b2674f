"""HTTP client for operators' requests to a steward."""

from pydantic import BaseModel

from poplarspar.exceptions import ProtocolError, RequestRefused, TransportError
from poplarspar.protocol.operators import (
    CLUSTER_STATUS,
    AuditAnswer,
    ChangeAnswer,
    ErrorAnswer,
    InForceAnswer,
    ObjectsAnswer,
    PublishRequest,
    ServingRequest,
    parse_answer,
)
from poplarspar.state.status import ClusterStatus
from poplarspar.transport.http import HttpAnswer, send_request

READ_TIMEOUT_S = 15.0
OK = 200


class OperatorClient:
    """Sends requests to the first steward that answers.

    Each method raises `TransportError` if no steward answers, and `RequestRefused`
    if the steward answers with an error.

    Parameters
    ----------
    addresses : list of str
        Stewards' addresses for operators, the preferred one first.
    token : str
        The operators' secret, sent as a bearer token.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}

    def status(self) -> ClusterStatus:
        """Return the cluster's status."""
        return CLUSTER_STATUS.validate_json(self._get("/v1/status").body)

    def objects(self) -> ObjectsAnswer:
        """Return the objects in force."""
        return _parse(ObjectsAnswer, self._get("/v1/objects"))

    def audit(self) -> AuditAnswer:
        """Return the audit trail."""
        return _parse(AuditAnswer, self._get("/v1/audit"))

    def in_force(self, revision: int) -> InForceAnswer:
        """Return the stewards at which a revision is in force or not yet in force."""
        return _parse(InForceAnswer, self._get(f"/v1/in-force/{revision}"))

    def publish(self, request: PublishRequest) -> ChangeAnswer:
        """Publish objects."""
        return self._change("/v1/objects", request)

    def set_serving(self, request: ServingRequest) -> ChangeAnswer:
        """Take a zone or backend server out of service or back into service."""
        return self._change("/v1/serving", request)

    def _get(self, path: str) -> HttpAnswer:
        failure = TransportError("no steward address is given")
        for address in self._addresses:
            try:
                return self._send(address, "GET", path)
            except RequestRefused:
                raise
            except TransportError as error:
                failure = error
        raise failure

    def _change(self, path: str, request: BaseModel) -> ChangeAnswer:
        """Send a change to the first steward that answers ``GET /ready``.

        The client does not retry the change itself, because the steward may have
        applied it without answering.
        """
        failure = TransportError("no steward address is given")
        for address in self._addresses:
            try:
                send_request(address, "GET", "/ready", read_timeout_s=READ_TIMEOUT_S)
            except TransportError as error:
                failure = error
                continue
            body = request.model_dump_json().encode()
            return _parse(ChangeAnswer, self._send(address, "POST", path, body))
        raise failure

    def _send(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> HttpAnswer:
        answer = send_request(
            address,
            method,
            path,
            body,
            read_timeout_s=READ_TIMEOUT_S,
            headers=self._headers,
        )
        if answer.status != OK and b'"outcome"' not in answer.body:
            raise RequestRefused(_refusal(answer))
        return answer


def _parse(model: type[BaseModel], answer: HttpAnswer) -> BaseModel:
    try:
        return parse_answer(model, answer.body)
    except ProtocolError as error:
        raise TransportError(f"steward: {error}") from error


def _refusal(answer: HttpAnswer) -> str:
    try:
        return parse_answer(ErrorAnswer, answer.body).error
    except ProtocolError:
        return f"status {answer.status}: {answer.body[:200].decode(errors='replace')}"

"""HTTP interface of a steward for operators."""

import hmac
from collections.abc import Callable

from pydantic import BaseModel

from poplarspar.coordination.cluster import ClusterState
from poplarspar.coordination.publishing import Publisher
from poplarspar.events import Event
from poplarspar.exceptions import InvalidObjects
from poplarspar.logs import log_event
from poplarspar.protocol.callers import parse_json
from poplarspar.protocol.objects import canonical_text, parse_objects, set_serving
from poplarspar.protocol.operators import (
    CLUSTER_STATUS,
    AuditAnswer,
    ChangeAnswer,
    ChangeOutcome,
    ErrorAnswer,
    InForceAnswer,
    ObjectsAnswer,
    PublishRequest,
    ServingRequest,
    change_answer,
)
from poplarspar.state.status import ClusterStatus
from poplarspar.transport.server import Request, Response, json_response

STATUS_BY_OUTCOME = {
    ChangeOutcome.ACCEPTED: 200,
    ChangeOutcome.CONFLICT: 409,
    ChangeOutcome.INVALID: 422,
    ChangeOutcome.UNKNOWN: 503,
    ChangeOutcome.UNAVAILABLE: 503,
}
EVENT_BY_OUTCOME = {
    ChangeOutcome.ACCEPTED: Event.PUBLISHED,
    ChangeOutcome.CONFLICT: Event.PUBLISH_CONFLICT,
    ChangeOutcome.UNKNOWN: Event.PUBLISH_UNKNOWN,
    ChangeOutcome.UNAVAILABLE: Event.PUBLISH_UNAVAILABLE,
}


class OperatorApi:
    """Handles operators' requests at a steward.

    Parameters
    ----------
    token : str
        The operators' secret, which each request sends as a bearer token.
    status : callable
        Returns the cluster's status.
    """

    def __init__(
        self,
        token: str,
        cluster: ClusterState,
        publisher: Publisher,
        status: Callable[[], ClusterStatus],
    ) -> None:
        self._token = token
        self._cluster = cluster
        self._publisher = publisher
        self._status = status

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/ready":
            ready = self._cluster.freshness.is_fresh()
            return json_response(200 if ready else 503, {"ready": ready})
        if not self._is_authorized(request):
            log_event(Event.OPERATOR_REFUSED, path=request.path)
            return _json_answer(
                401, ErrorAnswer(error="a valid operator token is needed")
            )
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "status"]:
                return Response(200, CLUSTER_STATUS.dump_json(self._status()))
            case "GET", ["v1", "objects"]:
                revision, configuration = self._publisher.current_configuration()
                return _json_answer(
                    200, ObjectsAnswer(revision=revision, text=configuration.text)
                )
            case "GET", ["v1", "audit"]:
                _, configuration = self._publisher.current_configuration()
                return _json_answer(200, AuditAnswer(audit=list(configuration.audit)))
            case "GET", ["v1", "in-force", revision] if revision.isdigit():
                return _json_answer(200, self._in_force(int(revision)))
            case "POST", ["v1", "objects"]:
                return self._publish(parse_json(PublishRequest, request.body))
            case "POST", ["v1", "serving"]:
                return self._set_serving(parse_json(ServingRequest, request.body))
            case _:
                return _json_answer(404, ErrorAnswer(error="no such page"))

    def _is_authorized(self, request: Request) -> bool:
        received = request.headers.get("Authorization", "")
        expected = f"Bearer {self._token}"
        return hmac.compare_digest(received.encode(), expected.encode())

    def _in_force(self, revision: int) -> InForceAnswer:
        names = self._cluster.freshness.stewards_acting_on(
            revision, self._cluster.revision_in_force(), self._cluster.name
        )
        missing = sorted(set(self._cluster.roster) - set(names))
        return InForceAnswer(revision=revision, in_force_on=names, not_yet_on=missing)

    def _publish(self, change: PublishRequest) -> Response:
        try:
            parse_objects(change.text)
        except InvalidObjects as error:
            return _invalid_response(error)
        text = canonical_text(change.text)
        outcome = self._publisher.publish(
            text, change.base_revision, change.operator, "publish"
        )
        return self._change_response(change_answer(outcome), change.operator, "publish")

    def _set_serving(self, change: ServingRequest) -> Response:
        state = "in" if change.serving else "out"
        action = f"{change.kind} {change.name} {state}"

        def edit(text: str) -> str:
            return set_serving(text, change.kind, change.name, change.serving)

        try:
            outcome = self._publisher.edit(edit, change.operator, action)
        except InvalidObjects as error:
            return _invalid_response(error)
        return self._change_response(change_answer(outcome), change.operator, action)

    @staticmethod
    def _change_response(answer: ChangeAnswer, operator: str, action: str) -> Response:
        log_event(
            EVENT_BY_OUTCOME[answer.outcome],
            revision=answer.revision,
            operator=operator,
            action=action,
        )
        return _json_answer(STATUS_BY_OUTCOME[answer.outcome], answer)


def _invalid_response(error: InvalidObjects) -> Response:
    answer = ChangeAnswer(outcome=ChangeOutcome.INVALID, problems=error.problems)
    return _json_answer(STATUS_BY_OUTCOME[ChangeOutcome.INVALID], answer)


def _json_answer(status: int, document: BaseModel) -> Response:
    return Response(
        status, document.model_dump_json(exclude_defaults=True).encode() + b"\n"
    )

"""Operators' HTTP at a steward."""

import dataclasses
import hmac
from collections.abc import Callable

from pydantic import BaseModel, ConfigDict, Field

from poplarspar.coordination.cluster import ClusterState
from poplarspar.coordination.publishing import (
    Accepted,
    Publisher,
    PublishOutcome,
    Rejected,
    Undetermined,
)
from poplarspar.events import Event, log_event
from poplarspar.exceptions import InvalidObjects
from poplarspar.protocol.callers import parse_json
from poplarspar.protocol.objects import (
    canonical_text,
    parse_objects,
    set_serving,
)
from poplarspar.transport.server import Request, Response, json_response


class PublishRequest(BaseModel):
    """Body of a publish."""

    model_config = ConfigDict(extra="forbid")

    text: str
    base_revision: int = Field(ge=0)
    operator: str = Field(min_length=1, max_length=64)


class ServingRequest(BaseModel):
    """Body of an order that takes a zone or server out of service or back."""

    model_config = ConfigDict(extra="forbid")

    kind: str = Field(pattern="^(zone|server)$")
    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    serving: bool
    operator: str = Field(min_length=1, max_length=64)


class OperatorApi:
    """Handles operators' requests.

    Parameters
    ----------
    token : str
        Secret that an operator has to show.
    status : callable
        Returns the steward's status document.
    """

    def __init__(
        self,
        token: str,
        cluster: ClusterState,
        publisher: Publisher,
        status: Callable[[], dict],
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
            return json_response(401, {"error": "a valid operator token is needed"})
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "status"]:
                return json_response(200, self._status())
            case "GET", ["v1", "objects"]:
                revision, configuration = self._publisher.current()
                document = {"revision": revision, "text": configuration.text}
                return json_response(200, document)
            case "GET", ["v1", "audit"]:
                _, configuration = self._publisher.current()
                entries = [dataclasses.asdict(entry) for entry in configuration.audit]
                return json_response(200, {"audit": entries})
            case "GET", ["v1", "in-force", revision] if revision.isdigit():
                return json_response(200, self._in_force(int(revision)))
            case "POST", ["v1", "objects"]:
                return self._publish(parse_json(PublishRequest, request.body))
            case "POST", ["v1", "serving"]:
                return self._set_serving(parse_json(ServingRequest, request.body))
            case _:
                return json_response(404, {"error": "no such page"})

    def _is_authorized(self, request: Request) -> bool:
        shown = request.headers.get("Authorization", "")
        wanted = f"Bearer {self._token}"
        return hmac.compare_digest(shown.encode(), wanted.encode())

    def _in_force(self, revision: int) -> dict:
        names = self._cluster.freshness.in_force_on(
            revision, self._cluster.in_force(), self._cluster.name
        )
        missing = sorted(set(self._cluster.roster) - set(names))
        return {"revision": revision, "in_force_on": names, "not_yet_on": missing}

    def _publish(self, wanted: PublishRequest) -> Response:
        try:
            parse_objects(wanted.text)
        except InvalidObjects as error:
            return json_response(422, {"problems": error.problems})
        text = canonical_text(wanted.text)
        outcome = self._publisher.publish(
            text, wanted.base_revision, wanted.operator, "publish"
        )
        return self._answer(outcome, wanted.operator, "publish")

    def _set_serving(self, wanted: ServingRequest) -> Response:
        state = "in" if wanted.serving else "out"
        action = f"{wanted.kind} {wanted.name} {state}"

        def change(text: str) -> str:
            return set_serving(text, wanted.kind, wanted.name, wanted.serving)

        try:
            outcome = self._publisher.edit(change, wanted.operator, action)
        except InvalidObjects as error:
            return json_response(422, {"problems": error.problems})
        return self._answer(outcome, wanted.operator, action)

    def _answer(self, outcome: PublishOutcome, operator: str, action: str) -> Response:
        match outcome:
            case Accepted(revision, changes):
                log_event(
                    Event.PUBLISHED, revision=revision, operator=operator, action=action
                )
                document = {"outcome": "accepted", "revision": revision}
                return json_response(200, {**document, "changes": changes})
            case Rejected(current_revision, changes):
                log_event(Event.PUBLISH_CONFLICT, operator=operator, action=action)
                document = {"outcome": "conflict", "revision": current_revision}
                return json_response(409, {**document, "changes": changes})
            case Undetermined(change_id):
                log_event(Event.PUBLISH_UNKNOWN, operator=operator, action=action)
                document = {"outcome": "unknown", "change_id": change_id}
                return json_response(503, document)

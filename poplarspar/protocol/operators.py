"""JSON bodies of operators' requests to stewards and of the answers."""

from enum import StrEnum
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from poplarspar.coordination.publishing import (
    Accepted,
    PublishOutcome,
    Rejected,
    Unavailable,
    Undetermined,
)
from poplarspar.exceptions import ProtocolError
from poplarspar.protocol.settings import Name
from poplarspar.state.configuration import AuditEntry
from poplarspar.state.status import ClusterStatus

CLUSTER_STATUS = TypeAdapter(ClusterStatus)


class ChangeOutcome(StrEnum):
    """Result of a change that an operator requested."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"
    INVALID = "invalid"


class PublishRequest(BaseModel):
    """Body of a request to publish objects."""

    model_config = ConfigDict(extra="forbid")

    text: str
    base_revision: int = Field(ge=0)
    operator: str = Field(min_length=1, max_length=64)


class ServingRequest(BaseModel):
    """Body of a request to put a zone or server in or out of service."""

    model_config = ConfigDict(extra="forbid")

    kind: Literal["zone", "server"]
    name: Name
    serving: bool
    operator: str = Field(min_length=1, max_length=64)


class ChangeAnswer(BaseModel):
    """Answer to a requested change.

    `changes` lists the changed lines; after a conflict, those of the change that
    was published first.
    """

    outcome: ChangeOutcome
    revision: int = 0
    changes: list[str] = []
    change_id: str = ""
    problems: list[str] = []


class InForceAnswer(BaseModel):
    """Names of the stewards on which a revision is in force, and of the rest."""

    revision: int
    in_force_on: list[str]
    not_yet_on: list[str]


class ObjectsAnswer(BaseModel):
    """The objects' text and its revision."""

    revision: int
    text: str


class AuditAnswer(BaseModel):
    """The most recent entries of the audit trail."""

    audit: list[AuditEntry]


class ErrorAnswer(BaseModel):
    """The reason why a steward refused a request."""

    error: str


def change_answer(outcome: PublishOutcome) -> ChangeAnswer:
    """Return the answer that reports the outcome of a change."""
    match outcome:
        case Accepted(revision, changes):
            return ChangeAnswer(
                outcome=ChangeOutcome.ACCEPTED, revision=revision, changes=list(changes)
            )
        case Rejected(revision, changes):
            return ChangeAnswer(
                outcome=ChangeOutcome.CONFLICT, revision=revision, changes=list(changes)
            )
        case Undetermined(change_id):
            return ChangeAnswer(outcome=ChangeOutcome.UNKNOWN, change_id=change_id)
        case Unavailable():
            return ChangeAnswer(outcome=ChangeOutcome.UNAVAILABLE)


def parse_answer(model: type[BaseModel], body: bytes) -> BaseModel:
    """Validate a steward's answer; raises `ProtocolError`."""
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise ProtocolError(f"not a valid {model.__name__}") from error

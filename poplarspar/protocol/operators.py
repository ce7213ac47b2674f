"""Operators' requests to stewards and the answers to them, as JSON."""

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
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"
    INVALID = "invalid"


class PublishRequest(BaseModel):
    """Body of a publish."""

    model_config = ConfigDict(extra="forbid")

    text: str
    base_revision: int = Field(ge=0)
    operator: str = Field(min_length=1, max_length=64)


class ServingRequest(BaseModel):
    """Body of an order that takes a zone or server out of service or back."""

    model_config = ConfigDict(extra="forbid")

    kind: Literal["zone", "server"]
    name: Name
    serving: bool
    operator: str = Field(min_length=1, max_length=64)


class ChangeAnswer(BaseModel):
    """What became of a change.

    `changes` is what was changed or, after a conflict, what came first.
    """

    outcome: ChangeOutcome
    revision: int = 0
    changes: list[str] = []
    change_id: str = ""
    problems: list[str] = []


class InForceAnswer(BaseModel):
    """Names of the stewards on which a revision is in force, and of the others."""

    revision: int
    in_force_on: list[str]
    not_yet_on: list[str]


class ObjectsAnswer(BaseModel):
    """The objects with their revision."""

    revision: int
    text: str


class AuditAnswer(BaseModel):
    """The last entries of the audit trail."""

    audit: list[AuditEntry]


class ErrorAnswer(BaseModel):
    """A request that was not carried out."""

    error: str


def change_answer(outcome: PublishOutcome) -> ChangeAnswer:
    """Return the answer for the outcome of a change."""
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
    """Check a steward's answer; raises `ProtocolError`."""
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise ProtocolError(f"not a valid {model.__name__}") from error

"""JSON documents of evidence and quarantined parts in the store."""

import time
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarspar.exceptions import MalformedDocument
from poplarspar.state.quarantine import (
    Evidence,
    QuarantinedParts,
    UnansweredRequest,
)

PartId = Annotated[str, Field(min_length=1, max_length=64)]
Parts = Annotated[list[PartId], Field(min_length=1, max_length=32)]
# Evidence and holds end within minutes.
MAX_MS = 10**9
AgeMs = Annotated[int, Field(ge=0, le=MAX_MS)]


class _Document(BaseModel):
    # Newer versions of the documents may have more fields.
    model_config = ConfigDict(extra="ignore", defer_build=True)


class _Unanswered(_Document):
    id: Annotated[str, Field(max_length=200)]
    backends: Annotated[list[str], Field(min_length=1, max_length=16)]
    parts: Parts
    age_ms: AgeMs
    pool: Annotated[str, Field(max_length=400)]


class _Evidence(_Document):
    unanswered: Annotated[list[_Unanswered], Field(max_length=32)] = []
    begun_age_ms_by_part: Annotated[dict[PartId, AgeMs], Field(max_length=1024)] = {}


class _Quarantined(_Document):
    parts: Parts
    hold_ms: Annotated[int, Field(gt=0, le=MAX_MS)]


class _Entries(_Document):
    entries: Annotated[list[_Quarantined], Field(max_length=64)]


class QuarantineJson:
    """Documents with ages instead of times, since nodes' clocks differ."""

    def evidence_text(self, evidence: Evidence) -> str:
        """Encode a node's evidence."""
        now = time.monotonic()
        document = _Evidence(
            unanswered=[
                _Unanswered(
                    id=request.id,
                    backends=list(request.backends),
                    parts=list(request.parts),
                    age_ms=_age_ms(request.ended_at, now),
                    pool=request.pool,
                )
                for request in evidence.unanswered
            ],
            begun_age_ms_by_part={
                part: _age_ms(at, now) for part, at in evidence.begun_at_by_part.items()
            },
        )
        return document.model_dump_json()

    def parse_evidence(self, text: str) -> Evidence:
        """Decode a node's evidence; raises `MalformedDocument`."""
        now = time.monotonic()
        document = _parse(_Evidence, text)
        return Evidence(
            tuple(
                UnansweredRequest(
                    row.id,
                    tuple(row.backends),
                    tuple(row.parts),
                    _time(row.age_ms, now),
                    row.pool,
                )
                for row in document.unanswered
            ),
            {
                part: _time(age_ms, now)
                for part, age_ms in document.begun_age_ms_by_part.items()
            },
        )

    def entries_text(self, entries: tuple[QuarantinedParts, ...]) -> str:
        """Encode the parts in quarantine."""
        document = _Entries(
            entries=[
                _Quarantined(
                    parts=sorted(entry.parts), hold_ms=round(entry.hold_s * 1000)
                )
                for entry in entries
            ]
        )
        return document.model_dump_json()

    def parse_entries(self, text: str) -> tuple[QuarantinedParts, ...]:
        """Decode the parts in quarantine; raises `MalformedDocument`."""
        document = _parse(_Entries, text)
        return tuple(
            QuarantinedParts(frozenset(row.parts), row.hold_ms / 1000)
            for row in document.entries
        )


def _parse(model: type[BaseModel], text: str):
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        raise MalformedDocument(f"quarantine: {error.errors()[0]['msg']}") from error


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))


def _time(age_ms: int, now: float) -> float:
    return now - age_ms / 1000

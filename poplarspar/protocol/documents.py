"""JSON encoding of the cluster's documents in the store."""

import base64
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as validated

from poplarspar.coordination.cluster import (
    CONFIGURATION_KEY,
    DOMAIN_PREFIX,
    OWNERS_KEY,
)
from poplarspar.coordination.idempotency import Progress, RequestRecord
from poplarspar.coordination.ports import Answer
from poplarspar.exceptions import MalformedDocument
from poplarspar.protocol.objects import parse_objects
from poplarspar.state.configuration import Configuration
from poplarspar.state.objects import ObjectSet
from poplarspar.state.ownership import OwnerTable
from poplarspar.state.replicas import DomainAssignment
from poplarspar.state.snapshot import Snapshot
from poplarspar.state.view import View, build_view

_CONFIGURATION = TypeAdapter(Configuration)
_ASSIGNMENT = TypeAdapter(DomainAssignment)
_OWNERS = TypeAdapter(OwnerTable)


@validated(frozen=True)
class _RecordDocument:
    attempt: str
    fingerprint: str
    progress: str
    status: int = 0
    body: str = ""


_RECORD = TypeAdapter(_RecordDocument)


class JsonDocuments:
    """Encodes and decodes documents; see `coordination.ports.Documents`."""

    def __init__(self) -> None:
        self._objects_text = ""
        self._objects = ObjectSet()
        self._assignment_by_text: dict[str, DomainAssignment] = {}

    def view(self, snapshot: Snapshot) -> View:
        """Return the view that a snapshot describes."""
        # Most assignments do not change between two views and are not parsed again.
        self._assignment_by_text = {
            value.text: self.assignment(key.removeprefix(DOMAIN_PREFIX), value.text)
            for key, value in sorted(snapshot.values_by_key.items())
            if key.startswith(DOMAIN_PREFIX)
        }
        assignments = list(self._assignment_by_text.values())
        owners_text = snapshot.get(OWNERS_KEY).text
        owners = _parse(_OWNERS, owners_text) if owners_text else OwnerTable()
        objects = self.objects(snapshot.get(CONFIGURATION_KEY).text)
        return build_view(snapshot.revision, objects, assignments, owners)

    def objects(self, text: str) -> ObjectSet:
        """Return the objects of a configuration document."""
        objects_text = self.configuration(text).text
        if objects_text != self._objects_text:
            self._objects = parse_objects(objects_text)
            self._objects_text = objects_text
        return self._objects

    def configuration(self, text: str) -> Configuration:
        """Return the configuration in `text`; an empty text means no objects."""
        return _parse(_CONFIGURATION, text) if text else Configuration()

    def configuration_text(self, configuration: Configuration) -> str:
        """Return the document of a configuration."""
        return _CONFIGURATION.dump_json(configuration).decode()

    def assignment(self, domain: str, text: str) -> DomainAssignment:
        """Return the assignment in `text`; an empty text means no groups."""
        if not text:
            return DomainAssignment(domain)
        return self._assignment_by_text.get(text) or _parse(_ASSIGNMENT, text)

    def assignment_text(self, assignment: DomainAssignment) -> str:
        """Return the document of an assignment."""
        return _ASSIGNMENT.dump_json(assignment).decode()

    def owners_text(self, table: OwnerTable) -> str:
        """Return the document of an owner table."""
        return _OWNERS.dump_json(table).decode()

    def record(self, text: str) -> RequestRecord:
        """Return the idempotency record in `text`."""
        document = _parse(_RECORD, text)
        answer = None
        if document.progress == Progress.DONE:
            answer = Answer(document.status, base64.b64decode(document.body))
        return RequestRecord(
            document.attempt,
            document.fingerprint,
            Progress(document.progress),
            answer,
        )

    def record_text(self, record: RequestRecord) -> str:
        """Return the document of an idempotency record."""
        answer = record.answer or Answer(0, b"")
        document = _RecordDocument(
            record.attempt,
            record.fingerprint,
            record.progress.value,
            answer.status,
            base64.b64encode(answer.body).decode(),
        )
        return _RECORD.dump_json(document).decode()


def _parse(adapter: TypeAdapter, text: str) -> Any:
    try:
        return adapter.validate_json(text)
    except ValidationError as error:
        raise MalformedDocument(f"a stored document is malformed: {error}") from error

"""JSON document of counted and committed usage in the store."""

import json

from pydantic import BaseModel, ConfigDict, NonNegativeInt, ValidationError

from poplarspar.exceptions import MalformedDocument
from poplarspar.state.duties import UsageReport
from poplarspar.state.usage import CountsByProcess, UsageRecord

# Requests by workspace, as a list in the order of the document's workspaces.
_Row = list[NonNegativeInt]


class _Document(BaseModel):
    # Newer versions of the document may have more fields.
    model_config = ConfigDict(extra="ignore", defer_build=True)

    reported: NonNegativeInt
    workspaces: list[str]
    committed: dict[NonNegativeInt, _Row]
    counts: dict[NonNegativeInt, dict[str, _Row]]


class UsageJson:
    """Document that names each workspace once, since a row for each process follows."""

    def text(self, record: UsageRecord) -> str:
        """Encode a record."""
        workspaces = _workspaces(record)

        def row(requests_by_workspace) -> _Row:
            return [requests_by_workspace.get(name, 0) for name in workspaces]

        document = {
            "reported": record.reported,
            "workspaces": workspaces,
            "committed": {
                report.window: row(report.requests_by_workspace)
                for report in record.committed
            },
            "counts": {
                window: {process: row(counts) for process, counts in by.items()}
                for window, by in record.counts_by_window.items()
            },
        }
        return json.dumps(document, separators=(",", ":"))

    def parse(self, text: str) -> UsageRecord:
        """Decode a record; raises `MalformedDocument`."""
        try:
            document = _Document.model_validate_json(text)
        except ValidationError as error:
            raise MalformedDocument(f"usage: {error.errors()[0]['msg']}") from error

        def counts(row: _Row) -> dict[str, int]:
            if len(row) != len(document.workspaces):
                raise MalformedDocument("usage: a row has another length")
            pairs = zip(document.workspaces, row, strict=True)
            return {name: requests for name, requests in pairs if requests}

        def counts_by_process(rows: dict[str, _Row]) -> CountsByProcess:
            return {process: counts(row) for process, row in rows.items()}

        return UsageRecord(
            document.reported,
            tuple(
                UsageReport(window, counts(row))
                for window, row in sorted(document.committed.items())
            ),
            {window: counts_by_process(by) for window, by in document.counts.items()},
        )


def _workspaces(record: UsageRecord) -> list[str]:
    names: set[str] = set()
    for report in record.committed:
        names |= report.requests_by_workspace.keys()
    for counts_by_process in record.counts_by_window.values():
        for counts in counts_by_process.values():
            names |= counts.keys()
    return sorted(names)

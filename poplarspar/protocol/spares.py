"""JSON document of warm spares that the planner writes to the store."""

import json

from pydantic import ConfigDict, TypeAdapter, ValidationError

from poplarspar.state.plan import Spare

_ROWS = TypeAdapter(
    list[tuple[str, int, str, str]], config=ConfigDict(defer_build=True)
)


def spares_text(spares: tuple[Spare, ...]) -> str:
    """Return the document of spares."""
    rows = sorted(
        (s.backend, s.started_ms, s.last_model, s.staging_model) for s in spares
    )
    return json.dumps(rows, separators=(",", ":"))


def parse_spares(text: str) -> tuple[Spare, ...]:
    """Return the spares in a document; none if it is malformed."""
    try:
        rows = _ROWS.validate_json(text)
    except ValidationError:
        return ()
    return tuple(Spare(*row) for row in rows)

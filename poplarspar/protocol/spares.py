"""The document of spares that a planner keeps in the store."""

import json

from pydantic import TypeAdapter, ValidationError

from poplarspar.state.plan import Spare

_ROWS = TypeAdapter(list[tuple[str, int, str, str]])


def spares_text(spares: tuple[Spare, ...]) -> str:
    """Return the document of spares."""
    rows = sorted(
        (s.backend, s.started_ms, s.last_model, s.staging_model) for s in spares
    )
    return json.dumps(rows, separators=(",", ":"))


def parse_spares(text: str) -> tuple[Spare, ...]:
    """Decode a document; nothing is known from one that can't be decoded."""
    try:
        rows = _ROWS.validate_json(text)
    except ValidationError:
        return ()
    return tuple(Spare(*row) for row in rows)

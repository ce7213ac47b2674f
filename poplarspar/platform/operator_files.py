"""The operator's configuration as a file, which a person may have written."""

import json
from collections import Counter

from poplarspar.exceptions import MalformedDocument
from poplarspar.platform.documents import parse_entries
from poplarspar.state.configuration_entries import ConfigurationEntries

MAX_SHOWN = 80


def parse_operator_file(text: str) -> ConfigurationEntries:
    """Decode a configuration in which no object names a field twice.

    Nodes take the last of such fields, and whoever wrote the file may mean the first.

    Raises
    ------
    MalformedDocument
        Names the fields.
    """
    entries = parse_entries(text)
    repeated: dict[str, None] = {}

    def collect(pairs: list[tuple[str, object]]) -> None:
        counts = Counter(name for name, _ in pairs)
        repeated.update((name, None) for name in counts if counts[name] > 1)

    # Numbers are left as text, since Python doesn't read those of thousands of digits.
    json.loads(text, object_pairs_hook=collect, parse_int=str, parse_float=str)
    if repeated:
        problems = tuple(
            f"field {name[:MAX_SHOWN]!r}: stands twice in an object, the last counts"
            for name in repeated
        )
        raise MalformedDocument(problems[0], problems)
    return entries

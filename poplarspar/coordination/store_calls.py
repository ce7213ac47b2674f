"""Counts of a node's calls to the store, for its metrics."""

from collections.abc import Callable

from poplarspar.coordination.store_ports import CallKind


class StoreCalls:
    """Counts calls by their kind and by the part of the store that they concern.

    Parameters
    ----------
    count : callable
        Called with the name of the counter of each call.
    part_by_prefix : dict of str to str
        Names of the parts, which no key belongs to twice.
    """

    def __init__(
        self, count: Callable[[str], None], part_by_prefix: dict[str, str]
    ) -> None:
        self._count = count
        self._part_by_prefix = part_by_prefix

    def record(self, kind: CallKind, key: str) -> None:
        """Count a call; `key` is a key or a prefix, empty for calls about leases."""
        part = next(
            (
                part
                for prefix, part in self._part_by_prefix.items()
                if key.startswith(prefix)
            ),
            "other",
        )
        name = f"store_{kind.value}_{part}" if key else f"store_{kind.value}"
        self._count(f"{name}_calls")

"""Values that a node knows under a prefix, and how it has read them."""

from enum import Enum

from poplarspar.coordination.store_ports import Change

# Messages between nodes carry unsigned numbers of 64 bits.
DIGESTS = 1 << 63


class ReadingWay(Enum):
    """How a watcher has read values."""

    WATCH = "watch"
    READ = "read"
    OLD_READ = "old_read"
    CATCH_UP = "catch_up"


class KnownValues:
    """Revisions of all present values."""

    def __init__(self) -> None:
        self._revision_by_key: dict[str, int] = {}

    def replace(self, items: tuple[Change, ...]) -> None:
        """Take over all values."""
        self._revision_by_key = {item.key: item.revision for item in items}

    def apply(self, items: tuple[Change, ...]) -> None:
        """Apply changes, in order."""
        for item in items:
            if item.text is None:
                self._revision_by_key.pop(item.key, None)
            else:
                self._revision_by_key[item.key] = item.revision

    def digest(self) -> int:
        """Return the sum of the revisions, which shows omitted changes.

        The newest revision alone hides older ones that a watch has omitted.
        """
        return sum(self._revision_by_key.values()) % DIGESTS

"""The stored record of usage, which holders of the duties share."""

from typing import Protocol

from poplarspar.coordination.store_ports import Store
from poplarspar.events import Event
from poplarspar.exceptions import (
    MalformedDocument,
    RevisionConflict,
    StoreUnavailable,
)
from poplarspar.logs import log_event
from poplarspar.state.usage import UsageRecord

# Outside of the nodes' prefix, so that a write wakes no other node.
USAGE_KEY = "poplarspar-usage"


class UsageCodec(Protocol):
    """Encoding of the record."""

    def text(self, record: UsageRecord) -> str:
        """Encode a record."""

    def parse(self, text: str) -> UsageRecord:
        """Decode a record; raises `MalformedDocument`."""


class UsageLedger:
    """Reads the record and writes it by compare-and-swap.

    Attributes
    ----------
    record : UsageRecord or None
        Last record read or written; None while this node does not know the stored
        one, so that it must read it before it writes.
    """

    def __init__(self, store: Store, codec: UsageCodec) -> None:
        self._store = store
        self._codec = codec
        self._revision = 0
        self.record: UsageRecord | None = None

    def forget(self) -> None:
        """Read the record before the next use, since another node may write it."""
        self.record = None

    def read(self) -> bool:
        """Read the record and return whether that succeeded.

        A record that can't be decoded is left as it is: with its commits unknown, a
        window could be reported with two different counts.
        """
        try:
            stored = self._store.read(USAGE_KEY)
            record = (
                self._codec.parse(stored.text) if stored.revision else UsageRecord()
            )
        except (StoreUnavailable, MalformedDocument) as error:
            self._log(error)
            return False
        self._revision, self.record = stored.revision, record
        return True

    def write(self, record: UsageRecord) -> bool:
        """Write the record if the stored one is still the known one.

        Returns whether it was written. Otherwise the record must be read again: another
        node wrote it, or the answer was lost and the write may have taken effect.
        """
        if self.record is None:
            return False
        text = self._codec.text(record)
        self.record = None
        try:
            revision = self._store.compare_and_swap(USAGE_KEY, self._revision, text)
        except (StoreUnavailable, RevisionConflict) as error:
            self._log(error)
            return False
        self._revision, self.record = revision, record
        return True

    @staticmethod
    def _log(error: Exception) -> None:
        log_event(Event.USAGE_NOT_STORED, cause=f"{type(error).__name__}: {error}")

"""Status of entries, as reported to stewards."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EntryStatus:
    """An entry's latest status report to its steward.

    Attributes
    ----------
    name : str
        Identifier of the entry's process.
    lending_address : str
        ``host:port`` at which the entry lends slots.
    revision : int
        Store revision of the entry's view.
    leaving : bool
        Whether the entry is shutting down.
    running : int
        Requests in flight at the entry.
    drained : tuple of str
        Handovers for which the entry has drained its requests, each as
        ``backend@generation``.
    """

    name: str
    zone: str
    lending_address: str
    revision: int
    leaving: bool
    running: int
    drained: tuple[str, ...] = ()

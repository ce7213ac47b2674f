"""What stewards know of entries."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EntryStatus:
    """An entry's last word to its steward.

    Attributes
    ----------
    name : str
        Identifier of the entry's process.
    lending_address : str
        ``host:port`` at which it lends slots.
    revision : int
        Store revision that it acts on.
    leaving : bool
        Whether it is shutting down.
    running : int
        Requests that run there.
    drained : tuple of str
        Handovers that may go ahead, each as ``backend@generation``.
    """

    name: str
    zone: str
    lending_address: str
    revision: int
    leaving: bool
    running: int
    drained: tuple[str, ...] = ()

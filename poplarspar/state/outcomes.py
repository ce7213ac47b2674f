"""Outcomes of requests for which an entry took a slot."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Completed:
    """The backend server sent a complete answer."""

    incarnation: str


@dataclass(frozen=True)
class Broken:
    """The backend server failed and may have restarted."""


@dataclass(frozen=True)
class Unused:
    """The entry sent nothing, or cancelled the stream itself."""


Outcome = Completed | Broken | Unused

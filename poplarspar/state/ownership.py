"""Ownership of the capacity of backend servers by entries."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Ownership:
    """The owner of one backend server's capacity.

    Attributes
    ----------
    owner : str
        Entry that admits requests to the backend server, empty for none.
    previous : str
        Entry whose requests may still be in flight there; while it is set, the
        owner admits no requests.
    generation : int
        Generation of the table that last changed this ownership.
    """

    owner: str
    previous: str = ""
    generation: int = 0


@dataclass(frozen=True)
class OwnerTable:
    """Owners of all backend servers, and lending addresses of entries."""

    generation: int = 0
    by_backend: dict[str, Ownership] = field(default_factory=dict)
    lender_address_by_entry: dict[str, str] = field(default_factory=dict)

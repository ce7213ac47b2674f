"""Versions of a soak's configuration, and what each allows."""

from dataclasses import dataclass

LEDGER = "ledger"
VAULT = "vault"
# Services between which the route `split` is split, in turn.
SPLITS = ((LEDGER,), (LEDGER, VAULT), (VAULT,))
# A version's key is valid in so many versions.
KEY_VERSIONS = 2
MOVED_ROUTE = "moved"
SPLIT_ROUTE = "split"
KEY_ROUTE = "look"


@dataclass(frozen=True)
class Version:
    """What differs between versions of the configuration.

    Attributes
    ----------
    own_route : str
        Route that only this version has.
    moved_to : str
        Service of the route `moved`.
    split : tuple of str
        Services between which the route `split` is split.
    keys : tuple of str
        Keys of the workspace that probes use.
    """

    number: int
    own_route: str
    moved_to: str
    split: tuple[str, ...]
    keys: tuple[str, ...]


def version(number: int) -> Version:
    """Return what a version of the configuration contains."""
    first_key = max(1, number - KEY_VERSIONS + 1)
    return Version(
        number,
        own_route=f"v{number}",
        moved_to=(LEDGER, VAULT)[number % 2],
        split=SPLITS[number % len(SPLITS)],
        keys=tuple(f"key-v{n}" for n in range(first_key, number + 1)),
    )


@dataclass(frozen=True)
class OwnRoute:
    """Whether a version's own route exists."""

    number: int
    exists: bool


@dataclass(frozen=True)
class RanAt:
    """The service at which a request for a route that versions change has run."""

    route: str
    service: str


@dataclass(frozen=True)
class KeyKnown:
    """Whether a key is valid."""

    key: str
    is_valid: bool


Outcome = OwnRoute | RanAt | KeyKnown


def allows(number: int, outcome: Outcome) -> bool:
    """Return whether a version of the configuration allows an outcome."""
    content = version(number)
    match outcome:
        case OwnRoute(own, exists):
            return (own == number) == exists
        case RanAt("moved", service):
            return content.moved_to == service
        case RanAt(_, service):
            return service in content.split
        case KeyKnown(key, is_valid):
            return (key in content.keys) == is_valid

"""Compare-and-swap that reads the key if the store does not confirm the write."""

from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.store_ports import (
    Store,
)
from poplarspar.exceptions import RevisionConflict, StoreUnavailable
from poplarspar.state.snapshot import StoredValue


@dataclass(frozen=True)
class Written:
    """The write took effect; `value`, written or later, contains the change."""

    value: StoredValue


@dataclass(frozen=True)
class Conflicted:
    """The write did not take effect; `current` is the value of the key."""

    current: StoredValue


@dataclass(frozen=True)
class Unknown:
    """Neither the store's answer nor a read of the key determined the outcome."""


SwapOutcome = Written | Conflicted | Unknown


def compare_and_swap(
    store: Store,
    key: str,
    expected: int,
    text: str,
    contains_change: Callable[[str], bool],
) -> SwapOutcome:
    """Write `text` if `key` is at revision `expected`, and determine the outcome.

    Parameters
    ----------
    contains_change : callable
        Returns whether a text read from the key contains this change.
    """
    try:
        return Written(
            StoredValue(key, store.compare_and_swap(key, expected, text), text)
        )
    except RevisionConflict:
        pass
    except StoreUnavailable:
        pass
    return _resolve_outcome(store, key, expected, contains_change)


def _resolve_outcome(
    store: Store, key: str, expected: int, contains_change: Callable[[str], bool]
) -> SwapOutcome:
    try:
        current = store.read(key)
    except StoreUnavailable:
        return Unknown()
    if current.revision and contains_change(current.text):
        return Written(current)
    if current.revision == expected:
        # The unanswered write may still reach the store.
        return Unknown()
    return Conflicted(current)

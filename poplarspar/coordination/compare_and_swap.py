"""Compare-and-swap with a definite outcome where one can be had."""

from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.ports import Store
from poplarspar.exceptions import RevisionConflict, StoreUnavailable
from poplarspar.state.snapshot import StoredValue


@dataclass(frozen=True)
class Written:
    """The write took effect; the key holds `value` or a successor of it."""

    value: StoredValue


@dataclass(frozen=True)
class Conflicted:
    """The write did not take effect, because the key holds `current`."""

    current: StoredValue


@dataclass(frozen=True)
class Unknown:
    """No answer came, and the key could not be read either."""


SwapOutcome = Written | Conflicted | Unknown


def compare_and_swap(
    store: Store,
    key: str,
    expected: int,
    text: str,
    contains_change: Callable[[str], bool],
) -> SwapOutcome:
    """Write `text` if `key` is at revision `expected`, and find out whether it did.

    Parameters
    ----------
    holds : callable
        Says whether a text of the key contains this very change.
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
        # The lost write may still be on its way to the store.
        return Unknown()
    return Conflicted(current)

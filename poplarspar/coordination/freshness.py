"""Whether a node's view is recent enough to act on.

A steward is fresh if, within the bound, it heard from the store, or from a
majority of the roster none of which knew a newer revision. Contacts are dated
by the time at which the question was sent, so a late answer never makes a view
look newer than it is. Only peers that were once fresh since their start count:
a restarted peer may have forgotten a revision that it had acknowledged.
"""

import time
from dataclasses import dataclass

FRESHNESS_BOUND_S = 3.0
LOAN_MAX_AGE_S = 0.5
CLOCK_MARGIN_S = 0.5
WITHDRAWAL_DELAY_S = FRESHNESS_BOUND_S + LOAN_MAX_AGE_S + CLOCK_MARGIN_S


@dataclass
class PeerContact:
    """The last answers of a peer.

    Attributes
    ----------
    asked_at : float
        When the last question was sent whose answer bears on freshness.
    heard_at : float
        When the last question was sent that got any answer.
    """

    confirmed_at: float = float("-inf")
    last_contact_at: float = float("-inf")
    in_force: int = 0


class StewardFreshness:
    """Freshness of a steward among the roster.

    Parameters
    ----------
    name : str
        Name of this steward.
    roster : list of str
        Names of all stewards, this one included.
    """

    def __init__(self, name: str, roster: list[str]) -> None:
        self._name = name
        self._contact_by_peer = {peer: PeerContact() for peer in roster if peer != name}
        self._majority = len(roster) // 2 + 1
        self._store_confirmed_at = float("-inf")
        self.synced = False

    def record_store_answer(self, sent_at: float) -> None:
        """Take in that a read sent at `asked_at` was answered and merged."""
        self._store_confirmed_at = max(self._store_confirmed_at, sent_at)
        self.synced = True

    def record_peer_answer(
        self, peer: str, sent_at: float, *, synced: bool, newer: bool, in_force: int
    ) -> None:
        """Take in a peer's answer to a question sent at `asked_at`.

        Parameters
        ----------
        synced : bool
            Whether the peer was fresh at some time since its start.
        newer : bool
            Whether the peer knows a newer revision than this node.
        in_force : int
            Revision that the peer and its entries act on.
        """
        contact = self._contact_by_peer[peer]
        contact.last_contact_at = max(contact.last_contact_at, sent_at)
        contact.in_force = in_force if synced else 0
        if synced and not newer:
            contact.confirmed_at = max(contact.confirmed_at, sent_at)
        if self._peers_confirmed_at() > float("-inf"):
            self.synced = True

    def fresh_until(self) -> float:
        """Return the monotonic time up to which this node is fresh."""
        return (
            max(self._store_confirmed_at, self._peers_confirmed_at())
            + FRESHNESS_BOUND_S
        )

    def is_fresh(self) -> bool:
        """Return whether this node may act on its view now."""
        return time.monotonic() < self.fresh_until()

    def reaches_majority(self) -> bool:
        """Return whether a majority of the roster answered within the bound."""
        oldest = time.monotonic() - FRESHNESS_BOUND_S
        heard = sum(
            contact.last_contact_at > oldest
            for contact in self._contact_by_peer.values()
        )
        return heard + 1 >= self._majority

    def is_in_force_at_majority(self, revision: int, own: int) -> bool:
        """Return whether a majority acts on `revision` or a newer one."""
        holders = sum(
            contact.in_force >= revision for contact in self._contact_by_peer.values()
        )
        return holders + (own >= revision) >= self._majority

    def stewards_acting_on(self, revision: int, own: int, own_name: str) -> list[str]:
        """Return the stewards that act on `revision` or a newer one."""
        names = [
            peer
            for peer, contact in self._contact_by_peer.items()
            if contact.in_force >= revision
        ]
        return sorted(names + [own_name] if own >= revision else names)

    def _peers_confirmed_at(self) -> float:
        # The node itself counts once it has been fresh; before that it may
        # have forgotten what it acknowledged, and needs a majority of others.
        needed = self._majority - 1 if self.synced else self._majority
        if needed == 0:
            return time.monotonic() if self.synced else float("-inf")
        times = sorted(
            (contact.confirmed_at for contact in self._contact_by_peer.values()),
            reverse=True,
        )
        return times[needed - 1] if len(times) >= needed else float("-inf")


class EntryFreshness:
    """Freshness of an entry, granted by the steward that it is linked to."""

    def __init__(self) -> None:
        self._fresh_until = float("-inf")

    def extend(self, sent_at: float, fresh_for_s: float) -> None:
        """Take in a steward's answer to a question sent at `asked_at`."""
        self._fresh_until = max(self._fresh_until, sent_at + fresh_for_s)

    def is_fresh(self) -> bool:
        """Return whether this entry may start new work now."""
        return time.monotonic() < self._fresh_until

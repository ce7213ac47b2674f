"""Freshness: whether a node's view is recent enough to act on.

A steward is fresh if, within `FRESHNESS_BOUND_S`, the store answered it, or a
majority of the stewards answered it and none of them knew a newer revision. An
answer counts from the time at which its request was sent, so a late answer never
makes a view look newer than it is. Only peers that have been fresh at least
once since their start count, because a restarted peer may have lost a revision
that it had acknowledged.
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

    Times are monotonic, in seconds.

    Attributes
    ----------
    confirmed_at : float
        Send time of the last request that a synced peer answered without knowing
        a newer revision.
    last_contact_at : float
        Send time of the last request that the peer answered.
    in_force : int
        Revision that the peer and its entries act on, 0 if the peer is not synced.
    """

    confirmed_at: float = float("-inf")
    last_contact_at: float = float("-inf")
    in_force: int = 0


class StewardFreshness:
    """Freshness of a steward, from answers of the store and of its peers.

    Parameters
    ----------
    name : str
        Name of this steward.
    roster : list of str
        Names of all stewards, including this one.
    """

    def __init__(self, name: str, roster: list[str]) -> None:
        self._name = name
        self._contact_by_peer = {peer: PeerContact() for peer in roster if peer != name}
        self._majority = len(roster) // 2 + 1
        self._store_confirmed_at = float("-inf")
        self.synced = False

    def record_store_answer(self, sent_at: float) -> None:
        """Record that the store answered a read sent at `sent_at`.

        The snapshot already contains the values of that answer.
        """
        self._store_confirmed_at = max(self._store_confirmed_at, sent_at)
        self.synced = True

    def record_peer_answer(
        self, peer: str, sent_at: float, *, synced: bool, newer: bool, in_force: int
    ) -> None:
        """Record a peer's answer to a request sent at `sent_at`.

        Parameters
        ----------
        synced : bool
            Whether the peer has been fresh at least once since its start.
        newer : bool
            Whether the peer knows a newer revision than this steward.
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
        """Return the monotonic time until which this steward is fresh."""
        return (
            max(self._store_confirmed_at, self._peers_confirmed_at())
            + FRESHNESS_BOUND_S
        )

    def is_fresh(self) -> bool:
        """Return whether this steward may act on its view now."""
        return time.monotonic() < self.fresh_until()

    def reaches_majority(self) -> bool:
        """Return whether a majority answered requests sent within the bound."""
        oldest = time.monotonic() - FRESHNESS_BOUND_S
        answered = sum(
            contact.last_contact_at > oldest
            for contact in self._contact_by_peer.values()
        )
        return answered + 1 >= self._majority

    def is_in_force_at_majority(self, revision: int, own: int) -> bool:
        """Return whether a majority of stewards acts on `revision` or a newer one.

        Parameters
        ----------
        own : int
            Revision that this steward and its entries act on.
        """
        acting_peers = sum(
            contact.in_force >= revision for contact in self._contact_by_peer.values()
        )
        return acting_peers + (own >= revision) >= self._majority

    def stewards_acting_on(self, revision: int, own: int, own_name: str) -> list[str]:
        """Return the sorted names of stewards that act on `revision` or a newer one."""
        names = [
            peer
            for peer, contact in self._contact_by_peer.items()
            if contact.in_force >= revision
        ]
        return sorted(names + [own_name] if own >= revision else names)

    def _peers_confirmed_at(self) -> float:
        # This steward counts towards the majority once it has been fresh. Before,
        # it may have lost revisions that it had acknowledged, so it needs a
        # majority of other stewards.
        needed = self._majority - 1 if self.synced else self._majority
        if needed == 0:
            return time.monotonic() if self.synced else float("-inf")
        times = sorted(
            (contact.confirmed_at for contact in self._contact_by_peer.values()),
            reverse=True,
        )
        return times[needed - 1] if len(times) >= needed else float("-inf")


class EntryFreshness:
    """Freshness of an entry, granted by the steward that it is connected to."""

    def __init__(self) -> None:
        self._fresh_until = float("-inf")

    def extend(self, sent_at: float, fresh_for_s: float) -> None:
        """Extend the freshness by a steward's answer to a request sent at `sent_at`."""
        self._fresh_until = max(self._fresh_until, sent_at + fresh_for_s)

    def is_fresh(self) -> bool:
        """Return whether this entry may start new work now."""
        return time.monotonic() < self._fresh_until

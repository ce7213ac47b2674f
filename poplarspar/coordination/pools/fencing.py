"""Fencing tokens for orders."""

# Orders that a planner can send before its tokens reach the next planner's range. The
# store's revision rises by more than one between two planners.
TOKENS_PER_TERM = 1 << 20


class FencingTokens:
    """Generates fencing tokens, which rise with each order and each planner.

    A backend server refuses an order with a lower token than its last one, so a
    delayed order can't undo a newer one.

    Parameters
    ----------
    enforced : bool
        Whether backend servers check the tokens.
    """

    def __init__(self, enforced: bool = True) -> None:
        self.enforced = enforced
        self.last = 0
        self.superseded = False
        self._revision = 0

    def start_term(self, revision: int) -> None:
        """Continue above the tokens of all earlier planners.

        A second call with the same revision changes nothing.

        Parameters
        ----------
        revision : int
            Store revision at which this node wrote its planner lease.
        """
        if revision == self._revision:
            return
        self._revision = revision
        self.last = revision * TOKENS_PER_TERM
        self.superseded = False

    def next(self) -> int:
        """Return the next fencing token."""
        self.last += 1
        return self.last

    def is_of_term(self, token: int) -> bool:
        """Return whether a token, or an epoch, is of the present term."""
        return token > self._revision * TOKENS_PER_TERM

    def mark_superseded(self) -> None:
        """Record that a newer planner has sent orders."""
        self.superseded = True

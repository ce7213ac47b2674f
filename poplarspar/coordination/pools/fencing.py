"""Numbers of orders that rise with each order and with each planner."""

# Orders that one planner may give before its numbers meet the next planner's; the
# store's revision rises by more than one between two planners.
TOKENS_PER_TERM = 1 << 20


class FencingTokens:
    """Gives each order a higher number than all orders before it.

    A backend server refuses lower numbers than it has seen, so an order that is
    carried out late can't undo a newer one.
    """

    def __init__(self) -> None:
        self.last = 0
        self.superseded = False
        self._revision = 0

    def start_term(self, revision: int) -> None:
        """Begin above all numbers of earlier planners, unless begun already.

        Parameters
        ----------
        revision : int
            Revision at which this node's lease was written.
        """
        if revision == self._revision:
            return
        self._revision = revision
        self.last = revision * TOKENS_PER_TERM
        self.superseded = False

    def next(self) -> int:
        """Return the next number."""
        self.last += 1
        return self.last

    def mark_superseded(self) -> None:
        """Note that a newer planner has given orders."""
        self.superseded = True

"""Orders to join and leave replica groups that may still arrive."""

from dataclasses import dataclass

from poplarspar.coordination.pools.fencing import FencingTokens
from poplarspar.state.orders import Join, Leave


@dataclass
class SentOrder:
    """An order to one backend server to join or leave a group.

    Attributes
    ----------
    accepted_token : int or None
        Fencing token with which it was accepted, None if it was not answered so far.
    epoch_before : int
        Newest epoch in earlier orders.
    """

    order: Join | Leave
    accepted_token: int | None
    epoch_before: int


class MembershipOrders:
    """The last order to each backend server to join or leave a group.

    An order without an answer may arrive seconds later, and so may those of an earlier
    planner. A backend server refuses them once it has accepted a newer order.
    """

    def __init__(self, tokens: FencingTokens) -> None:
        self._tokens = tokens
        self._last_by_id: dict[str, SentOrder] = {}

    def record_sent(self, id: str, order: Join | Leave) -> SentOrder:
        """Record an order before it is sent, and return its record.

        An answer belongs to this record, whatever has been sent since.
        """
        last = self._last_by_id.get(id)
        if last is None:
            self._last_by_id[id] = SentOrder(order, None, -1)
        elif last.order != order:
            epoch_before = max(last.epoch_before, last.order.epoch)
            self._last_by_id[id] = SentOrder(order, None, epoch_before)
        return self._last_by_id[id]

    def are_settled(self, id: str, group: str, epoch: int) -> bool:
        """Return whether a member that reports a group refuses orders from before.

        It has accepted a join of this term that no other order has followed, or it can
        only be a member because it has.
        """
        last = self._last_by_id.get(id)
        if last is None or not isinstance(last.order, Join):
            return False
        if (last.order.group, last.order.epoch) != (group, epoch):
            return False
        if last.accepted_token is not None:
            return self._tokens.is_of_term(last.accepted_token)
        return self._tokens.is_of_term(epoch) and epoch > last.epoch_before

    def may_end(self, id: str, group: str, epoch: int) -> bool:
        """Return whether an order of this planner may end a membership."""
        return id in self._last_by_id and not self.are_settled(id, group, epoch)

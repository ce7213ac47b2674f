"""Orders of backend servers for one service, and what the list shows of them."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field

from poplarspar.state.duties import (
    CapacityOrder,
    DutyResult,
    NotAnswered,
    Performed,
    Postponed,
    Superseded,
)

# Backend servers that leave show it in the list within this time.
SHOWN_S = 5.0
# New backend servers enter the list within this time after they have booted.
LISTED_S = 3.0
# Groups form again from spares in this time, before the next step.
STEP_PAUSE_S = 2.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 8.0


@dataclass
class ZoneOrders:
    """Orders for one availability zone.

    Attributes
    ----------
    arriving : int
        Ordered backend servers that the list doesn't show yet.
    departing : int
        Backend servers that the last order takes away and the list still shows.
    due_at : float
        Monotonic time until which the list has time to show the last order.
    retry_at : float
        Monotonic time before which nothing is ordered.
    answered : bool
        Whether the platform has accepted the last order.
    """

    ordered: int | None = None
    arriving: int = 0
    departing: int = 0
    due_at: float = float("-inf")
    retry_at: float = float("-inf")
    retry_s: float = MIN_RETRY_S
    answered: bool = True
    present_ids: frozenset[str] = frozenset()
    vanished_at: float = float("-inf")


@dataclass(frozen=True)
class ListChange:
    """What the list shows since it was last compared with the orders.

    Attributes
    ----------
    lost : int
        Backend servers that no longer answer.
    not_shown : tuple of str
        Zones whose last order the list should show by now.
    """

    lost: int
    not_shown: tuple[str, ...]


@dataclass
class CapacityOrders:
    """Orders of one service in a term; they start from the list, not from memory.

    Parameters
    ----------
    boot_s : float
        Time until an ordered backend server serves, in seconds.
    """

    service: str
    boot_s: float
    by_zone: dict[str, ZoneOrders] = field(default_factory=dict)

    def observe(
        self, now: float, present_by_zone: Mapping[str, Set[str]], silent: Set[str]
    ) -> ListChange:
        """Compare the list with the orders.

        Parameters
        ----------
        present_by_zone : mapping of str to set of str
            Ids of the backend servers that answer and are not leaving.
        silent : set of str
            Ids of those that don't answer. One that vanishes from the list while it
            answers leaves unannounced, and is no loss.
        """
        lost = 0
        not_shown = []
        for zone, ids in present_by_zone.items():
            orders = self.by_zone.setdefault(
                zone, ZoneOrders(present_ids=frozenset(ids))
            )
            left = orders.present_ids - ids
            taken = min(orders.departing, len(left))
            lost += len(left & silent)
            if orders.departing and left:
                orders.vanished_at = now
            orders.departing -= taken
            orders.arriving = max(0, orders.arriving - len(ids - orders.present_ids))
            orders.present_ids = frozenset(ids)
            if now >= orders.due_at and (orders.arriving or orders.departing):
                not_shown.append(zone)
                orders.arriving = orders.departing = 0
        return ListChange(lost, tuple(not_shown))

    def expected(self, zone: str) -> int:
        """Return how many backend servers a zone has when its last order is done."""
        orders = self.by_zone[zone]
        return len(orders.present_ids) + orders.arriving - orders.departing

    def unconfirmed(self) -> int:
        """Return for how many zones the list doesn't show the last order yet."""
        return sum(
            bool(orders.arriving or orders.departing or not orders.answered)
            for orders in self.by_zone.values()
        )

    def is_settled(self, now: float) -> bool:
        """Return whether the list shows all lower orders, and groups have formed."""
        return not any(
            orders.departing or now < orders.vanished_at + STEP_PAUSE_S
            for orders in self.by_zone.values()
        )

    def repeated(self, now: float) -> list[CapacityOrder]:
        """Return the orders for more that had no answer and that the list lacks."""
        return [
            CapacityOrder(self.service, zone, orders.ordered)
            for zone, orders in self.by_zone.items()
            if not orders.answered
            and orders.arriving
            and now >= orders.retry_at
            and len(orders.present_ids) < orders.ordered
        ]

    def more(self, now: float, zone: str, count: int) -> CapacityOrder | None:
        """Return the order for `count` backend servers, None if it is too soon."""
        if now < self.by_zone[zone].retry_at:
            return None
        return CapacityOrder(self.service, zone, count)

    def fewer(self, now: float, zone: str, step: int) -> CapacityOrder | None:
        """Return the order that takes `step` backend servers away, None if too soon."""
        orders = self.by_zone[zone]
        if now < orders.retry_at or step <= 0:
            return None
        return CapacityOrder(self.service, zone, len(orders.present_ids) - step)

    def record(self, now: float, order: CapacityOrder, result: DutyResult) -> None:
        """Record the platform's answer to an order."""
        orders = self.by_zone[order.zone]
        match result:
            case Postponed() | Superseded():
                # The order has no effect.
                self._pause(now, orders)
                return
            case Performed():
                orders.answered = True
                orders.retry_s = MIN_RETRY_S
                orders.retry_at = now
            case NotAnswered():
                # It may take effect at any time, or never.
                orders.answered = False
                self._pause(now, orders)
        present = len(orders.present_ids)
        orders.ordered = order.count
        orders.arriving = max(0, order.count - present)
        orders.departing = max(0, present - order.count)
        shown_s = self.boot_s + LISTED_S if orders.arriving else SHOWN_S
        orders.due_at = now + shown_s

    @staticmethod
    def _pause(now: float, orders: ZoneOrders) -> None:
        orders.retry_at = now + orders.retry_s
        orders.retry_s = min(MAX_RETRY_S, 2 * orders.retry_s)

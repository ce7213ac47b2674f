"""Planning of the replica groups that a pool of backend servers forms."""

from poplarspar.coordination.pools.dispatch import OrderDispatcher, OrderPort
from poplarspar.coordination.pools.fencing import FencingTokens
from poplarspar.coordination.pools.health_monitor import HealthMonitor, ReportPort
from poplarspar.coordination.pools.plan_exchange import PlanExchange
from poplarspar.coordination.pools.planner import PoolPlanner

__all__ = [
    "FencingTokens",
    "HealthMonitor",
    "OrderDispatcher",
    "OrderPort",
    "PlanExchange",
    "PoolPlanner",
    "ReportPort",
]

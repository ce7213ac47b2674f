"""Replica groups of several models, formed from a pool of backend servers."""

from poplarspar.coordination.pools.desk import PlanDesk
from poplarspar.coordination.pools.fences import Fences
from poplarspar.coordination.pools.giving import OrderGiver, OrderPort
from poplarspar.coordination.pools.planner import PoolPlanner
from poplarspar.coordination.pools.survey import ReportPort, Survey

__all__ = [
    "Fences",
    "OrderGiver",
    "OrderPort",
    "PlanDesk",
    "PoolPlanner",
    "ReportPort",
    "Survey",
]

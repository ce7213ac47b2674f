"""Gauges of a node's metrics page."""

import resource

from poplarspar.coordination.announcements import Announcements, StoreReader
from poplarspar.coordination.fleet import FleetUpdater
from poplarspar.coordination.forwarding import Targets
from poplarspar.coordination.quarantine import Quarantine
from poplarspar.coordination.session import Session
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.planning import PlanningPart
from poplarspar.state.serving import ConfigurationBasis
from poplarspar.transport.turns import TURNS


def process_gauges() -> dict[str, float]:
    """Return what this process uses of its VM."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "memory_peak_bytes": usage.ru_maxrss * 1024,
        "processor_seconds": usage.ru_utime + usage.ru_stime,
        "turns_ended": TURNS.ended,
    }


def store_gauges(
    basis: ConfigurationBasis,
    era: int,
    health: StoreHealth,
    announcements: Announcements,
) -> dict[str, float]:
    """Return what a node knows of the store, and of the configuration in it."""
    reader = announcements.reader_of_operator()
    return {
        "configuration_version": basis.version,
        "configuration_age_seconds": basis.age_s,
        "configuration_answered_seconds": basis.answered_s,
        "store_era": era,
        "store_steady_seconds": health.healthy_s(),
        "store_read_by_planner": reader is StoreReader.FOLLOWER,
    }


def fleet_gauges(
    session: Session,
    planning: PlanningPart,
    fleet_updater: FleetUpdater,
    targets: Targets,
    quarantine: Quarantine,
) -> dict[str, float]:
    """Return what a node knows of the planner and of the backend servers."""
    return {
        "planner": session.is_planner,
        "plan_age_seconds": min(planning.plan_age_s(), 1e9),
        "backend_servers": len(fleet_updater.fleet.backends_by_id),
        "replica_groups_serving": len(planning.plan.groups),
        "prompt_parts_quarantined": len(quarantine.entries()),
        "backend_servers_leaving": targets.notices.leaving_count(),
        "backend_servers_paused": targets.notices.paused_count(),
        "backend_servers_limited": targets.rate_limits.count(),
        "evacuated_zones": len(fleet_updater.fleet.evacuated_zones),
        **targets.prompt_use.gauges(),
    }

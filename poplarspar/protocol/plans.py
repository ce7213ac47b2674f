"""Cap'n Proto encoding of nodes' loads and of the planner's plan."""

import time

from poplarspar.state.plan import (
    FleetPlan,
    GroupLoad,
    ModelDemand,
    NodeLoad,
    PlannedGroup,
    Spare,
)
from poplarspar.state.rate_limits import RateLimit


def set_fields(builder, **fields):
    """Set the named fields of a builder and return it."""
    for name, value in fields.items():
        setattr(builder, name, value)
    return builder


def set_node_load(builder, load: NodeLoad) -> None:
    """Encode a node's load."""
    builder.planSerial = load.plan_serial
    groups = builder.init("groups", len(load.groups))
    for item, group in zip(groups, load.groups, strict=True):
        set_fields(
            item,
            head=group.head,
            epoch=group.epoch,
            inFlight=group.in_flight,
            readingTokens=group.reading_tokens,
            stalledMs=group.stalled_ms,
        )
    demands = builder.init("demands", len(load.demands))
    for item, demand in zip(demands, load.demands, strict=True):
        set_fields(
            item, service=demand.service, model=demand.model, groups=demand.groups
        )
    _set_rate_limits(builder, load.rate_limits)


def read_node_load(fields) -> NodeLoad:
    """Decode a node's load."""
    return NodeLoad(
        fields.planSerial,
        tuple(
            GroupLoad(g.head, g.epoch, g.inFlight, g.readingTokens, g.stalledMs)
            for g in fields.groups
        ),
        tuple(ModelDemand(d.service, d.model, d.groups) for d in fields.demands),
        _read_rate_limits(fields),
    )


def set_plan(builder, plan: FleetPlan) -> None:
    """Encode a plan."""
    set_fields(
        builder,
        serial=plan.serial,
        nodes=plan.node_count,
        operatorRevision=plan.operator_revision,
        quarantineRevision=plan.quarantine_revision,
    )
    _set_rate_limits(builder, plan.rate_limits)
    groups = builder.init("groups", len(plan.groups))
    for item, group in zip(groups, plan.groups, strict=True):
        set_fields(
            item,
            head=group.head,
            name=group.name,
            epoch=group.epoch,
            model=group.model,
            inFlight=group.in_flight,
            readingTokens=group.reading_tokens,
            stalled=group.stalled,
            pace=group.slowdown,
        )
    spares = builder.init("spares", len(plan.spares))
    for item, spare in zip(spares, plan.spares, strict=True):
        set_fields(
            item,
            backend=spare.backend,
            startedMs=spare.started_ms,
            model=spare.last_model,
            loading=spare.staging_model,
        )


def read_plan(fields) -> FleetPlan:
    """Decode a plan."""
    return FleetPlan(
        fields.serial,
        fields.nodes,
        tuple(
            PlannedGroup(
                g.head,
                g.name,
                g.epoch,
                g.model,
                g.inFlight,
                g.readingTokens,
                g.stalled,
                g.pace,
            )
            for g in fields.groups
        ),
        tuple(Spare(s.backend, s.startedMs, s.model, s.loading) for s in fields.spares),
        fields.operatorRevision,
        fields.quarantineRevision,
        _read_rate_limits(fields),
    )


def _set_rate_limits(builder, limits: tuple[RateLimit, ...]) -> None:
    """Encode limits with ages instead of times, since nodes' clocks differ."""
    now = time.monotonic()
    items = builder.init("rateLimits", len(limits))
    for item, limit in zip(items, limits, strict=True):
        set_fields(
            item,
            backend=limit.backend,
            startedMs=limit.started_ms,
            limited=limit.requests_per_s is not None,
            requestsPerS=limit.requests_per_s or 0.0,
            ageMs=max(0, round((now - limit.observed_at) * 1000)),
        )


def _read_rate_limits(fields) -> tuple[RateLimit, ...]:
    now = time.monotonic()
    return tuple(
        RateLimit(
            item.backend,
            item.startedMs,
            item.requestsPerS if item.limited else None,
            now - item.ageMs / 1000,
        )
        for item in fields.rateLimits
    )

"""Cap'n Proto encoding of nodes' loads and of updates of the planner's plan."""

import time

from poplarspar.state.plan import (
    AdmittedShare,
    ClassDemand,
    GroupLoad,
    GroupTotal,
    ModelDemand,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
    Spare,
    StoreRevisions,
)
from poplarspar.state.rate_limits import RateLimit
from poplarspar.state.usage import NodeUsage, UsageCount

# Callers name the numbers of tokens, whose sums may exceed a field; ages can too.
MAX_UINT32 = 2**32 - 1


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
            readingTokens=min(group.reading_tokens, MAX_UINT32),
            stalledMs=group.stalled_ms,
        )
    _set_demands(builder, load.demands)
    _set_rate_limits(builder, load.rate_limits)
    _set_usage(builder.init("usage"), load.usage)
    _set_class_demands(builder, load.class_demands)


def read_node_load(fields) -> NodeLoad:
    """Decode a node's load."""
    return NodeLoad(
        fields.planSerial,
        tuple(
            GroupLoad(g.head, g.epoch, g.inFlight, g.readingTokens, g.stalledMs)
            for g in fields.groups
        ),
        _read_demands(fields),
        _read_rate_limits(fields),
        _read_usage(fields.usage),
        tuple(
            ClassDemand(
                d.service,
                d.model,
                (d.priority, d.routePriority),
                d.workspace,
                d.groups,
            )
            for d in fields.classDemands
        ),
    )


def set_plan_update(builder, update: PlanUpdate) -> None:
    """Encode an update of the plan."""
    set_fields(
        builder,
        serial=update.serial,
        baseSerial=update.base_serial,
        nodes=update.node_count,
        operatorRevision=update.revisions.operator,
        quarantineRevision=update.revisions.quarantine,
        backendRevision=update.revisions.backends,
        nodesRevision=update.revisions.nodes,
        operatorDigest=update.revisions.operator_digest,
        reportedWindow=update.reported_window,
        backendsAgeMs=min(update.revisions.backends_age_ms, MAX_UINT32),
    )
    _set_rate_limits(builder, update.rate_limits)
    _set_demands(builder, update.demands)
    _set_admitted_shares(builder, update.admitted_shares)
    groups = builder.init("groups", len(update.groups))
    for item, group in zip(groups, update.groups, strict=True):
        set_fields(
            item,
            head=group.head,
            name=group.name,
            epoch=group.epoch,
            model=group.model,
            pace=group.slowdown,
        )
    removed_groups = builder.init("removedGroups", len(update.removed_groups))
    for item, (head, epoch) in zip(removed_groups, update.removed_groups, strict=True):
        set_fields(item, head=head, epoch=epoch)
    _set_spares(builder, update)
    totals = builder.init("totals", len(update.totals))
    for item, total in zip(totals, update.totals, strict=True):
        set_fields(
            item,
            inFlight=total.in_flight,
            readingTokens=min(total.reading_tokens, MAX_UINT32),
            stalled=total.stalled,
        )


def _set_spares(builder, update: PlanUpdate) -> None:
    spares = builder.init("spares", len(update.spares))
    for item, spare in zip(spares, update.spares, strict=True):
        set_fields(
            item,
            backend=spare.backend,
            startedMs=spare.started_ms,
            model=spare.last_model,
            loading=spare.staging_model,
        )
    removed = builder.init("removedSpares", len(update.removed_spares))
    for item, (backend, started_ms) in zip(removed, update.removed_spares, strict=True):
        set_fields(item, backend=backend, startedMs=started_ms)


def read_plan_update(fields) -> PlanUpdate:
    """Decode an update of the plan."""
    return PlanUpdate(
        serial=fields.serial,
        base_serial=fields.baseSerial,
        node_count=fields.nodes,
        groups=tuple(
            PlannedGroup(g.head, g.name, g.epoch, g.model, slowdown=g.pace)
            for g in fields.groups
        ),
        removed_groups=tuple((key.head, key.epoch) for key in fields.removedGroups),
        spares=tuple(
            Spare(s.backend, s.startedMs, s.model, s.loading) for s in fields.spares
        ),
        removed_spares=tuple(
            (key.backend, key.startedMs) for key in fields.removedSpares
        ),
        totals=tuple(
            GroupTotal(t.inFlight, t.readingTokens, t.stalled) for t in fields.totals
        ),
        revisions=StoreRevisions(
            fields.operatorRevision,
            fields.quarantineRevision,
            fields.backendRevision,
            fields.nodesRevision,
            fields.operatorDigest,
            fields.backendsAgeMs,
        ),
        rate_limits=_read_rate_limits(fields),
        demands=_read_demands(fields),
        reported_window=fields.reportedWindow,
        admitted_shares=tuple(
            AdmittedShare(
                s.service,
                s.model,
                (s.priority, s.routePriority),
                s.workspace,
                s.share,
            )
            for s in fields.admittedShares
        ),
    )


def _set_demands(builder, demands: tuple[ModelDemand, ...]) -> None:
    items = builder.init("demands", len(demands))
    for item, demand in zip(items, demands, strict=True):
        set_fields(
            item, service=demand.service, model=demand.model, groups=demand.groups
        )


def _set_class_demands(builder, demands: tuple[ClassDemand, ...]) -> None:
    items = builder.init("classDemands", len(demands))
    for item, demand in zip(items, demands, strict=True):
        set_fields(
            item,
            service=demand.service,
            model=demand.model,
            priority=demand.rank[0],
            routePriority=demand.rank[1],
            workspace=demand.workspace,
            groups=demand.groups,
        )


def _set_admitted_shares(builder, shares: tuple[AdmittedShare, ...]) -> None:
    items = builder.init("admittedShares", len(shares))
    for item, share in zip(items, shares, strict=True):
        set_fields(
            item,
            service=share.service,
            model=share.model,
            priority=share.rank[0],
            routePriority=share.rank[1],
            workspace=share.workspace,
            share=share.share,
        )


def _read_demands(fields) -> tuple[ModelDemand, ...]:
    return tuple(ModelDemand(d.service, d.model, d.groups) for d in fields.demands)


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


def _set_usage(builder, usage: NodeUsage) -> None:
    builder.endedWindow = usage.ended_window
    items = builder.init("counts", len(usage.counts))
    for item, count in zip(items, usage.counts, strict=True):
        set_fields(
            item,
            window=count.window,
            workspace=count.workspace,
            requests=min(count.requests, MAX_UINT32),
        )


def _read_usage(fields) -> NodeUsage:
    return NodeUsage(
        fields.endedWindow,
        tuple(UsageCount(c.window, c.workspace, c.requests) for c in fields.counts),
    )

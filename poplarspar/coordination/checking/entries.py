"""Contradictions within one configuration of routes, services and workspaces."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from poplarspar.state.configuration_entries import ConfigurationEntries
from poplarspar.state.findings import Finding, Severity
from poplarspar.state.serving import RouteKind, ServiceRoute, ServiceSpec

# Longer texts of an operator's file are cut in messages.
MAX_SHOWN = 80


def shown(text: str) -> str:
    """Return a name as messages show it."""
    return repr(text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "...")


def error(place: str, message: str) -> Finding:
    """Return a finding that must be corrected."""
    return Finding(Severity.ERROR, place, message)


def warning(place: str, message: str) -> Finding:
    """Return a finding that an operator should know."""
    return Finding(Severity.WARNING, place, message)


def check_entries(entries: ConfigurationEntries) -> list[Finding]:
    """Return what is wrong or without effect in a configuration."""
    return [
        *_repeated("route", (route.name for route in entries.routes)),
        *_repeated("service", (service.name for service in entries.services)),
        *_check_matching(entries),
        *_check_services(entries),
        *_check_keys(entries),
        *_check_limits(entries),
        *(f for route in entries.routes for f in _check_route(route)),
        *(f for service in entries.services for f in _check_service(service)),
    ]


def _repeated(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            yield error(f"{kind} {shown(name)}", f"name: {count} entries have it")


def _place(route: ServiceRoute) -> str:
    return f"route {shown(route.name)}"


def _check_matching(entries: ConfigurationEntries) -> Iterator[Finding]:
    first_by_match: dict[tuple[str, str], ServiceRoute] = {}
    for route in entries.routes:
        first = first_by_match.setdefault((route.host, route.path_prefix), route)
        if first is not route:
            yield error(
                _place(route),
                f"path_prefix: can never match, since route {shown(first.name)} has "
                f"the same host and prefix {shown(route.path_prefix)}",
            )
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield error(
                _place(route),
                f"path_prefix: must begin and end with a slash, not {shown(prefix)}",
            )
        if not route.host:
            yield error(_place(route), "host: can never match, since it is empty")


def _check_services(entries: ConfigurationEntries) -> Iterator[Finding]:
    names = {service.name for service in entries.services}
    named = set()
    for route in entries.routes:
        weights = [weighted.weight for weighted in route.services]
        if any(weight < 0 or not math.isfinite(weight) for weight in weights):
            yield error(_place(route), "split: a weight is negative or no number")
        elif sum(weights) <= 0:
            yield error(_place(route), "split: no service has a weight above 0")
        for weighted in route.services:
            if weighted.service not in names:
                yield error(
                    _place(route),
                    f"service: no service is named {shown(weighted.service)}",
                )
            elif weighted.weight == 0 and len(weights) > 1:
                yield warning(
                    _place(route),
                    f"split: {shown(weighted.service)} has weight 0 and gets nothing",
                )
            if weighted.weight > 0:
                named.add(weighted.service)
    for name in sorted(names - named):
        yield warning(f"service {shown(name)}", "no route sends requests to it")


def _check_keys(entries: ConfigurationEntries) -> Iterator[Finding]:
    if entries.workspaces is None:
        return
    yield from _repeated("workspace", (w.name for w in entries.workspaces))
    holders_by_key: dict[str, list[str]] = defaultdict(list)
    for workspace in entries.workspaces:
        place = f"workspace {shown(workspace.name)}"
        if not workspace.keys:
            yield warning(place, "keys: it has none, so no request can be its own")
        if "" in workspace.keys:
            yield error(place, "keys: one is empty, which requests without a key match")
        for key in dict.fromkeys(workspace.keys):
            holders_by_key[key].append(workspace.name)
    for holders in holders_by_key.values():
        # Keys are secrets, so that messages name only their holders.
        if len(set(holders)) > 1:
            names = ", ".join(shown(name) for name in holders)
            yield error(f"workspace {shown(holders[0])}", f"keys: {names} hold one key")
    if not any(holders_by_key) and not any(route.public for route in entries.routes):
        yield error("workspaces", "no request can match: no key, and no public route")


def _check_limits(entries: ConfigurationEntries) -> Iterator[Finding]:
    limits = entries.limits
    if limits.header_bytes > limits.body_bytes:
        yield warning(
            "limits",
            f"header_bytes {limits.header_bytes} is over body_bytes "
            f"{limits.body_bytes}",
        )
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield warning(
            "limits",
            f"idle time-out {limits.idle_timeout_s:g} s is below the time-out of "
            f"headers, {limits.header_timeout_s:g} s",
        )
    longest = max(entries.routes, key=lambda route: route.timeout_s, default=None)
    if longest is not None and limits.idle_timeout_s < longest.timeout_s:
        yield warning(
            "limits",
            f"idle time-out {limits.idle_timeout_s:g} s is below the time-out of "
            f"{_place(longest)}, {longest.timeout_s:g} s",
        )


def _check_route(route: ServiceRoute) -> Iterator[Finding]:
    place = _place(route)
    if route.timeout_s <= 0:
        yield error(place, "time-out: 0 s leaves no request any time")
    elif route.timeout_s < route.target_latency_s:
        yield warning(
            place,
            f"time-out {route.timeout_s:g} s is below the target latency of "
            f"{route.target_latency_s:g} s, which no answer can then miss",
        )
    if route.target_gap_s > route.timeout_s:
        yield warning(place, "the target for pauses is over the time-out")
    if route.max_attempts < 1:
        yield error(place, f"attempts: {route.max_attempts} allow no request")
    elif route.max_attempts > 1 and not route.repeatable:
        yield warning(
            place,
            f"attempts: {route.max_attempts} have no effect, since its requests run "
            "once",
        )
    if route.kind is not RouteKind.STREAM and route.resumable:
        yield warning(place, "resumable has no effect, since its answers don't stream")


def _check_service(service: ServiceSpec) -> Iterator[Finding]:
    place, engine = f"service {shown(service.name)}", service.engine
    if engine is None:
        return
    if 0 < service.connection_limit < engine.slots:
        yield warning(
            place,
            f"{service.connection_limit} connections can't fill {engine.slots} slots, "
            "since each request needs one",
        )
    if not engine.tokens_read_per_s > 0:
        yield error(
            place, f"engine: read_per_s: {engine.tokens_read_per_s:g} reads no prompt"
        )
    total = sum(model.share for model in engine.models_by_name.values())
    if total > 1.0 + 1e-6:
        yield warning(place, f"models: their shares add up to {total:g}")
    capacity = service.capacity
    largest = max(model.members for model in engine.models_by_name.values())
    if capacity is not None and capacity.most < largest:
        yield warning(
            place,
            f"at most {capacity.most} backend servers in a zone can't form a replica "
            f"group of {largest}",
        )

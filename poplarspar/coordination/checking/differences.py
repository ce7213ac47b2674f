"""Differences from the configuration in force, and what they do to requests."""

from collections.abc import Iterator

from poplarspar.coordination.checking.entries import error, shown
from poplarspar.state.configuration_entries import ConfigurationEntries
from poplarspar.state.findings import Finding, Severity
from poplarspar.state.serving import ServiceRoute

# Requests that a backend server runs already go on under the version that sent them.
RUNNING_GO_ON = "running requests go on"


def _difference(place: str, message: str) -> Finding:
    return Finding(Severity.DIFFERENCE, place, message)


def entry_differences(
    entries: ConfigurationEntries, in_force: ConfigurationEntries
) -> list[Finding]:
    """Return how a configuration differs from the one in force."""
    findings = []
    if entries.version <= in_force.version:
        findings.append(
            error(
                "version",
                f"{entries.version} is not over {in_force.version}, which is in force; "
                "nodes ignore it",
            )
        )
    return [
        *findings,
        *_route_differences(entries, in_force),
        *_service_differences(entries, in_force),
        *_key_differences(entries, in_force),
        *_limit_differences(entries, in_force),
    ]


def _route_differences(
    entries: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Finding]:
    after = {(r.host, r.path_prefix): r for r in reversed(entries.routes)}
    before = {(r.host, r.path_prefix): r for r in reversed(in_force.routes)}
    for match, route in before.items():
        if match not in after:
            yield _difference(
                f"route {shown(route.name)}",
                f"dropped: its next requests match another route or get 404, "
                f"{RUNNING_GO_ON}",
            )
    for match, route in after.items():
        place = f"route {shown(route.name)}"
        if match not in before:
            yield _difference(place, f"added for {shown(''.join(match))}")
        else:
            yield from _changed_route(place, route, before[match])


def _changed_route(
    place: str, route: ServiceRoute, before: ServiceRoute
) -> Iterator[Finding]:
    if route.services != before.services:
        yield _difference(
            place,
            f"moved from {_services_text(before)} to {_services_text(route)}: its next "
            f"requests go there, {RUNNING_GO_ON}",
        )
    for name in (
        "kind",
        "timeout_s",
        "target_latency_s",
        "target_gap_s",
        "priority",
        "max_attempts",
        "public",
        "resumable",
    ):
        old, new = getattr(before, name), getattr(route, name)
        if old != new:
            yield _difference(place, f"{name}: {_text(old)} becomes {_text(new)}")


def _services_text(route: ServiceRoute) -> str:
    names = [shown(w.service) for w in route.services]
    if len(names) == 1:
        return names[0]
    weights = [f"{shown(w.service)} {w.weight:g}" for w in route.services]
    return "(" + ", ".join(weights) + ")"


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))


def _service_differences(
    entries: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Finding]:
    after = {service.name: service for service in entries.services}
    before = {service.name: service for service in in_force.services}
    for name in sorted(before.keys() - after.keys()):
        yield _difference(
            f"service {shown(name)}", f"dropped: it gets no requests, {RUNNING_GO_ON}"
        )
    for name, service in after.items():
        if name not in before:
            yield _difference(f"service {shown(name)}", "added")
        elif service != before[name]:
            yield _difference(f"service {shown(name)}", "changed")


def _key_differences(
    entries: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Finding]:
    after, before = _holder_by_key(entries), _holder_by_key(in_force)
    if (entries.workspaces is None) != (in_force.workspaces is None):
        required = "no longer" if entries.workspaces is None else "now"
        yield _difference("workspaces", f"requests {required} need a key")
    changes: dict[tuple[str, str], int] = {}
    for key in before.keys() | after.keys():
        old, new = before.get(key), after.get(key)
        if old is not None and new is None:
            change = (old, "taken away: their next requests get 401")
        elif old is None and new is not None:
            change = (new, "added")
        elif old != new:
            change = (str(old), f"given to {shown(str(new))}")
        else:
            continue
        changes[change] = changes.get(change, 0) + 1
    for (workspace, what), count in sorted(changes.items()):
        tail = f", {RUNNING_GO_ON}" if what.startswith("taken") else ""
        yield _difference(
            f"workspace {shown(workspace)}", f"keys: {count} {what}{tail}"
        )


def _holder_by_key(entries: ConfigurationEntries) -> dict[str, str]:
    return {
        key: workspace.name
        for workspace in entries.workspaces or ()
        for key in workspace.keys
    }


def _limit_differences(
    entries: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Finding]:
    for name in ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s"):
        old, new = getattr(in_force.limits, name), getattr(entries.limits, name)
        if old != new:
            yield _difference("limits", f"{name}: {_text(old)} becomes {_text(new)}")

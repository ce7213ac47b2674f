"""Objects without effect, and differences between two sets of objects."""

from collections.abc import Iterator

from poplarspar.coordination.checking.entries import shown, warning
from poplarspar.state.findings import Finding, Severity
from poplarspar.state.objects import ObjectSet

KINDS = ("zone", "workspace", "deployment", "group", "server", "route")
# What the removal of an object does to requests.
REMOVAL_BY_KIND = {
    "zone": "its backend servers get no more work",
    "workspace": "its next requests are refused",
    "deployment": "it gets no more requests, running ones go on",
    "group": "its replicas get no more work, running requests go on",
    "server": "it is in service again",
    "route": "its next requests get 404, running ones go on",
}


def check_objects(objects: ObjectSet) -> list[Finding]:
    """Return the objects of a valid set that have no effect."""
    return [
        *_check_workspaces(objects),
        *_check_deployments(objects),
        *_check_zones(objects),
    ]


def _check_workspaces(objects: ObjectSet) -> Iterator[Finding]:
    named = {w for route in objects.routes_by_name.values() for w in route.workspaces}
    for name, workspace in objects.workspaces_by_name.items():
        if name not in named:
            yield warning(f"[workspace:{name}]", "no route names it")
        if workspace.queue_limit == 0:
            yield warning(
                f"[workspace:{name}]",
                "queue_limit: 0 refuses each request that finds no free slot",
            )


def _check_deployments(objects: ObjectSet) -> Iterator[Finding]:
    named = {route.deployment for route in objects.routes_by_name.values()}
    replicas_by_deployment = dict.fromkeys(objects.deployments_by_name, 0)
    for group in objects.groups_by_name.values():
        replicas_by_deployment[group.deployment] += group.replicas
        if not group.replicas:
            yield warning(f"[group:{group.name}]", "replicas: 0 run nothing")
    for name, replicas in replicas_by_deployment.items():
        if name not in named:
            yield warning(f"[deployment:{name}]", "no route names it")
        elif not replicas:
            yield warning(
                f"[deployment:{name}]",
                "no replica runs it; its routes serve nothing",
            )


def _check_zones(objects: ObjectSet) -> Iterator[Finding]:
    zones = objects.zones_by_name.values()
    if zones and not any(zone.serving for zone in zones):
        yield warning("[zone]", "serving: all zones are out of service")


def object_differences(objects: ObjectSet, in_force: ObjectSet) -> list[Finding]:
    """Return how a set of objects differs from the one in force."""
    findings = []
    for kind in KINDS:
        after = getattr(objects, f"{kind}s_by_name")
        before = getattr(in_force, f"{kind}s_by_name")
        for name in sorted(before.keys() | after.keys()):
            message = _change(kind, before.get(name), after.get(name))
            if message:
                place = f"[{kind}:{name}]"
                findings.append(Finding(Severity.DIFFERENCE, place, message))
    return findings


def _change(kind: str, before: object, after: object) -> str:
    if before == after:
        return ""
    if before is None:
        return "added"
    if after is None:
        return f"dropped: {REMOVAL_BY_KIND[kind]}"
    changed = [
        f"{name} {shown(str(old))} becomes {shown(str(vars(after).get(name)))}"
        for name, old in vars(before).items()
        if vars(after).get(name) != old
    ]
    return "; ".join(changed) or "changed"

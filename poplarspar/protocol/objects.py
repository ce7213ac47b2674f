"""Parsing and validation of the INI text of operators' objects."""

import configparser
import io
from typing import Annotated, Literal

from pydantic import BeforeValidator, Field

from poplarspar.exceptions import InvalidObjects
from poplarspar.protocol.ini import IniModel, parse_section, read_ini
from poplarspar.protocol.settings import Name, Names
from poplarspar.state.objects import (
    Bounds,
    Deployment,
    ModelDeployment,
    ObjectSet,
    Route,
    Server,
    ServiceDeployment,
    VmGroup,
    Workspace,
    Zone,
)

SOURCE = "objects"
MAX_TEXT_BYTES = 900_000
SERVING_KINDS = ("zone", "server")


def _parse_yes_no(value: object) -> object:
    match value:
        case "yes":
            return True
        case "no":
            return False
        case str():
            raise ValueError("must be yes or no")
        case _:
            return value


YesNo = Annotated[bool, BeforeValidator(_parse_yes_no)]


class _ZoneSection(IniModel):
    name: Name
    region: Name
    serving: YesNo = True

    def build(self) -> Zone:
        return Zone(self.name, self.region, self.serving)


class _WorkspaceSection(IniModel):
    name: Name
    weight: int = Field(default=1, ge=1, le=1000)
    queue_limit: int = Field(default=64, ge=0, le=100_000)

    def build(self) -> Workspace:
        return Workspace(self.name, self.weight, self.queue_limit)


class _DeploymentSection(IniModel):
    name: Name
    kind: Literal["model", "service"]
    members: int = Field(default=1, ge=1, le=64)
    cold_requests: int = Field(ge=1, le=10_000)
    cold_tokens: int = Field(ge=1)
    warm_requests: int = Field(ge=1, le=10_000)
    warm_tokens: int = Field(ge=1)
    warm_after: int = Field(default=2, ge=1)
    fenced: YesNo = True

    def build(self) -> Deployment:
        cold = Bounds(self.cold_requests, self.cold_tokens)
        warm = Bounds(self.warm_requests, self.warm_tokens)
        if self.kind == "service":
            return ServiceDeployment(self.name, cold, warm, self.warm_after)
        return ModelDeployment(
            self.name, self.members, cold, warm, self.warm_after, self.fenced
        )


class _GroupSection(IniModel):
    name: Name
    deployment: str
    domains: Names
    replicas: int = Field(ge=0, le=10_000)

    def build(self) -> VmGroup:
        return VmGroup(self.name, self.deployment, self.domains, self.replicas)


class _ServerSection(IniModel):
    name: Name
    serving: YesNo

    def build(self) -> Server:
        return Server(self.name, self.serving)


class _RouteSection(IniModel):
    name: Name
    workspaces: Names
    deployment: str
    repeatable: YesNo
    timeout_s: float = Field(gt=0, le=3600)

    def build(self) -> Route:
        return Route(
            self.name,
            self.workspaces,
            self.deployment,
            self.repeatable,
            self.timeout_s,
        )


MODEL_BY_KIND = {
    "zone": _ZoneSection,
    "workspace": _WorkspaceSection,
    "deployment": _DeploymentSection,
    "group": _GroupSection,
    "server": _ServerSection,
    "route": _RouteSection,
}
FIELD_BY_KIND = {kind: f"{kind}s_by_name" for kind in MODEL_BY_KIND}


def parse_objects(text: str, source: str = SOURCE) -> ObjectSet:
    """Parse and validate a complete set of objects.

    Raises
    ------
    InvalidObjects
        Lists every problem of the set, not just the first.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise InvalidObjects([f"{source}: larger than {MAX_TEXT_BYTES} bytes"])
    parser, problems = read_ini(text, source)
    objects = ObjectSet()
    invalid_names = set()
    for section in parser.sections():
        kind, separator, name = section.partition(":")
        model = MODEL_BY_KIND.get(kind)
        if model is None or not separator:
            kinds = ", ".join(MODEL_BY_KIND)
            problems.append(
                f"{source}: [{section}]: must be KIND:NAME, with a kind of {kinds}"
            )
            continue
        parsed = parse_section(parser, section, model, source, name=name)
        problems.extend(parsed.problems)
        if parsed.model is None:
            invalid_names.add(name)
        else:
            getattr(objects, FIELD_BY_KIND[kind])[name] = parsed.model.build()
    references = objects.problems(frozenset(invalid_names))
    problems.extend(f"{source}: {problem}" for problem in references)
    if problems:
        raise InvalidObjects(problems)
    return objects


def set_serving(text: str, kind: str, name: str, serving: bool) -> str:
    """Return the objects' text after putting a zone or server in or out of service.

    Raises
    ------
    InvalidObjects
        If the text has no section for the zone.
    """
    parser, _ = read_ini(text, SOURCE)
    section = f"{kind}:{name}"
    if section not in parser:
        if kind != "server":
            raise InvalidObjects([f"{SOURCE}: there is no [{section}]"])
        parser.add_section(section)
    parser[section]["serving"] = "yes" if serving else "no"
    return _render(parser)


def canonical_text(text: str) -> str:
    """Return the objects' text in the form that the store contains."""
    parser, _ = read_ini(text, SOURCE)
    return _render(parser)


def _render(parser: configparser.ConfigParser) -> str:
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue().rstrip() + "\n"

"""The platform's documents: configuration, backend server entries and reports."""

from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    FiniteFloat,
    ValidationError,
    model_validator,
)

from poplarspar.exceptions import MalformedDocument
from poplarspar.state.backends import (
    BackendReport,
    BackendServer,
    EngineState,
    MemberPhase,
    Membership,
)
from poplarspar.state.configuration_entries import ConfigurationEntries, WorkspaceKeys
from poplarspar.state.serving import (
    CallerLimits,
    CapacityRange,
    Engine,
    EngineModel,
    KeyHolder,
    PromptMemory,
    RouteKind,
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)

Milliseconds = Annotated[float, Field(ge=0)]
# Messages between nodes carry unsigned numbers of 64 bits.
Count = Annotated[int, Field(strict=True, ge=0, lt=2**63)]
MAX_PORT = 65_535


def _check_address(address: str) -> str:
    """Return an address whose host and port exist, else raise `ValueError`."""
    host, _, port = address.partition(":")
    IPv4Address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port must be 1 to {MAX_PORT}")
    return address


Address = Annotated[
    str,
    Field(strict=True, pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$"),
    AfterValidator(_check_address),
]


class _Document(BaseModel):
    # Newer versions of the documents may have more fields. Validators are built at the
    # first use, and those of nested models only as part of their document's.
    model_config = ConfigDict(extra="ignore", defer_build=True)


class _Split(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: Milliseconds
    # An answer within this time earns full credit; this is not a mean latency.
    target_latency_ms: Milliseconds
    priority: int = 0
    # A route has one service or splits its requests between several.
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Milliseconds = 0

    def to_state(self) -> ServiceRoute:
        services = [WeightedService(s.service, s.weight) for s in self.split]
        return ServiceRoute(
            name=self.name,
            host=self.host.lower(),
            path_prefix=self.path_prefix,
            kind=self.kind,
            services=tuple(services or [WeightedService(self.service, 1)]),
            timeout_s=self.timeout_ms / 1000,
            target_latency_s=self.target_latency_ms / 1000,
            target_gap_s=self.gap_aim_ms / 1000,
            priority=self.priority,
            max_attempts=self.max_attempts,
            public=self.public,
            resumable=self.resumable,
        )


class _Model(_Document):
    name: str
    # Backend servers per replica group.
    size: int = Field(ge=1)
    pace: float = 1.0
    share: float = 0.0
    load_s: float = 0.0
    # Load time of weights that are staged on the host.
    warm_s: float = 0.0

    def to_state(self) -> EngineModel:
        return EngineModel(
            self.name, self.size, self.pace, self.share, self.load_s, self.warm_s
        )


class _UsualTokens(_Document):
    # Mean tokens per prompt, and per answer.
    prompt: FiniteFloat = 0.0
    answer: FiniteFloat = 0.0


class _PromptMemory(_Document):
    # Kept after the request with the prompt has ended.
    keep_ms: Milliseconds


class _Engine(_Document):
    slots: int = Field(ge=1)
    models: list[_Model] = []
    step_ms: float = 0.0
    # Added to the step time for each request that generates tokens.
    per_seq_ms: float = 0.0
    read_per_s: float = 0.0
    # Token steps per pass; each pass sends one event on each stream.
    stride: int = 1
    loads_per_s: float = 0.0
    loads_at_once: int = 1
    form_ms: float = 0.0
    # Factor on a group's times if its members are in several fabric domains.
    far_x: float = Field(default=1.0, ge=1.0)
    usual: _UsualTokens = _UsualTokens()
    # Memory of a replica group, in tokens.
    kv_capacity_tokens: int = Field(default=0, ge=0)
    prompt_memory: _PromptMemory | None = None

    def to_state(self) -> Engine:
        memory = self.prompt_memory
        return Engine(
            slots=self.slots,
            models_by_name={model.name: model.to_state() for model in self.models},
            step_s=self.step_ms / 1000,
            step_per_request_s=self.per_seq_ms / 1000,
            tokens_read_per_s=self.read_per_s,
            tokens_per_event=self.stride,
            loads_per_s=self.loads_per_s,
            concurrent_loads=self.loads_at_once,
            open_s=self.form_ms / 1000,
            mean_answer_tokens=int(self.usual.answer),
            far_factor=self.far_x,
            prompt_memory=PromptMemory(
                memory.keep_ms / 1000,
                self.kv_capacity_tokens,
                int(self.usual.prompt + self.usual.answer),
            )
            if memory is not None
            else None,
        )


class _Scale(_Document):
    # Backend servers in each zone.
    min: int = Field(ge=0)
    max: int = Field(ge=1)
    boot_timeout_s: float = Field(default=0.0, ge=0)

    @model_validator(mode="after")
    def _check_order(self) -> "_Scale":
        if self.min > self.max:
            raise ValueError(f"min {self.min} is over max {self.max}")
        return self

    def to_state(self) -> CapacityRange:
        return CapacityRange(self.min, self.max, self.boot_timeout_s)


class _Service(_Document):
    name: str
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    scale: _Scale | None = None

    def to_state(self) -> ServiceSpec:
        engine = self.engine.to_state() if self.engine else None
        if engine and not engine.models_by_name:
            engine = None
        capacity = self.scale.to_state() if self.scale else None
        return ServiceSpec(
            self.name, self.max_connections, self.cold_per_s, engine, capacity
        )


class _Tenant(_Document):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(_Document):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000

    def to_state(self) -> CallerLimits:
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1000,
            self.idle_timeout_ms / 1000,
        )


class _Configuration(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


class _Membership(_Document):
    name: str
    epoch: Count
    rank: Count
    state: MemberPhase


class _LoadedModel(_Document):
    name: str


class _EngineFields(_Document):
    # Last start of the backend server, Unix milliseconds.
    born: Count
    # Orders accepted since that start, not a position in a sequence of entries.
    seq: Count = 0
    # What follows the first malformed one is not read: there may be thousands.
    models: Annotated[list[_LoadedModel], Field(fail_fast=True)] | None = None
    staged: Annotated[list[str], Field(fail_fast=True)] = []
    domain: str = ""
    group: _Membership | None = None

    def to_engine_state(self) -> EngineState:
        group = self.group
        return EngineState(
            model=self.models[0].name if self.models else "",
            staged_models=tuple(self.staged),
            domain=self.domain,
            membership=group
            and Membership(group.name, group.epoch, group.rank, group.state),
            accepted_orders=self.seq,
        )


class _BackendEntry(_EngineFields):
    service: Annotated[str, Field(strict=True, min_length=1)]
    address: Address
    zone: Annotated[str, Field(strict=True, min_length=1)]
    slots: Count
    state: Literal["ready", "draining"]
    cold_ms: Annotated[float, Field(ge=0, strict=True, allow_inf_nan=False)] = 0


class _Report(_EngineFields):
    busy: bool = False
    waiting: Count = 0
    running: Count = 0
    # Above 1 when the backend server is slower than its engine's configured times.
    pace: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0


def parse_entries(text: str) -> ConfigurationEntries:
    """Decode the entries of the operator's configuration.

    Raises
    ------
    MalformedDocument
        Names the first field that is missing or of another type.
    """
    document = _parse(_Configuration, text)
    return ConfigurationEntries(
        version=document.version,
        routes=tuple(route.to_state() for route in document.routes),
        services=tuple(service.to_state() for service in document.services),
        workspaces=None
        if document.tenants is None
        else tuple(
            WorkspaceKeys(tenant.name, tuple(tenant.api_keys), tenant.priority)
            for tenant in document.tenants
        ),
        limits=document.limits.to_state(),
    )


def parse_configuration(text: str) -> ServingConfiguration:
    """Decode the operator's configuration; raises `MalformedDocument`."""
    entries = parse_entries(text)
    routes_by_host: dict[str, list[ServiceRoute]] = {}
    for route in entries.routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: -len(route.path_prefix))
    return ServingConfiguration(
        version=entries.version,
        routes_by_host={host: tuple(rows) for host, rows in routes_by_host.items()},
        services_by_name={service.name: service for service in entries.services},
        holder_by_key={
            key: KeyHolder(workspace.name, workspace.priority)
            for workspace in entries.workspaces or ()
            for key in workspace.keys
        },
        keys_required=entries.workspaces is not None,
        limits=entries.limits,
    )


def parse_backend(id: str, text: str) -> BackendServer:
    """Decode an entry of the list of backend servers.

    Raises
    ------
    MalformedDocument
        If the entry is malformed, for example because another writer overwrote it.
    """
    entry = _parse(_BackendEntry, text)
    return BackendServer(
        id=id,
        started_ms=entry.born,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        draining=entry.state == "draining",
        slots=entry.slots,
        cold_s=entry.cold_ms / 1000,
        engine_state=entry.to_engine_state() if entry.models is not None else None,
    )


def parse_report(id: str, text: str) -> BackendReport:
    """Decode a backend server's report; raises `MalformedDocument`."""
    report = _parse(_Report, text)
    return BackendReport(
        id=id,
        started_ms=report.born,
        engine_state=report.to_engine_state(),
        running=report.running,
        waiting=report.waiting,
        busy=report.busy,
        slowdown=report.pace,
    )


def _parse(model: type, text: str):
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        problems = tuple(
            f"{'.'.join(map(str, problem['loc'])) or 'document'}: {problem['msg']}"
            for problem in error.errors(
                include_url=False, include_context=False, include_input=False
            )
        )
        raise MalformedDocument(problems[0], problems) from error

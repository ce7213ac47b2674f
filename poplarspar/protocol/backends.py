"""Messages to and from backend servers, as JSON and server-sent events."""

import json
from collections.abc import Iterable, Iterator

from pydantic import BaseModel, ValidationError

from poplarspar.coordination.ports import GenerationRequest, Token
from poplarspar.exceptions import ProtocolError
from poplarspar.state.replicas import MemberReport, ReplicaGroup, Vm

MAX_EVENT_BYTES = 65_536
DATA_FIELD = b"data: "


class _TokenEvent(BaseModel):
    request_id: str
    offset: int
    text: str = ""
    last: bool = False
    incarnation: str = ""


class _ReportEvent(BaseModel):
    vm: str
    incarnation: str
    group: str = ""
    epoch: int = 0
    index: int = 0
    ready: bool
    running: int


class _VmItem(BaseModel):
    name: str
    zone: str
    domain: str
    address: str
    leaving: bool = False


class _VmListDocument(BaseModel):
    vms: list[_VmItem]


def read_event_data(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the data of each server-sent event in a stream of chunks."""
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        *events, buffer = buffer.split(b"\n\n")
        if len(buffer) > MAX_EVENT_BYTES:
            raise ProtocolError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        for event in events:
            if event.startswith(DATA_FIELD):
                yield event.removeprefix(DATA_FIELD)


def parse_token_event(data: bytes) -> Token:
    """Check one token event; raises `ProtocolError`."""
    return Token(**_parse(_TokenEvent, data).model_dump())


def parse_member_report(data: bytes) -> MemberReport:
    """Check one report event; raises `ProtocolError`."""
    return MemberReport(**_parse(_ReportEvent, data).model_dump())


def parse_vm_list(data: bytes) -> list[Vm]:
    """Check the platform's list of VMs; raises `ProtocolError`."""
    return [Vm(**item.model_dump()) for item in _parse(_VmListDocument, data).vms]


def generation_body(generation: GenerationRequest) -> bytes:
    """Return the body that starts or resumes a stream at an engine."""
    document = {
        "request_id": generation.request_id,
        "prompt": generation.prompt,
        "max_tokens": generation.max_tokens,
        "offset": len(generation.prefix),
        "prefix": "".join(generation.prefix),
        "timeout_s": generation.timeout_s,
    }
    return json.dumps(document).encode()


def assignment_body(group: ReplicaGroup, index: int) -> bytes:
    """Return the body of an order that puts a member into its group."""
    document = {
        "group": group.name,
        "deployment": group.deployment,
        "epoch": group.epoch,
        "index": index,
        "members": [member.address for member in group.members],
    }
    return json.dumps(document).encode()


def _parse(model: type[BaseModel], data: bytes) -> BaseModel:
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise ProtocolError(f"not a valid {model.__name__}: {error}") from error

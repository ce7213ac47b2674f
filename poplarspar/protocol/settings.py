"""Settings of the daemons: INI files, checked as a whole at start."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator, Field

from poplarspar.exceptions import InvalidSettings
from poplarspar.protocol.ini import IniModel, parse_section, read_ini, split_names

MAX_PORT = 65535
MIN_TOKEN_LENGTH = 16


@dataclass(frozen=True)
class ClusterSettings:
    """What all daemons of a cluster agree on.

    Attributes
    ----------
    peer_token : str
        Secret that daemons show each other.
    operator_token : str
        Secret that operators show to stewards.
    """

    peer_token: str
    operator_token: str
    store_address: str
    vm_list_address: str
    steward_address_by_name: dict[str, str]


@dataclass(frozen=True)
class StewardSettings:
    """Settings of one steward."""

    name: str
    zone: str
    peer_listen: str
    http_listen: str
    cluster: ClusterSettings


@dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry.

    Attributes
    ----------
    lending_listen, lending_address : str
        Where it lends slots, and the address under which others reach that.
    stewards : tuple of str
        Names of stewards to link to, the preferred one first.
    drain_notice_s : float
        Seconds between the failing ready check and the last new connection.
    """

    name: str
    zone: str
    http_listen: str
    lending_listen: str
    lending_address: str
    stewards: tuple[str, ...]
    queue_timeout_s: float
    drain_notice_s: float
    drain_timeout_s: float
    connection_limit: int
    body_limit_bytes: int
    header_timeout_s: float
    cluster: ClusterSettings


def check_address(text: str) -> str:
    """Check an address of the form ``IP:port``."""
    host, separator, port = text.rpartition(":")
    if not host or not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"must be IP:port with a port up to {MAX_PORT}")
    return text


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Names = Annotated[tuple[str, ...], BeforeValidator(split_names), Field(min_length=1)]


class _ClusterSection(IniModel):
    peer_token: str = Field(min_length=MIN_TOKEN_LENGTH)
    operator_token: str = Field(min_length=MIN_TOKEN_LENGTH)
    store: Address
    vm_list: Address


class _StewardSection(IniModel):
    name: Name
    zone: Name
    peer_listen: Address
    http_listen: Address


class _EntrySection(IniModel):
    name: Name
    zone: Name
    http_listen: Address
    lending_listen: Address
    lending_address: Address | None = None
    stewards: Names
    queue_timeout_s: float = Field(default=10.0, gt=0, le=600)
    drain_notice_s: float = Field(default=5.0, ge=0, le=600)
    drain_timeout_s: float = Field(default=120.0, gt=0, le=3600)
    connection_limit: int = Field(default=4096, gt=0, le=100_000)
    body_limit_bytes: int = Field(default=1_048_576, gt=0, le=67_108_864)
    header_timeout_s: float = Field(default=10.0, gt=0, le=600)


def read_steward_settings(path: str) -> StewardSettings:
    """Read and check a steward's settings; raises `InvalidSettings`."""
    return _read(path, "steward", _StewardSection, _build_steward)


def read_entry_settings(path: str) -> EntrySettings:
    """Read and check an entry's settings; raises `InvalidSettings`."""
    return _read(path, "entry", _EntrySection, _build_entry)


def _read(path, daemon, section_model, build):
    text = _read_file(path)
    parser, problems = read_ini(text, path)
    wanted = {daemon: section_model, "cluster": _ClusterSection}
    models = {}
    for section, model in wanted.items():
        if section not in parser:
            problems.append(f"{path}: [{section}]: section is missing")
            continue
        parsed = parse_section(parser, section, model, path)
        models[section] = parsed.model
        problems.extend(parsed.problems)
    roster = _parse_roster(parser, path, problems)
    allowed = {*wanted, "roster"}
    for section in parser.sections():
        if section not in allowed:
            names = ", ".join(sorted(allowed))
            problems.append(
                f"{path}: [{section}]: unknown section; allowed are {names}"
            )
    if not problems:
        cluster = _build_cluster(models["cluster"], roster)
        problems = _roster_problems(path, daemon, models[daemon], cluster)
    if problems:
        raise InvalidSettings("\n".join(problems))
    return build(models[daemon], cluster)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"{path}: cannot be read: {error}") from error


def _parse_roster(parser, path: str, problems: list[str]) -> dict[str, str]:
    if "roster" not in parser:
        problems.append(f"{path}: [roster]: section is missing")
        return {}
    addresses = dict(parser["roster"])
    if not addresses:
        problems.append(f"{path}: [roster]: needs one line for each steward")
    for name, address in addresses.items():
        try:
            check_address(address)
        except ValueError as error:
            problems.append(f"{path}: [roster] {name}: {error}, got {address!r}")
    return addresses


def _build_cluster(section: _ClusterSection, roster: dict[str, str]) -> ClusterSettings:
    return ClusterSettings(
        peer_token=section.peer_token,
        operator_token=section.operator_token,
        store_address=section.store,
        vm_list_address=section.vm_list,
        steward_address_by_name=roster,
    )


def _roster_problems(path, daemon, section, cluster: ClusterSettings) -> list[str]:
    key = "name" if daemon == "steward" else "stewards"
    names = [section.name] if daemon == "steward" else section.stewards
    known = ", ".join(sorted(cluster.steward_address_by_name))
    return [
        f"{path}: [{daemon}] {key}: {name!r} is not in [roster]; there are {known}"
        for name in names
        if name not in cluster.steward_address_by_name
    ]


def _build_steward(
    section: _StewardSection, cluster: ClusterSettings
) -> StewardSettings:
    return StewardSettings(**section.model_dump(), cluster=cluster)


def _build_entry(section: _EntrySection, cluster: ClusterSettings) -> EntrySettings:
    values = section.model_dump()
    values["lending_address"] = section.lending_address or section.lending_listen
    return EntrySettings(**values, cluster=cluster)

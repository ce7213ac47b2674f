"""Settings of a node, from the platform's TOML file."""

import os
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarspar.events import Event
from poplarspar.exceptions import InvalidSettings
from poplarspar.logs import log_event
from poplarspar.node import Node
from poplarspar.state.duties import Duty, DutySettings
from poplarspar.state.node import NodeSettings

SETTINGS_VARIABLE = "POPLARSPAR_SETTINGS"
# Port on which deploy/system.toml lets collectors read metrics.
METRICS_PORT = 9464
ADDRESS = r"^[^:]+:[0-9]+$"
DUTY_BY_NAME = {"usage_report": Duty.USAGE, "autoscale": Duty.CAPACITY}


class _Table(BaseModel):
    model_config = ConfigDict(extra="ignore", defer_build=True)


class _Listen(_Table):
    frontend: str = Field(pattern=ADDRESS)
    ready: str = Field(pattern=ADDRESS)


class _Bounds(_Table):
    grace_s: float = 8
    drain_ms: float = 2000
    require_fencing: bool = False
    retry_budget: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 0
    cold_over: float = 1.0
    cold_slack: float = 0
    lease_ms: float = Field(default=0, ge=0)
    report_window_s: float | None = Field(default=None, gt=0)
    usage_late_s: float = Field(default=0, ge=0)


class _Cloud(_Table):
    address: str = Field(pattern=ADDRESS)
    duties: list[str] = []
    duty_per_s: float = Field(default=1.0, gt=0)


class _Platform(_Table):
    address: str = Field(pattern=ADDRESS)
    ttl_min_ms: float = 1000


class _Limits(_Table):
    max_fds: int = 1024
    # Usable share of each core's time, and the number of cores.
    cpu_share: float = 1.0
    cores: int = 1


class _Settings(_Table):
    node_name: str
    ip: str
    zone: str
    port_range: list[int] = Field(min_length=2, max_length=2)
    listen: _Listen
    platform: _Platform
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    cloud: _Cloud | None = None


def read_node_settings(path: str = "") -> NodeSettings:
    """Read the settings file at `path`, or at the path in `SETTINGS_VARIABLE`.

    Raises
    ------
    InvalidSettings
        If the file can't be read, or a field is missing or invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise InvalidSettings(f"{SETTINGS_VARIABLE} is not set")
    try:
        document = _Settings.model_validate(tomllib.loads(Path(path).read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(str(part) for part in problem['loc'])}: "
            f"{problem['msg']}"
            for problem in error.errors()
        ]
        raise InvalidSettings("\n".join(lines)) from error
    return _to_state(document)


class SettingsFile:
    """Settings file of a running node, which can be reloaded.

    Parameters
    ----------
    path : str
        Path of the file; empty for the path in `SETTINGS_VARIABLE`.
    """

    def __init__(self, path: str = "") -> None:
        self._path = path
        self._last_text = self._read_text()

    def _read_text(self) -> str:
        path = self._path or os.environ.get(SETTINGS_VARIABLE, "")
        try:
            return Path(path).read_text()
        except (OSError, UnicodeDecodeError):
            return ""

    def reload(self, node: Node) -> None:
        """Apply the settings if the file has changed; log the cause of a rejection."""
        text = self._read_text()
        if text == self._last_text:
            return
        self._last_text = text
        try:
            node.apply_settings(read_node_settings(self._path))
        except InvalidSettings as error:
            log_event(Event.SETTINGS_REJECTED, cause=str(error))


def _to_state(document: _Settings) -> NodeSettings:
    bounds = document.bounds
    first_port = document.port_range[0]
    return NodeSettings(
        name=document.node_name,
        zone=document.zone,
        caller_listen=document.listen.frontend,
        ready_listen=document.listen.ready,
        peer_listen=f"{document.ip}:{first_port}",
        metrics_listen=f"{document.ip}:{METRICS_PORT}",
        store=document.platform.address,
        connection_limit=document.limits.max_fds,
        cpu_cores=document.limits.cpu_share * document.limits.cores,
        stop_timeout_s=bounds.grace_s,
        fencing_required=bounds.require_fencing,
        retry_share=bounds.retry_budget,
        retry_slack=bounds.budget_slack,
        retry_window_s=bounds.budget_window_s,
        cold_factor=bounds.cold_over,
        cold_slack=bounds.cold_slack,
        drain_s=bounds.drain_ms / 1000,
        min_lease_s=document.platform.ttl_min_ms / 1000,
        duties=_duty_settings(document),
    )


def _duty_settings(document: _Settings) -> DutySettings | None:
    """Return how duties are performed, None without an address or a known duty."""
    cloud, bounds = document.cloud, document.bounds
    if cloud is None:
        return None
    duties = {DUTY_BY_NAME[name] for name in cloud.duties if name in DUTY_BY_NAME}
    if bounds.report_window_s is None:
        duties.discard(Duty.USAGE)
    if not duties:
        return None
    return DutySettings(
        cloud.address,
        frozenset(duties),
        cloud.duty_per_s,
        bounds.lease_ms / 1000,
        bounds.report_window_s or 0.0,
        bounds.usage_late_s,
    )

"""The entries of a configuration as the operator lists them, repetitions included."""

from dataclasses import dataclass

from poplarspar.state.serving import CallerLimits, ServiceRoute, ServiceSpec


@dataclass(frozen=True)
class WorkspaceKeys:
    """A workspace with its API keys.

    Attributes
    ----------
    priority : int or None
        Rank that overrides the routes'.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclass(frozen=True)
class ConfigurationEntries:
    """One version of the configuration.

    Attributes
    ----------
    workspaces : tuple of WorkspaceKeys or None
        None if no keys are required.
    """

    version: int
    routes: tuple[ServiceRoute, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[WorkspaceKeys, ...] | None
    limits: CallerLimits

"""Settings that a node starts with."""

from dataclasses import dataclass

from poplarspar.state.duties import DutySettings


@dataclass(frozen=True)
class NodeSettings:
    """Addresses of a node, and limits that all nodes share.

    Attributes
    ----------
    cpu_cores : float
        Processor cores available to the node, possibly fractional.
    stop_timeout_s : float
        Time from SIGTERM until the platform kills the process.
    fencing_required : bool
        Whether backend servers refuse orders with an old fencing token.
    retry_share, retry_slack, retry_window_s : float
        Retry budget of all nodes together: within a window, a share of its requests
        plus a fixed number.
    cold_factor, cold_slack : float
        Limit of all nodes together on requests a second to a cold backend server: a
        factor on its stated rate, plus a fixed number.
    drain_s : float
        Time within which nodes must stop sending requests to a draining backend
        server.
    duties : DutySettings or None
        None where the platform asks for no duties.
    """

    name: str
    zone: str
    caller_listen: str
    ready_listen: str
    peer_listen: str
    metrics_listen: str
    store: str
    connection_limit: int
    cpu_cores: float
    stop_timeout_s: float
    fencing_required: bool
    retry_share: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    drain_s: float
    min_lease_s: float
    duties: DutySettings | None = None

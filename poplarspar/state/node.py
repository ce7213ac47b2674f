"""What a node is told at its start."""

from dataclasses import dataclass


@dataclass(frozen=True)
class NodeSettings:
    """Addresses of a node, and the bounds that all nodes keep together.

    Attributes
    ----------
    capacity : float
        Processor cores that it has.
    stop_s : float
        Time from SIGTERM until the process is killed.
    orders_fenced : bool
        Whether backend servers refuse orders with an old number.
    retry_share, retry_slack, retry_window_s : float
        Repeats allowed in a window: a share of its requests, and some more, over
        all nodes.
    cold_factor, cold_slack : float
        Requests to a cold backend server allowed in a second: a factor on what it
        says that it bears, and some more, over all nodes.
    drain_s : float
        Time within which a backend server that leaves gets nothing more.
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

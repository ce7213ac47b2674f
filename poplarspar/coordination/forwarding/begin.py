"""Notice that a request has begun to run."""

from collections.abc import Callable

from poplarspar.coordination.forwarding.routing import RoutedRequest


class Begin:
    """Tells once that a request has begun, also if several backend servers run it.

    A request that a caller resumes has begun before.

    Parameters
    ----------
    record : callable
        Called with the request's workspace.
    """

    def __init__(self, routed: RoutedRequest, record: Callable[[str], None]) -> None:
        self._workspace = routed.workspace
        self._record = record
        self._has_begun = routed.request.last_event is not None

    def record(self) -> None:
        """Record that the request runs now."""
        if not self._has_begun:
            self._has_begun = True
            self._record(self._workspace)

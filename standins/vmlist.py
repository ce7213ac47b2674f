"""Stand-in for the platform's lagging list of VMs."""

from standins.common import parse_options, serve  # isort: skip

import json
import time

from poplarspar.transport.server import Request, Response, json_response


class VmList:
    """Shows each change after a delay of `lag_s` seconds."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.history: list[tuple[float, list]] = [(0.0, [])]

    def handle(self, request: Request) -> Response:
        now = time.monotonic()
        if request.path == "/control":
            self.history.append((now, json.loads(request.body)["vms"]))
            return json_response(200, {})
        # The first list appears at once, so that a cluster starts without delay.
        visible = [vms for at, vms in self.history[2:] if at <= now - self.lag_s]
        return json_response(200, {"vms": (visible or [self.history[:2][-1][1]])[-1]})


if __name__ == "__main__":
    serve(VmList(parse_options(lag_s=1.0).lag_s).handle)

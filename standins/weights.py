"""Stand-in for the rate-limited weight store."""

from standins.common import parse_options, serve  # isort: skip

import time

import eventlet

from poplarspar.transport.server import Request, Response, json_response


class WeightStore:
    """Starts at most one load every `period_s` seconds; each takes `load_s`."""

    def __init__(self, load_s: float, period_s: float) -> None:
        self.load_s = load_s
        self.period_s = period_s
        self.next_at = 0.0

    def handle(self, request: Request) -> Response:
        now = time.monotonic()
        starts_at = max(now, self.next_at)
        self.next_at = starts_at + self.period_s
        eventlet.sleep(starts_at - now + self.load_s)
        return json_response(200, {"weights": request.path})


if __name__ == "__main__":
    options = parse_options(load_s=1.0, period_s=0.1)
    serve(WeightStore(options.load_s, options.period_s).handle)

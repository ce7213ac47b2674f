"""Stand-in for a plain service that counts each call by its key."""

from standins.common import parse_options, serve  # isort: skip

import json
from collections import Counter

import eventlet

from poplarspar.transport.server import Request, Response, json_response
from standins.backend import Backend, OverloadCrash


class Service(Backend):
    """Answers each call with a receipt after a delay."""

    def __init__(self, options) -> None:
        super().__init__(options.vm, options.cold, options.warm, options.boot_s)
        self.options = options
        self.runs_by_key: Counter[str] = Counter()

    def handle(self, request: Request) -> Response:
        common = self.handle_common(request)
        if common is not None:
            return common
        if request.path == "/runs":
            return json_response(200, self.runs_by_key)
        return self.call(request)

    def call(self, request: Request) -> Response:
        if not self.is_up:
            return json_response(500, {"error": "starting"})
        key = request.headers.get("Idempotency-Key", "")
        self.runs_by_key[key] += 1
        try:
            with self.load():
                eventlet.sleep(self.options.call_s)
                self.complete()
        except OverloadCrash:
            return json_response(500, {"error": "fell over"})
        headers = {
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Incarnation": self.incarnation,
        }
        receipt = {"key": key, "bytes": len(request.body), "by": self.vm}
        return Response(200, json.dumps(receipt).encode(), headers=headers)


if __name__ == "__main__":
    options = parse_options(vm="vm", cold=2, warm=8, boot_s=1.5, call_s=0.02)
    serve(Service(options).handle)

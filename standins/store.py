"""Stand-in for the platform's key-value store."""

from standins.common import serve  # isort: skip

import json
import time
import uuid
from urllib.parse import parse_qs, unquote

import eventlet
from eventlet.event import Event

from poplarspar.transport.server import Request, Response, json_response

LOST_ANSWER_DELAY_S = 4.0
MAX_VALUE_BYTES = 1_000_000
LEASE_CHECK_PERIOD_S = 0.1


class Store:
    """Values with revisions, leases and watches, and faults on demand."""

    def __init__(self) -> None:
        self.revision = 0
        self.value_by_key: dict[str, dict] = {}
        self.expiry_by_lease: dict[str, tuple[float, float]] = {}
        self.changed = Event()
        self.faults = {"outage": False, "delay_s": 0.0, "lose_answers": 0}
        self.limits = {"reads_per_s": 2000, "writes_per_s": 400}
        self.calls = {"reads": 0, "writes": 0, "refused": 0}
        self.calls_in_second = (0, {"reads": 0, "writes": 0})
        eventlet.spawn(self.expire_leases)

    def handle(self, request: Request) -> Response:
        if request.path == "/control":
            return self.control(json.loads(request.body or b"{}"))
        if self.faults["outage"]:
            return json_response(503, {"error": "outage"})
        write = request.method in ("PUT", "DELETE", "POST")
        if not self.within_limits("writes" if write else "reads"):
            return json_response(429, {"error": "too many calls"})
        eventlet.sleep(self.faults["delay_s"])
        response = self.dispatch(request)
        if write and self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            eventlet.sleep(LOST_ANSWER_DELAY_S)
        return response

    def control(self, changes: dict) -> Response:
        self.faults.update({k: v for k, v in changes.items() if k in self.faults})
        self.limits.update({k: v for k, v in changes.items() if k in self.limits})
        size = max((len(v["text"]) for v in self.value_by_key.values()), default=0)
        document = {
            "calls": self.calls,
            "largest": size,
            "keys": len(self.value_by_key),
        }
        return json_response(200, document)

    def within_limits(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self.calls_in_second[0]:
            self.calls_in_second = (second, {"reads": 0, "writes": 0})
        self.calls_in_second[1][kind] += 1
        if self.calls_in_second[1][kind] > self.limits[f"{kind}_per_s"]:
            self.calls["refused"] += 1
            return False
        self.calls[kind] += 1
        return True

    def dispatch(self, request: Request) -> Response:
        path, _, query = request.path.partition("?")
        match request.method, path.strip("/").split("/", 2):
            case "GET", ["v1", "values", key]:
                value = self.value_by_key.get(unquote(key))
                return json_response(200 if value else 404, value)
            case "PUT", ["v1", "values", key]:
                return self.compare_and_swap(unquote(key), json.loads(request.body))
            case "DELETE", ["v1", "values", key]:
                return self.delete(unquote(key), request)
            case "GET", ["v1", "watch"]:
                return self.watch(request)
            case "POST", ["v1", "leases"]:
                lease = uuid.uuid4().hex
                ttl_s = json.loads(request.body)["ttl_s"]
                self.expiry_by_lease[lease] = (time.monotonic() + ttl_s, ttl_s)
                return json_response(200, {"lease": lease})
            case "POST", ["v1", "leases", rest]:
                return self.renew(rest.removesuffix("/renew"))
        return json_response(404, None)

    def compare_and_swap(self, key: str, body: dict) -> Response:
        current = self.value_by_key.get(key, {"revision": 0})
        if current["revision"] != body["expected"]:
            return json_response(409, {"revision": current["revision"]})
        if len(body["text"]) > MAX_VALUE_BYTES:
            return json_response(413, {"error": "value too large"})
        self.revision += 1
        self.value_by_key[key] = {
            "key": key,
            "revision": self.revision,
            "text": body["text"],
            "lease": body["lease"] or current.get("lease", ""),
        }
        self.notify_watches()
        return json_response(200, {"revision": self.revision})

    def delete(self, key: str, request: Request) -> Response:
        expected = int(parse_qs(request.query)["expected"][0])
        current = self.value_by_key.get(key, {"revision": 0})
        if current["revision"] != expected:
            return json_response(409, {"revision": current["revision"]})
        del self.value_by_key[key]
        return json_response(200, {})

    def watch(self, request: Request) -> Response:
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        ends_at = time.monotonic() + float(query["wait_s"])
        while True:
            changed = self.changed
            found = [
                value
                for key, value in self.value_by_key.items()
                if key.startswith(query["prefix"])
                and value["revision"] > int(query["after"])
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0 or self.faults["outage"]:
                return json_response(200, {"values": found})
            changed.wait(timeout=left_s)

    def renew(self, lease: str) -> Response:
        if lease not in self.expiry_by_lease:
            return json_response(404, {})
        ttl_s = self.expiry_by_lease[lease][1]
        self.expiry_by_lease[lease] = (time.monotonic() + ttl_s, ttl_s)
        return json_response(200, {})

    def notify_watches(self) -> None:
        changed, self.changed = self.changed, Event()
        changed.send()

    def expire_leases(self) -> None:
        while True:
            eventlet.sleep(LEASE_CHECK_PERIOD_S)
            now = time.monotonic()
            for lease in [
                k for k, (end, _) in self.expiry_by_lease.items() if end < now
            ]:
                del self.expiry_by_lease[lease]
                for key in [
                    k for k, v in self.value_by_key.items() if v["lease"] == lease
                ]:
                    del self.value_by_key[key]


if __name__ == "__main__":
    serve(Store().handle)

"""HTTP clients of the platform's key-value store and its list of VMs."""

import json
from urllib.parse import quote

from poplarspar.exceptions import (
    CoordinationError,
    ProtocolError,
    RevisionConflict,
    StoreUnavailable,
    TransportError,
)
from poplarspar.protocol.backends import parse_vm_list
from poplarspar.state.replicas import Vm
from poplarspar.state.snapshot import StoredValue
from poplarspar.transport.http import HttpAnswer, HttpClient

STORE_TIMEOUT_S = 2.0
VM_LIST_TIMEOUT_S = 1.0
OK = 200
NOT_FOUND = 404
CONFLICT = 409


class HttpStore:
    """Client of the key-value store; see `coordination.store_ports.Store`."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)
        # Revision of the last write; a later write has a higher one.
        self._newest_revision = 0

    def read(self, key: str) -> StoredValue:
        """Return the value at `key`, at revision 0 when absent."""
        answer = self._send("GET", f"/v1/values/{quote(key, safe='')}")
        if answer.status == NOT_FOUND:
            return StoredValue(key, 0, "")
        value = self._value(self._document(answer))
        if value.key != key:
            raise StoreUnavailable("store: the answer belongs to another call")
        return value

    def watch(self, prefix: str, after: int, wait_s: float) -> list[StoredValue]:
        """Return values newer than revision `after`, waiting up to `wait_s`."""
        path = f"/v1/watch?prefix={quote(prefix)}&after={after}&wait_s={wait_s}"
        answer = self._send("GET", path, wait_s=wait_s)
        return [self._value(item) for item in self._document(answer)["values"]]

    def compare_and_swap(
        self, key: str, expected: int, text: str, lease: str = ""
    ) -> int:
        """Write if the key is at revision `expected` and return the new revision."""
        body = {"expected": expected, "text": text, "lease": lease}
        newest_revision = self._newest_revision
        answer = self._send("PUT", f"/v1/values/{quote(key, safe='')}", body)
        if answer.status == CONFLICT:
            raise RevisionConflict(f"{key!r} is not at revision {expected}")
        revision = self._document(answer)["revision"]
        if revision <= max(expected, newest_revision):
            raise StoreUnavailable("store: the answer belongs to an earlier call")
        self._newest_revision = max(self._newest_revision, revision)
        return revision

    def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision `expected`."""
        path = f"/v1/values/{quote(key, safe='')}?expected={expected}"
        answer = self._send("DELETE", path)
        if answer.status == CONFLICT:
            raise RevisionConflict(f"{key!r} is not at revision {expected}")
        self._document(answer)

    def grant_lease(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        answer = self._send("POST", "/v1/leases", {"ttl_s": ttl_s})
        return self._document(answer)["lease"]

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease and return whether it still existed."""
        answer = self._send("POST", f"/v1/leases/{lease}/renew", {})
        if answer.status == NOT_FOUND:
            return False
        self._document(answer)
        return True

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _send(
        self, method: str, path: str, body: dict | None = None, wait_s: float = 0.0
    ) -> HttpAnswer:
        data = b"" if body is None else json.dumps(body).encode()
        timeout_s = STORE_TIMEOUT_S + wait_s
        try:
            return self._client.send(method, path, data, read_timeout_s=timeout_s)
        except TransportError as error:
            raise StoreUnavailable(f"store: {error}") from error

    @staticmethod
    def _document(answer: HttpAnswer) -> dict:
        if answer.status != OK:
            raise StoreUnavailable(f"store answered with status {answer.status}")
        try:
            return answer.json()
        except TransportError as error:
            raise StoreUnavailable(f"store: {error}") from error

    @staticmethod
    def _value(item: dict) -> StoredValue:
        return StoredValue(item["key"], item["revision"], item["text"])


class HttpVmList:
    """Client of the list of VMs; see `coordination.ports.VmList`."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    def list(self) -> list[Vm]:
        """Return the VMs; raises `CoordinationError` when there is no valid answer."""
        try:
            answer = self._client.send(
                "GET", "/v1/vms", read_timeout_s=VM_LIST_TIMEOUT_S
            )
            return parse_vm_list(answer.body)
        except (TransportError, ProtocolError) as error:
            raise CoordinationError(f"VM list: {error}") from error

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

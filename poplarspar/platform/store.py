"""The platform's key-value store; see `coordination.store_ports.WatchedStore`."""

import base64
import binascii
import json
from urllib.parse import urlencode

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarspar.coordination.store_ports import (
    Change,
    Changes,
)
from poplarspar.events import Event
from poplarspar.exceptions import (
    HistoryLost,
    LeaseEnded,
    RevisionConflict,
    StoreUnavailable,
    TransportError,
)
from poplarspar.logs import log_event
from poplarspar.platform.headers import STORE_ERA, parse_count
from poplarspar.state.snapshot import StoredValue
from poplarspar.transport.http import HttpAnswer, HttpClient

# The store answers within milliseconds, or within 0.25 s when it is slow.
ANSWER_TIMEOUT_S = 0.8
OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
JSON_HEADERS = {"Content-Type": "application/json"}


class _Message(BaseModel):
    model_config = ConfigDict(defer_build=True)


class _Item(_Message):
    key: str
    revision: int
    value: str = ""
    lease: int = 0
    deleted: bool = False


class _ItemPage(_Message):
    items: list[_Item]
    # Whether another page follows; it starts after this page's last key.
    more_pages: bool = False
    as_of: int


class _Events(_Message):
    events: list[_Item]
    as_of: int


class _Committed(_Message):
    revision: int


class _Lease(_Message):
    lease: int = 0
    ttl_ms: int = Field(gt=0)


class PlatformStore:
    """Client of the store; concurrent calls use a connection each.

    Attributes
    ----------
    era : int
        Newest era that an answer has named; it rises with each restore of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = self._connect()
        # Revisions only grow, so an older answer belongs to an earlier call.
        self._newest_revision = 0
        self._has_era = False
        self.era = 0

    def _connect(self) -> HttpClient:
        return HttpClient(self._address, tcp_keepalive=True)

    def read(self, key: str) -> StoredValue:
        """Return the value at `key`, at revision 0 when absent."""
        answer = self._get("kv-key", {"key": key})
        if answer.status == NOT_FOUND:
            return StoredValue(key, 0, "")
        item = self._parse(_Item, answer)
        if item.key != key:
            raise self._reject_copy()
        return StoredValue(item.key, item.revision, _decode_value(item.value))

    def read_all(self, prefix: str, *, may_be_old: bool = False) -> Changes:
        """Return all values under a prefix; `may_be_old` costs a tenth."""
        items: list[Change] = []
        as_of = None
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if may_be_old:
                query["serializable"] = 1
            if after:
                # Despite its name, the field is the key after which kv-range continues.
                query["since_rev"] = after
            newest_revision = self._newest_revision
            page = self._parse(_ItemPage, self._get("kv-range", query))
            if page.as_of < newest_revision and not may_be_old:
                raise self._reject_copy()
            self._record_revision(page.as_of)
            # A later page may be newer, so the watch starts at the first page's
            # revision and reports the changes between the pages again.
            as_of = page.as_of if as_of is None else as_of
            items += [_to_change(item) for item in page.items]
            if not page.more_pages or not page.items:
                return Changes(tuple(items), as_of)
            after = page.items[-1].key

    def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision, waiting up to `wait_s` for the first.

        Raises
        ------
        HistoryLost
            If the store has discarded that part of its history.
        """
        query = {
            "path_prefix": prefix,
            "since_rev": after,
            "wait_ms": int(wait_s * 1000),
        }
        answer = self._get("kv-watch", query, wait_s)
        if answer.status == GONE:
            raise HistoryLost(
                f"store has discarded the history of {prefix!r} after {after}"
            )
        batch = self._parse(_Events, answer)
        return Changes(tuple(_to_change(item) for item in batch.events), batch.as_of)

    def watch(self, prefix: str, after: int, wait_s: float) -> list[StoredValue]:
        """Return values newer than revision `after`, waiting up to `wait_s`."""
        changes = self.changes(prefix, after, wait_s)
        return [
            StoredValue(change.key, change.revision, change.text)
            for change in changes.items
            if change.text is not None
        ]

    def compare_and_swap(
        self, key: str, expected: int, text: str, lease: str = ""
    ) -> int:
        """Write if the key is at revision `expected` and return the new revision."""
        put = {"key": key, "value": base64.b64encode(text.encode()).decode()}
        if lease:
            put["lease"] = int(lease)
        newest_revision = self._newest_revision
        answer = self._commit(key, expected, puts=[put])
        revision = self._parse(_Committed, answer).revision
        if revision <= newest_revision:
            raise self._reject_copy()
        self._record_revision(revision)
        return revision

    def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision `expected`."""
        self._parse(_Committed, self._commit(key, expected, remove=[key]))

    def grant_lease(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        answer = self._post("kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        return str(self._parse(_Lease, answer).lease)

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease and return whether it still existed."""
        answer = self._post(f"kv-keep/{lease}", None)
        if answer.status == NOT_FOUND:
            return False
        self._parse(_Lease, answer)
        return True

    def end_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys."""
        answer = self._send("DELETE", f"kv-lease-end/{lease}")
        if answer.status not in (OK, NOT_FOUND):
            raise StoreUnavailable(f"store answered with status {answer.status}")

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _record_revision(self, revision: int) -> None:
        self._newest_revision = max(self._newest_revision, revision)

    def _record_era(self, answer: HttpAnswer) -> None:
        era = parse_count(answer.headers.get(STORE_ERA, ""))
        if era is None:
            return
        if self._has_era and era > self.era:
            log_event(
                Event.STORE_RESTORED,
                era=era,
                before=self.era,
                newest=self._newest_revision,
            )
        self._has_era = True
        self.era = max(self.era, era)

    def _reject_copy(self) -> StoreUnavailable:
        """Close all connections, on which later answers would be out of step too."""
        self._client.close()
        self._client = self._connect()
        log_event(Event.ANSWER_REPEATED, peer="store")
        return StoreUnavailable("store: the answer belongs to an earlier call")

    def _commit(
        self, key: str, expected: int, puts: list = (), remove: list = ()
    ) -> HttpAnswer:
        body = {
            "expected": [{"key": key, "revision": expected}],
            "puts": list(puts),
            "remove": list(remove),
        }
        answer = self._post("kv-txn", body)
        if answer.status == CONFLICT:
            raise RevisionConflict(f"{key!r} is not at revision {expected}")
        if answer.status == NOT_FOUND:
            raise LeaseEnded(f"the lease for {key!r} has ended")
        return answer

    def _get(self, endpoint: str, query: dict, wait_s: float = 0.0) -> HttpAnswer:
        return self._send("GET", f"{endpoint}?{urlencode(query)}", wait_s=wait_s)

    def _post(self, endpoint: str, body: dict | None) -> HttpAnswer:
        data = b"" if body is None else json.dumps(body).encode()
        return self._send("POST", endpoint, data)

    def _send(
        self, method: str, endpoint: str, data: bytes = b"", wait_s: float = 0.0
    ) -> HttpAnswer:
        try:
            answer = self._client.send(
                method,
                f"/poplarspar/{endpoint}",
                data,
                read_timeout_s=ANSWER_TIMEOUT_S + wait_s,
                headers=JSON_HEADERS if data else None,
            )
        except TransportError as error:
            raise StoreUnavailable(f"store: {error}") from error
        self._record_era(answer)
        return answer

    @staticmethod
    def _parse(model: type, answer: HttpAnswer):
        if answer.status != OK:
            raise StoreUnavailable(f"store answered with status {answer.status}")
        try:
            return model.model_validate_json(answer.body)
        except ValidationError as error:
            raise StoreUnavailable("store: an answer can't be decoded") from error


def _to_change(item: _Item) -> Change:
    text = None if item.deleted else _decode_value(item.value)
    return Change(item.key, item.revision, text)


def _decode_value(value: str) -> str:
    """Return a value as text; malformed bytes yield text that is not valid JSON."""
    try:
        data = base64.b64decode(value, validate=True)
    except binascii.Error:
        return ""
    return data.decode("utf-8", errors="replace")

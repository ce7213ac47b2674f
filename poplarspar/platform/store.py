"""The platform's key-value store; see `coordination.store_ports.WatchedStore`."""

import base64
import binascii
import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlencode

from pydantic import ValidationError

from poplarspar.coordination.store_ports import (
    CallKind,
    Change,
    Changes,
)
from poplarspar.events import Event
from poplarspar.exceptions import (
    CallInterrupted,
    ConnectionLost,
    HistoryLost,
    LeaseEnded,
    PeerDisconnected,
    RevisionConflict,
    StoreUnavailable,
    TransportError,
    UnreadableAnswer,
)
from poplarspar.logs import log_event
from poplarspar.platform.headers import (
    MAX_COUNT_DIGITS,
    STORE_ERA,
    IgnoredHeaders,
    parse_integer,
)
from poplarspar.platform.store_messages import (
    Committed,
    Events,
    Item,
    ItemPage,
    Lease,
)
from poplarspar.state.snapshot import StoredValue
from poplarspar.transport.http import HttpClient

# The store answers within milliseconds, or within 0.25 s when it is slow.
ANSWER_TIMEOUT_S = 0.8
OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
TOO_MANY_REQUESTS = 429
JSON_HEADERS = {"Content-Type": "application/json"}
# The store gives out revisions again after a restore. Here the era is the high part of
# a revision, so that revisions only grow.
REVISIONS_PER_ERA = 1 << 32
# Fencing tokens, which contain a revision, must be below 2 to the power of 63. An era
# may begin with any number, since it only rises by one.
ERAS = 1 << 11


@dataclass(frozen=True)
class _Answer:
    """An answer of the store, and the era in which the store gave it."""

    status: int
    body: bytes
    era: int

    def revision(self, number: int) -> int:
        """Return a revision of this era that is above those of all earlier eras."""
        return number and self.era % ERAS * REVISIONS_PER_ERA + number


class PlatformStore:
    """Client of the store; concurrent calls use a connection each.

    A store that is restored from a copy gives out revisions and lease ids again. So
    revisions here contain the era, and leases of an earlier era count as ended.

    Attributes
    ----------
    era : int
        Newest era that an answer has named; it rises with each restore.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = self._connect()
        # Revisions only grow, so an older answer belongs to an earlier call.
        self._newest_revision = 0
        self._restore_callbacks: list[Callable[[], None]] = []
        self._reconnect_callbacks: list[Callable[[], None]] = []
        self._call_callbacks: list[Callable[[CallKind, str], None]] = []
        self._has_era = False
        self._ignored = IgnoredHeaders()
        self.era = 0

    def _connect(self) -> HttpClient:
        return HttpClient(self._address, tcp_keepalive=True)

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not wait, once the store shows an older state."""
        self._restore_callbacks.append(callback)

    def on_reconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not wait, once calls use new connections."""
        self._reconnect_callbacks.append(callback)

    def on_call(self, callback: Callable[[CallKind, str], None]) -> None:
        """Call `callback` before each call; see `WatchedStore.on_call`."""
        self._call_callbacks.append(callback)

    def reconnect(self) -> None:
        """Use new connections from now on; waiting calls keep theirs."""
        self._client.close()
        self._client = self._connect()
        for callback in self._reconnect_callbacks:
            callback()

    def read(self, key: str) -> StoredValue:
        """Return the value at `key`, at revision 0 when absent."""
        self._record_call(CallKind.READ, key)
        answer = self._get("kv-key", {"key": key})
        if answer.status == NOT_FOUND:
            return StoredValue(key, 0, "")
        item = self._parse(Item, answer)
        if item.key != key:
            raise self._reject_copy()
        revision = answer.revision(item.revision)
        return StoredValue(item.key, revision, _decode_value(item.value))

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
            kind = CallKind.READ_ALL_OLD if may_be_old else CallKind.READ_ALL
            self._record_call(kind, prefix)
            answer = self._get("kv-range", query, may_be_old=may_be_old)
            page = self._parse(ItemPage, answer)
            page_as_of = answer.revision(page.as_of)
            if page_as_of < newest_revision and not may_be_old:
                raise self._reject_copy()
            self._record_revision(page_as_of)
            # A later page may be newer, so the watch starts at the first page's
            # revision and reports the changes between the pages again. After a restore
            # between them it has no such history, and all values are read again.
            as_of = page_as_of if as_of is None else as_of
            items += [_to_change(item, answer) for item in page.items]
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
        era, since = divmod(after, REVISIONS_PER_ERA)
        query = {
            "path_prefix": prefix,
            "since_rev": since,
            "wait_ms": int(wait_s * 1000),
        }
        is_present = era == self.era % ERAS
        if is_present:
            self._record_call(CallKind.WATCH, prefix)
        answer = self._get("kv-watch", query, wait_s) if is_present else None
        if answer is None or answer.status == GONE or answer.era % ERAS != era:
            raise HistoryLost(
                f"store has discarded the history of {prefix!r} after {after}"
            )
        batch = self._parse(Events, answer)
        return Changes(
            tuple(_to_change(item, answer) for item in batch.events),
            answer.revision(batch.as_of),
        )

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
            put["lease"] = self._lease_number(lease)
        newest_revision = self._newest_revision
        answer = self._commit(key, expected, puts=[put])
        revision = answer.revision(self._parse(Committed, answer).revision)
        if revision <= newest_revision:
            raise self._reject_copy()
        self._record_revision(revision)
        return revision

    def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision `expected`."""
        self._parse(Committed, self._commit(key, expected, remove=[key]))

    def grant_lease(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        self._record_call(CallKind.LEASE_GRANT)
        answer = self._post("kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        return f"{answer.era}:{self._parse(Lease, answer).lease}"

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease and return whether it still existed."""
        try:
            number = self._lease_number(lease)
        except LeaseEnded:
            return False
        self._record_call(CallKind.LEASE_RENEWAL)
        answer = self._post(f"kv-keep/{number}", None)
        if answer.status == NOT_FOUND:
            return False
        self._parse(Lease, answer)
        # After a restore the number may be that of another node's lease.
        return lease.startswith(f"{answer.era}:")

    def end_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys."""
        try:
            number = self._lease_number(lease)
        except LeaseEnded:
            return
        self._record_call(CallKind.LEASE_END)
        answer = self._send("DELETE", f"kv-lease-end/{number}")
        if answer.status not in (OK, NOT_FOUND):
            raise StoreUnavailable(f"store answered with status {answer.status}")

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _record_call(self, kind: CallKind, key: str = "") -> None:
        for callback in self._call_callbacks:
            callback(kind, key)

    def _record_revision(self, revision: int) -> None:
        self._newest_revision = max(self._newest_revision, revision)

    def _reject_copy(self) -> StoreUnavailable:
        """Close all connections, on which later answers would be out of step too."""
        self.reconnect()
        log_event(Event.ANSWER_REPEATED, peer="store")
        return StoreUnavailable("store: the answer belongs to an earlier call")

    def _record_era(self, era: int) -> None:
        if self._has_era and era > self.era:
            log_event(
                Event.STORE_RESTORED,
                era=era,
                before=self.era,
                newest=self._newest_revision % REVISIONS_PER_ERA,
            )
            self.era = era
            for callback in self._restore_callbacks:
                callback()
        self._has_era = True
        self.era = max(self.era, era)

    def _lease_number(self, lease: str) -> int:
        """Return the store's number of a lease; raises `LeaseEnded`."""
        era, _, number = lease.partition(":")
        if int(era) != self.era:
            raise LeaseEnded(f"the store was restored after it had granted {lease!r}")
        return int(number)

    def _commit(
        self, key: str, expected: int, puts: list = (), remove: list = ()
    ) -> _Answer:
        era, expected_number = divmod(expected, REVISIONS_PER_ERA)
        if expected and era != self.era % ERAS:
            raise RevisionConflict(f"{key!r} was read before the store was restored")
        body = {
            "expected": [{"key": key, "revision": expected_number}],
            "puts": list(puts),
            "remove": list(remove),
        }
        self._record_call(CallKind.WRITE, key)
        answer = self._post("kv-txn", body)
        if answer.status == CONFLICT:
            raise RevisionConflict(f"{key!r} is not at revision {expected}")
        if answer.status == NOT_FOUND:
            raise LeaseEnded(f"the lease for {key!r} has ended")
        return answer

    def _get(
        self,
        endpoint: str,
        query: dict,
        wait_s: float = 0.0,
        may_be_old: bool = False,
    ) -> _Answer:
        path = f"{endpoint}?{urlencode(query)}"
        return self._send("GET", path, wait_s=wait_s, may_be_old=may_be_old)

    def _post(self, endpoint: str, body: dict | None) -> _Answer:
        data = b"" if body is None else json.dumps(body).encode()
        return self._send("POST", endpoint, data)

    def _send(
        self,
        method: str,
        endpoint: str,
        data: bytes = b"",
        wait_s: float = 0.0,
        may_be_old: bool = False,
    ) -> _Answer:
        client = self._client
        try:
            answer = client.send(
                method,
                f"/poplarspar/{endpoint}",
                data,
                read_timeout_s=ANSWER_TIMEOUT_S + wait_s,
                headers=JSON_HEADERS if data else None,
            )
        except (PeerDisconnected, UnreadableAnswer) as error:
            raise CallInterrupted(f"store: {error}") from error
        except ConnectionLost as error:
            self._record_silence(client, str(error))
            raise StoreUnavailable(f"store: {error}") from error
        except TransportError as error:
            raise StoreUnavailable(f"store: {error}") from error
        if answer.status == TOO_MANY_REQUESTS:
            raise CallInterrupted("store: too many calls")
        era = self._parse_era(answer.headers.get(STORE_ERA))
        if era < self.era and not may_be_old:
            raise self._reject_copy()
        self._record_era(era)
        return _Answer(answer.status, answer.body, era)

    def _record_silence(self, client: HttpClient, cause: str) -> None:
        """Leave all connections of a client on which a call got no answer in time."""
        if client is not self._client:
            return
        log_event(Event.STORE_SILENT, cause=cause)
        self.reconnect()

    def _parse_era(self, text: str | None) -> int:
        """Return the era in an answer, the known one if it is absent or malformed."""
        era = None if text is None else parse_integer(text, MAX_COUNT_DIGITS)
        if era is not None:
            return era
        if text is not None:
            self._ignored.record("store", STORE_ERA, text)
        return self.era

    @staticmethod
    def _parse(model: type, answer: _Answer):
        if answer.status != OK:
            raise StoreUnavailable(f"store answered with status {answer.status}")
        try:
            return model.model_validate_json(answer.body)
        except ValidationError as error:
            raise StoreUnavailable("store: an answer can't be decoded") from error


def _to_change(item: Item, answer: _Answer) -> Change:
    text = None if item.deleted else _decode_value(item.value)
    return Change(item.key, answer.revision(item.revision), text)


def _decode_value(value: str) -> str:
    """Return a value as text; malformed bytes yield text that is not valid JSON."""
    try:
        data = base64.b64decode(value, validate=True)
    except binascii.Error:
        return ""
    return data.decode("utf-8", errors="replace")

"""Running a request at most once, whichever entries its retries reach.

A record is created in the store before a request is sent, by create-if-absent.
Whoever creates it may send, once; everybody else gets the recorded answer, or
hears that the outcome is unknown. The record is only ever removed by its
creator, and only while nothing was sent.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

import eventlet
from expression import Error, Ok, Result

from poplarspar.coordination.ports import Answer, Store
from poplarspar.exceptions import CoordinationError, RevisionConflict, StoreUnavailable
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.snapshot import StoredValue

WRITE_RETRY_S = 1.0
RETENTION_S = 7 * 24 * 3600.0
LEASE_REUSE_S = 3600.0
MAX_RECORDED_BYTES = 500_000


class Progress(StrEnum):
    """How far a request that must not be repeated has come."""

    STARTED = "started"
    DONE = "done"


@dataclass(frozen=True)
class RequestRecord:
    """The store's record of one idempotency key.

    Attributes
    ----------
    attempt : str
        Identifier of the one attempt that may send the request.
    fingerprint : str
        Digest of the request's body.
    """

    attempt: str
    fingerprint: str
    progress: Progress = Progress.STARTED
    answer: Answer | None = None


@dataclass(frozen=True)
class Claim:
    """The right to send the request of one key, once."""

    key: str
    revision: int
    record: RequestRecord


class RetentionLease:
    """A store lease, shared by the records of an hour, after which they expire."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lease = ""
        self._renew_at = float("-inf")

    def current(self) -> str:
        """Return the identifier of the lease for new records."""
        if time.monotonic() >= self._renew_at:
            self._lease = self._store.grant_lease(RETENTION_S)
            self._renew_at = time.monotonic() + LEASE_REUSE_S
        return self._lease


class RequestRecords:
    """Records of requests that must not be repeated.

    Parameters
    ----------
    store : Store
        The platform's store.
    encode, decode : callable
        Turn a record into its document and back.
    """

    def __init__(
        self,
        store: Store,
        encode: Callable[[RequestRecord], str],
        decode: Callable[[str], RequestRecord],
    ) -> None:
        self._store = store
        self._encode = encode
        self._decode = decode
        self._retention = RetentionLease(store)

    def claim(self, key: str, fingerprint: str) -> Result[Claim | Answer, Refusal]:
        """Create the record of `key`, or return the answer it already has."""
        record = RequestRecord(uuid.uuid4().hex, fingerprint)
        try:
            lease = self._retention.current()
            revision = self._create(key, record, lease)
        except StoreUnavailable:
            self._clean_up_later(key, record)
            message = (
                "this attempt was not sent: the store does not answer, so an "
                "earlier attempt with the key cannot be ruled out; try again"
            )
            return Error(Refusal(Reason.STORE, message, Ran.UNKNOWN))
        if revision:
            return Ok(Claim(key, revision, record))
        return self._recorded_answer(key, fingerprint)

    def cancel(self, claim: Claim) -> None:
        """Make the key usable again, because nothing was sent."""
        try:
            self._store.delete(claim.key, claim.revision)
        except CoordinationError:
            self._clean_up_later(claim.key, claim.record)

    def finish(self, claim: Claim, answer: Answer) -> None:
        """Record the answer, so that later requests with the key get it.

        An answer that is too large for the store is not recorded; later requests
        with its key are told that the outcome is unknown.
        """
        if len(answer.body) > MAX_RECORDED_BYTES:
            return
        record = replace(claim.record, progress=Progress.DONE, answer=answer)
        text = self._encode(record)
        if not self._write_answer(claim, text):
            eventlet.spawn(self._write_answer_later, claim, text)

    def _create(self, key: str, record: RequestRecord, lease: str) -> int:
        """Return the revision of the new record, 0 if the key has one already."""
        text = self._encode(record)
        try:
            return self._store.compare_and_swap(key, 0, text, lease)
        except RevisionConflict:
            return 0
        except StoreUnavailable:
            # The answer may have been lost after the write took effect.
            return self._own_revision(self._store.read(key), record)

    def _own_revision(self, value: StoredValue, record: RequestRecord) -> int:
        if value.revision == 0:
            raise StoreUnavailable(f"the write of {value.key!r} did not take effect")
        is_own = self._decode(value.text).attempt == record.attempt
        return value.revision if is_own else 0

    def _recorded_answer(self, key: str, fingerprint: str) -> Result[Answer, Refusal]:
        try:
            value = self._store.read(key)
        except StoreUnavailable:
            message = "another request with this key was accepted before"
            return Error(Refusal(Reason.IN_PROGRESS, message, Ran.UNKNOWN))
        if value.revision == 0:
            message = "another request with this key was just withdrawn; try again"
            return Error(Refusal(Reason.IN_PROGRESS, message))
        record = self._decode(value.text)
        if record.fingerprint != fingerprint:
            message = "the key was used before with a different body"
            return Error(Refusal(Reason.KEY_REUSED, message, Ran.UNKNOWN))
        if record.answer is None:
            message = "a request with this key was sent; its outcome is not known"
            return Error(Refusal(Reason.IN_PROGRESS, message, Ran.UNKNOWN))
        return Ok(record.answer)

    def _write_answer(self, claim: Claim, text: str) -> bool:
        """Try once to write an answer and return whether that is settled."""
        try:
            self._store.compare_and_swap(claim.key, claim.revision, text)
        except RevisionConflict:
            # An earlier try took effect and its answer was lost.
            pass
        except StoreUnavailable:
            return False
        return True

    def _write_answer_later(self, claim: Claim, text: str) -> None:
        # The store may be out for long; without this write, later requests
        # with the key are told "unknown", which is safe.
        while not self._write_answer(claim, text):
            eventlet.sleep(WRITE_RETRY_S)

    def _clean_up_later(self, key: str, record: RequestRecord) -> None:
        eventlet.spawn(self._clean_up, key, record)

    def _clean_up(self, key: str, record: RequestRecord) -> None:
        """Delete the record of an attempt that never sent, when the store is back."""
        while True:
            try:
                value = self._store.read(key)
                if value.revision and self._own_revision(value, record):
                    self._store.delete(key, value.revision)
                return
            except RevisionConflict:
                continue
            except StoreUnavailable:
                eventlet.sleep(WRITE_RETRY_S)

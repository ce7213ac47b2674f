"""Runs non-repeatable requests at most once, whichever entries receive the retries.

Before an entry sends a request, it creates a record in the store, which succeeds
only if the key has none. The attempt that creates the record may send the request
once. Every other attempt returns the recorded answer, or a refusal saying that
the outcome is unknown. Only the attempt that created a record deletes it, and
only if it sent nothing.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

import eventlet

from poplarspar.coordination.ports import (
    Answer,
)
from poplarspar.coordination.store_ports import (
    Store,
)
from poplarspar.exceptions import CoordinationError, RevisionConflict, StoreUnavailable
from poplarspar.state.refusals import Ran, Reason, Refusal
from poplarspar.state.results import Error, Ok, Result
from poplarspar.state.snapshot import StoredValue

WRITE_RETRY_S = 1.0
RETENTION_S = 7 * 24 * 3600.0
LEASE_REUSE_S = 3600.0
MAX_RECORDED_BYTES = 500_000


class Progress(StrEnum):
    """Progress of a request that must run at most once."""

    STARTED = "started"
    DONE = "done"


@dataclass(frozen=True)
class RequestRecord:
    """The stored record of one idempotency key.

    Attributes
    ----------
    attempt : str
        Identifier of the only attempt that may send the request.
    fingerprint : str
        Digest of the request's body.
    """

    attempt: str
    fingerprint: str
    progress: Progress = Progress.STARTED
    answer: Answer | None = None


@dataclass(frozen=True)
class Claim:
    """Permission to send the request of one key once."""

    key: str
    revision: int
    record: RequestRecord


class RetentionLease:
    """A store lease with which records expire; records of one hour share it."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lease_id = ""
        self._renew_at = float("-inf")

    def current(self) -> str:
        """Return the identifier of the lease for new records."""
        if time.monotonic() >= self._renew_at:
            self._lease_id = self._store.grant_lease(RETENTION_S)
            self._renew_at = time.monotonic() + LEASE_REUSE_S
        return self._lease_id


class RequestRecords:
    """Records of requests that must run at most once.

    Parameters
    ----------
    store : Store
        The platform's store.
    encode, decode : callable
        Convert a record to its document and back.
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
        """Create the record of `key`, or return its recorded answer."""
        record = RequestRecord(uuid.uuid4().hex, fingerprint)
        try:
            lease = self._retention.current()
            revision = self._create(key, record, lease)
        except StoreUnavailable:
            self._clean_up_later(key, record)
            message = (
                "this attempt was not sent: the store is unavailable, so an "
                "earlier attempt with the key cannot be ruled out; try again"
            )
            return Error(Refusal(Reason.STORE, message, Ran.UNKNOWN))
        if revision:
            return Ok(Claim(key, revision, record))
        return self._recorded_answer(key, fingerprint)

    def cancel(self, claim: Claim) -> None:
        """Delete the record of an unsent request, so that its key can be used again."""
        try:
            self._store.delete(claim.key, claim.revision)
        except CoordinationError:
            self._clean_up_later(claim.key, claim.record)

    def finish(self, claim: Claim, answer: Answer) -> None:
        """Record the answer for later requests with the same key.

        An answer that is too large for the store is not recorded; later requests
        with its key are refused with an unknown outcome.
        """
        if len(answer.body) > MAX_RECORDED_BYTES:
            return
        record = replace(claim.record, progress=Progress.DONE, answer=answer)
        text = self._encode(record)
        if not self._write_answer(claim, text):
            eventlet.spawn(self._write_answer_later, claim, text)

    def _create(self, key: str, record: RequestRecord, lease: str) -> int:
        """Return the revision of the new record, or 0 if the key already has one."""
        text = self._encode(record)
        try:
            return self._store.compare_and_swap(key, 0, text, lease)
        except RevisionConflict:
            return 0
        except StoreUnavailable:
            # The write may have taken effect although its answer was lost.
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
            message = "an earlier request with this key was accepted"
            return Error(Refusal(Reason.IN_PROGRESS, message, Ran.UNKNOWN))
        if value.revision == 0:
            message = "an earlier request with this key was just cancelled; try again"
            return Error(Refusal(Reason.IN_PROGRESS, message))
        record = self._decode(value.text)
        if record.fingerprint != fingerprint:
            message = "an earlier request used this key with a different body"
            return Error(Refusal(Reason.KEY_REUSED, message, Ran.UNKNOWN))
        if record.answer is None:
            message = "a request with this key was sent; its outcome is unknown"
            return Error(Refusal(Reason.IN_PROGRESS, message, Ran.UNKNOWN))
        return Ok(record.answer)

    def _write_answer(self, claim: Claim, text: str) -> bool:
        """Try once to write an answer; return False if a retry is needed."""
        try:
            self._store.compare_and_swap(claim.key, claim.revision, text)
        except RevisionConflict:
            # An earlier write took effect, but the store's answer was lost.
            pass
        except StoreUnavailable:
            return False
        return True

    def _write_answer_later(self, claim: Claim, text: str) -> None:
        # A store outage may last long. Until the write succeeds, later requests
        # with the key are refused with an unknown outcome, which is safe.
        while not self._write_answer(claim, text):
            eventlet.sleep(WRITE_RETRY_S)

    def _clean_up_later(self, key: str, record: RequestRecord) -> None:
        eventlet.spawn(self._clean_up, key, record)

    def _clean_up(self, key: str, record: RequestRecord) -> None:
        """Delete the record of an unsent attempt once the store is available."""
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

"""Statuses and JSON bodies of refusals."""

import json

from poplarspar.state.refusals import Reason, Refusal

STATUS_BY_REASON = {
    Reason.INVALID: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.NOT_FOUND: 404,
    Reason.IN_PROGRESS: 409,
    Reason.KEY_REUSED: 422,
    Reason.QUEUE_FULL: 429,
    Reason.BACKEND: 502,
    Reason.STALE: 503,
    Reason.NO_BACKEND: 503,
    Reason.STORE: 503,
    Reason.DRAINING: 503,
    Reason.QUARANTINED: 503,
    Reason.TIMEOUT: 504,
}


def refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    document = {
        "error": {
            "reason": refusal.reason.value,
            "message": refusal.message,
            "ran": refusal.ran.value,
        }
    }
    return json.dumps(document).encode()

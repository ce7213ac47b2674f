"""The platform's header names, and what each holds."""

from poplarspar.state.backends import Load

REQUEST_ID = "Attempt-Id"
# Milliseconds that the caller still waits.
DEADLINE_MS = "Deadline-Ms"
MODEL = "Model"
# Prompt tokens and answer tokens at most.
TOKEN_COUNT = "Token-Count"
# The caller's estimate of the answer's tokens.
EXPECTED_TOKENS = "Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
AUTHORIZATION_SCHEME = "Token "
WORKSPACE = "Tenant"
EXPECTED_BACKEND = "Expect-Instance"
PRIORITY = "Request-Priority"
SIGNATURE = "Response-Signature"
NOT_EXECUTED = "Not-Executed"
LOAD = "Server-Load"

# Headers that concern one connection, or that are set anew on the way.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        DEADLINE_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        WORKSPACE,
        EXPECTED_BACKEND,
        PRIORITY,
    )
)
NOT_RETURNED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        LOAD,
    )
)


def parse_load(text: str | None) -> Load | None:
    """Decode running requests, waiting requests and slots; None if unreadable."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)

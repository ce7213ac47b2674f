"""Names of the platform's headers, and decoding of its load header."""

import re

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import Load

REQUEST_ID = "Attempt-Id"
# Milliseconds until the caller's deadline.
DEADLINE_MS = "Deadline-Ms"
MODEL = "Model"
# Number of prompt tokens, and the maximum number of answer tokens.
TOKEN_COUNT = "Token-Count"
# Parts of the prompt in order, as ID:TOKENS entries; requests share all but the last.
PROMPT_PARTS = "Prompt-Prefix"
# Caller's estimate of the number of answer tokens.
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
# Requests per second that the backend server takes from all nodes together.
RATE_LIMIT = "Server-Limit"
# A backend server that leaves has this header in all its answers.
LEAVING = "Server-Leaving"
# Seconds for which a backend server wants no requests of this node.
PAUSE = "Retry-After"
# How often the store has been restored from an older copy.
STORE_ERA = "Store-Era"

# Headers that apply to one connection, or that the node sets or evaluates itself.
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
        RATE_LIMIT,
        LEAVING,
    )
)

# Larger counts can't be meant, and their sums must fit into messages between nodes.
MAX_COUNT_DIGITS = 9
MAX_LOGGED_CHARS = 40
_DIGITS = re.compile(r"[0-9]+")
# A limit has at most as many digits as a rate can need.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_count(text: str, max_digits: int = MAX_COUNT_DIGITS) -> int | None:
    """Decode a whole number of up to `max_digits` digits; None if malformed."""
    text = text.strip()
    if len(text) > max_digits or not _DIGITS.fullmatch(text):
        return None
    return int(text)


def parse_load(text: str | None) -> Load | None:
    """Decode running requests, waiting requests and slots; None if malformed."""
    parts = (text or "").split(",")
    counts = [parse_count(part) for part in parts]
    if len(counts) != 3 or None in counts:
        return None
    return Load(*counts)


def parse_rate_limit(text: str | None) -> float | None:
    """Decode requests per second; None without a limit or if malformed."""
    text = (text or "").strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def parse_pause(text: str | None) -> float | None:
    """Decode a pause in seconds; malformed ones are logged and ignored."""
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text.strip()):
        log_event(Event.HEADER_IGNORED, header=PAUSE, value=text[:MAX_LOGGED_CHARS])
        return None
    return float(text)


def parse_leaving(text: str | None) -> bool:
    """Decode whether a backend server leaves; other values are logged and ignored."""
    if text is None:
        return False
    values = {value.strip() for value in text.split(",")}
    if values != {"1"}:
        log_event(Event.HEADER_IGNORED, header=LEAVING, value=text[:MAX_LOGGED_CHARS])
        return False
    return True

"""Names of the platform's headers, and decoding of its load header."""

import re

from poplarspar.coordination.forwarding import (
    NamedLimit,
    NoLimit,
    ObservedLimit,
    UnreadableLimit,
)
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
# Node that makes a call of a duty, and its token, which rises with the holder.
LEASE_HOLDER = "Lease-Holder"
FENCING_TOKEN = "Fencing-Token"

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

# The sums of counts must fit into messages between nodes.
MAX_COUNT = 999_999_999
MAX_COUNT_DIGITS = 18
# A backend server that names a higher limit takes all requests.
MAX_REQUESTS_PER_S = 1e9
MAX_PAUSE_S = 1e9
MAX_LOGGED_CHARS = 40
# Backend servers and headers whose last ignored value is known.
MAX_IGNORED_KNOWN = 1024
_DIGITS = re.compile(r"[0-9]+")
# Programs print fractions with any number of digits.
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


class IgnoredHeaders:
    """Logs each malformed value once, although all answers of a server may have it."""

    def __init__(self) -> None:
        self._value_by_header: dict[tuple[str, str], str] = {}

    def record(self, peer: str, header: str, value: str) -> None:
        """Log that the value of a peer's header is malformed, unless it is known."""
        key, shown = (peer, header), value[:MAX_LOGGED_CHARS]
        if self._value_by_header.pop(key, None) != shown:
            log_event(Event.HEADER_IGNORED, peer=peer, header=header, value=shown)
        self._value_by_header[key] = shown
        if len(self._value_by_header) > MAX_IGNORED_KNOWN:
            del self._value_by_header[next(iter(self._value_by_header))]


def parse_integer(text: str, max_digits: int) -> int | None:
    """Decode a whole number of up to `max_digits` digits; None if malformed."""
    text = text.strip()
    if len(text) > max_digits or not _DIGITS.fullmatch(text):
        return None
    return int(text)


def parse_count(text: str) -> int | None:
    """Decode a count, at most `MAX_COUNT`; None if malformed."""
    count = parse_integer(text, MAX_COUNT_DIGITS)
    return None if count is None else min(count, MAX_COUNT)


def parse_load(text: str) -> Load | None:
    """Decode running requests, waiting requests and slots; None if malformed."""
    counts = [parse_count(part) for part in text.split(",")]
    if len(counts) != 3 or None in counts:
        return None
    return Load(*counts)


def parse_rate_limit(text: str | None) -> ObservedLimit:
    """Decode the header with a limit on requests per second."""
    if text is None:
        return NoLimit()
    requests_per_s = _parse_decimal(text)
    if requests_per_s is None:
        return UnreadableLimit()
    return NamedLimit(min(requests_per_s, MAX_REQUESTS_PER_S))


def parse_pause(text: str) -> float | None:
    """Decode a pause in seconds; None if malformed."""
    pause_s = _parse_decimal(text)
    return None if pause_s is None else min(pause_s, MAX_PAUSE_S)


def parse_leaving(text: str) -> bool | None:
    """Decode whether a backend server leaves; None if malformed."""
    values = {value.strip() for value in text.split(",")}
    return True if values == {"1"} else None


def _parse_decimal(text: str) -> float | None:
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None

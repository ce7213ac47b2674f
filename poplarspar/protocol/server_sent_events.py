"""Splitting of a stream into unchanged server-sent events."""

import re
from collections.abc import Iterable, Iterator

from poplarspar.coordination.forwarding.ports import StreamEvent
from poplarspar.exceptions import AnswerTruncated, ProtocolError

MAX_EVENT_BYTES = 262_144
MAX_EVENT_ID_DIGITS = 38
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Each line of an event is a field with its name, or a comment without one.
_FIELDS = re.compile(rb"(?:[A-Za-z-]*:[^\n]*(?:\n|$))+")


def split_events(chunks: Iterable[bytes]) -> Iterator[StreamEvent]:
    """Yield each complete event with its number and bytes.

    Raises
    ------
    ProtocolError
        If an event is too large or has lines that are no fields, or its id is not a
        number.
    AnswerTruncated
        If the stream ends inside an event.
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        *events, buffer = buffer.split(EVENT_END)
        if len(buffer) > MAX_EVENT_BYTES:
            raise ProtocolError(f"a server-sent event exceeds {MAX_EVENT_BYTES} bytes")
        for event in events:
            if not _FIELDS.fullmatch(event):
                raise ProtocolError("a server-sent event has a line that is no field")
            yield StreamEvent(_parse_id(event), event + EVENT_END)
    if buffer:
        raise AnswerTruncated("the stream ended inside an event")


def _parse_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line.removeprefix(ID_FIELD).strip()
            if not value.isdigit() or len(value) > MAX_EVENT_ID_DIGITS:
                raise ProtocolError("an event id is not a number")
            return int(value)
    return None

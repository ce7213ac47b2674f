"""Server-sent events, kept as they came."""

from collections.abc import Iterable, Iterator

from poplarspar.coordination.forwarding.ports import StreamEvent
from poplarspar.exceptions import ProtocolError

MAX_EVENT_BYTES = 262_144
EVENT_END = b"\n\n"
NUMBER_FIELD = b"id:"


def split_events(chunks: Iterable[bytes]) -> Iterator[StreamEvent]:
    """Yield each whole event with its bytes.

    Raises
    ------
    ProtocolError
        If an event is too large, or the chunks end inside of one.
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        *events, buffer = buffer.split(EVENT_END)
        if len(buffer) > MAX_EVENT_BYTES:
            raise ProtocolError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        for event in events:
            yield StreamEvent(_number(event), event + EVENT_END)
    if buffer:
        raise ProtocolError("the stream ended inside an event")


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(NUMBER_FIELD):
            value = line.removeprefix(NUMBER_FIELD).strip()
            if not value.isdigit():
                raise ProtocolError("an event's id is no number")
            return int(value)
    return None

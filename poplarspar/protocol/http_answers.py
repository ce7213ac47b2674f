"""Grammar of HTTP/1.1 answers (RFC 9112): heads, lengths, chunks and trailers.

An answer that does not follow it has no certain end or headers, so nothing is repaired.
"""

import re
from dataclasses import dataclass
from functools import lru_cache

from poplarspar.exceptions import MalformedAnswer

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
CHUNKED = "chunked"
# Status of a connection that changes to another protocol, which no request asks for.
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
MAX_FIELDS = 100
# Far beyond any body, and short enough for quick conversion.
MAX_LENGTH_DIGITS = 64
MAX_KEPT_LINE_BYTES = 32

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"
_QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*+"'
# RFC 9112, section 4: a recipient may ignore that the space before an absent reason is
# missing. RFC 9110, section 15: statuses outside of 100 to 599 are invalid.
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (" + _TEXT + rb"))?")
_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")")
_EXTENSION = rb"[\t ]*+;[\t ]*+%b(?:[\t ]*+=[\t ]*+(?:%b|%b))?+" % (
    _TOKEN,
    _TOKEN,
    _QUOTED,
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]++)(?:" + _EXTENSION + rb")*+\r\n")
_LENGTH = re.compile(r"[0-9]+")


@dataclass(frozen=True)
class Sized:
    """A body of a known size."""

    size_bytes: int


@dataclass(frozen=True)
class Chunked:
    """A body in chunks, of which the last one is empty."""


@dataclass(frozen=True)
class UntilClose:
    """A body that ends when the peer closes the connection."""


Framing = Sized | Chunked | UntilClose


@dataclass(frozen=True)
class AnswerHead:
    """The status line and the headers of an answer.

    Attributes
    ----------
    minor_version : int
        The version of HTTP after ``1.``.
    fields : tuple of (str, str)
        Names and values of the headers in their order.
    """

    minor_version: int
    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]

    @property
    def is_interim(self) -> bool:
        """Whether the answer itself follows."""
        return self.status < FIRST_FINAL_STATUS

    def items(self, name: str) -> list[str]:
        """Return the items of a list in headers with a name, given in lower case."""
        values = [value for field, value in self.fields if field.lower() == name]
        return [item.strip(" \t") for value in values for item in value.split(",")]

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may be used again after the answer."""
        options = {option.lower() for option in self.items("connection")}
        if self.minor_version == 0:
            return "keep-alive" in options
        return "close" not in options

    def framing(self, method: str) -> Framing:
        """Return how the body ends; raises `MalformedAnswer` if that is uncertain."""
        codings = [coding.lower() for coding in self.items(TRANSFER_ENCODING)]
        lengths = self.items(CONTENT_LENGTH)
        framing: Framing = UntilClose()
        if codings:
            if self.minor_version == 0:
                raise MalformedAnswer("HTTP/1.0 has no transfer codings")
            if lengths:
                raise MalformedAnswer("the answer has a length and a transfer coding")
            # Other codings need decoders, and no request offers any.
            if codings != [CHUNKED]:
                raise MalformedAnswer("the transfer coding is not chunked alone")
            framing = Chunked()
        elif lengths:
            framing = Sized(_parse_length(lengths))
        if method == "HEAD" or self.status in STATUSES_WITHOUT_BODY:
            return Sized(0)
        return framing


def parse_head(lines: list[bytes]) -> AnswerHead:
    """Decode the lines of a head, without their ends; raises `MalformedAnswer`."""
    status_line, *field_lines = lines
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise MalformedAnswer("the first line is no status line of HTTP/1.x")
    minor_version, status, reason = match.groups(b"")
    head = AnswerHead(
        int(minor_version),
        int(status),
        reason.decode("latin-1").strip(" \t"),
        parse_fields(field_lines),
    )
    if head.status == SWITCHING_PROTOCOLS:
        raise MalformedAnswer("the answer changes to another protocol")
    return head


def parse_fields(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Decode the lines of headers or trailers; raises `MalformedAnswer`."""
    if len(lines) > MAX_FIELDS:
        raise MalformedAnswer(f"the answer has more than {MAX_FIELDS} headers")
    fields = []
    for line in lines:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswer("a line of the headers is no field")
        name, value = (part.decode("latin-1") for part in match.groups())
        fields.append((name, value.strip(" \t")))
    return tuple(fields)


def parse_chunk_size(line: bytes) -> int:
    """Decode the line before a chunk, with its end; raises `MalformedAnswer`."""
    if len(line) <= MAX_KEPT_LINE_BYTES:
        return _parse_short_chunk_line(line)
    return _parse_chunk_line(line)


def _parse_chunk_line(line: bytes) -> int:
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise MalformedAnswer("the size of a chunk is malformed")
    return int(match[1], 16)


# The chunks of a body mostly have the same size.
_parse_short_chunk_line = lru_cache(maxsize=256)(_parse_chunk_line)


def _parse_length(lengths: list[str]) -> int:
    """Decode a length, which may be repeated if all copies are equal."""
    for text in lengths:
        if len(text) > MAX_LENGTH_DIGITS or not _LENGTH.fullmatch(text):
            raise MalformedAnswer("the length of the body is no number")
    first, *others = {int(text) for text in lengths}
    if others:
        raise MalformedAnswer("the answer has several lengths")
    return first

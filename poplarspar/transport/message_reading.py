"""Reads lines and bodies of messages by the grammar of HTTP/1.1 within bounds.

The same code reads answers of backend servers and requests of callers. It raises
`MalformedAnswer` for what the grammar does not allow.
"""

import io
from http.client import RemoteDisconnected

from poplarspar.exceptions import MalformedAnswer
from poplarspar.protocol.http_answers import (
    Chunked,
    Framing,
    Sized,
    UntilClose,
    parse_chunk_size,
    parse_fields,
)
from poplarspar.transport.bodies import BodyParts

MAX_LINE_BYTES = 65_536
# Limit for the headers, including those of interim answers, and for the trailers.
MAX_HEAD_BYTES = 131_072
LINE_END = b"\r\n"


class BodyReader:
    """Reads a body to its end."""

    def __init__(self, file: io.BufferedReader, framing: Framing) -> None:
        self._file = file
        self._framing = framing
        # Of the body, or of the current chunk.
        self._remaining_bytes = 0
        self._in_chunk = False
        self._ended = False
        if isinstance(framing, Sized):
            self._remaining_bytes = framing.size_bytes

    def read1(self, limit: int) -> bytes:
        """Return the next bytes; none at the end."""
        match self._framing:
            case Sized():
                return self._read_remaining(limit)
            case Chunked():
                return self._read_chunk(limit)
            case UntilClose():
                return self._file.read1(limit)

    def _read_remaining(self, limit: int) -> bytes:
        if limit < 0 or limit > self._remaining_bytes:
            limit = self._remaining_bytes
        data = self._file.read1(limit)
        if limit and not data:
            raise RemoteDisconnected("the connection ended in the body")
        self._remaining_bytes -= len(data)
        return data

    def _read_chunk(self, limit: int) -> bytes:
        if not self._remaining_bytes and not self._ended:
            self._begin_chunk()
        return self._read_remaining(limit)

    def _begin_chunk(self) -> None:
        """Read what is between two chunks, or all that follows the last one."""
        if self._in_chunk:
            self._read_chunk_end()
        self._remaining_bytes = parse_chunk_size(read_line(self._file))
        self._in_chunk = True
        if not self._remaining_bytes:
            _read_trailers(self._file)
            self._ended = True

    def _read_chunk_end(self) -> None:
        data = self._file.read(len(LINE_END))
        if data == LINE_END:
            return
        if LINE_END.startswith(data):
            raise RemoteDisconnected("the connection ended in a chunk")
        raise MalformedAnswer("a chunk is longer than its size")


def read_chunks(file: io.BufferedReader, limit_bytes: int) -> bytes | None:
    """Return a whole body of chunks, None if it is larger than a limit."""
    body = BodyParts()
    while size := parse_chunk_size(read_line(file)):
        if body.size + size > limit_bytes:
            return None
        data = file.read(size + len(LINE_END))
        if len(data) < size + len(LINE_END):
            raise RemoteDisconnected("the connection ended in a chunk")
        if not data.endswith(LINE_END):
            raise MalformedAnswer("a chunk is longer than its size")
        body.add(data[:size])
    _read_trailers(file)
    return body.join()


def _read_trailers(file: io.BufferedReader) -> None:
    """Read trailers, which aren't passed on but must be complete."""
    parse_fields(read_lines(file, MAX_HEAD_BYTES))


def read_lines(file: io.BufferedReader, limit_bytes: int) -> list[bytes]:
    """Return the lines before the next empty one, without their ends."""
    lines = []
    while True:
        line = read_line(file)
        limit_bytes -= len(line)
        if limit_bytes < 0:
            raise MalformedAnswer("the headers or trailers are too long")
        # RFC 9112, section 2.2: the carriage return may be missing.
        line = line.removesuffix(b"\n").removesuffix(b"\r")
        if not line:
            return lines
        lines.append(line)


def read_line(file: io.BufferedReader) -> bytes:
    """Return the next line with its end."""
    line = file.readline(MAX_LINE_BYTES + 1)
    if line.endswith(b"\n"):
        return line
    if len(line) > MAX_LINE_BYTES:
        raise MalformedAnswer(f"a line is longer than {MAX_LINE_BYTES} bytes")
    raise RemoteDisconnected("the connection ended in a line")

"""Reads answers from connections by the grammar of HTTP/1.1, without guesses."""

import io
import socket
from http.client import HTTPMessage, RemoteDisconnected

from poplarspar.exceptions import MalformedAnswer
from poplarspar.protocol.http_answers import (
    AnswerHead,
    Chunked,
    Framing,
    Sized,
    UntilClose,
    parse_chunk_size,
    parse_fields,
    parse_head,
)

MAX_LINE_BYTES = 65_536
# Limit for the headers, including those of interim answers, and for the trailers.
MAX_HEAD_BYTES = 131_072
LINE_END = b"\r\n"


class StrictResponse(io.BufferedIOBase):
    """An answer, in place of the class of the standard library's client.

    That class takes the end of the connection for the end of the head, ends the headers
    at a line that is no field, and ignores a length or a coding that it can't decode.
    This one raises `MalformedAnswer` for such an answer, and `RemoteDisconnected` for
    one that is cut off; its connection must not be used again then.

    Attributes
    ----------
    version : int
        The version of HTTP, multiplied by ten.
    will_close : bool
        Whether the connection ends with the answer.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        self._file = sock.makefile("rb")
        self._method = method or ""

    def begin(self) -> None:
        """Read the status and the headers, after those of interim answers."""
        head = _read_head(self._file)
        framing = head.framing(self._method)
        self.status = head.status
        self.reason = head.reason
        self.version = 10 + head.minor_version
        self.headers = self.msg = HTTPMessage()
        for name, value in head.fields:
            self.msg[name] = value
        self.will_close = isinstance(framing, UntilClose) or not head.keeps_connection
        self._body = _Body(self._file, framing)

    def read1(self, limit: int = -1) -> bytes:
        """Return the next bytes of the body, at most `limit`; none at its end."""
        if self.closed:
            return b""
        data = self._body.read1(limit)
        if not data and limit:
            self.close()
        return data

    def read(self, limit: int | None = None) -> bytes:
        """Return all the rest of the body, or up to `limit` bytes."""
        if limit is None or limit < 0:
            return b"".join(iter(self.read1, b""))
        return self.read1(limit)

    def isclosed(self) -> bool:
        """Return whether nothing more is read, as the client asks."""
        return self.closed

    def close(self) -> None:
        """Release the connection."""
        super().close()
        self._file.close()


class _Body:
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
            raise RemoteDisconnected("the connection ended in the answer's body")
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
        self._remaining_bytes = parse_chunk_size(_read_line(self._file))
        self._in_chunk = True
        if not self._remaining_bytes:
            # Trailers aren't passed on, but must be complete.
            parse_fields(_read_lines(self._file, MAX_HEAD_BYTES))
            self._ended = True

    def _read_chunk_end(self) -> None:
        data = self._file.read(len(LINE_END))
        if data == LINE_END:
            return
        if LINE_END.startswith(data):
            raise RemoteDisconnected("the connection ended in a chunk")
        raise MalformedAnswer("a chunk is longer than its size")


def _read_head(file: io.BufferedReader) -> AnswerHead:
    """Return the head of the final answer."""
    limit_bytes = MAX_HEAD_BYTES
    while True:
        lines = _read_lines(file, limit_bytes)
        if not lines:
            raise MalformedAnswer("the answer begins with an empty line")
        head = parse_head(lines)
        if not head.is_interim:
            return head
        limit_bytes -= sum(map(len, lines))


def _read_lines(file: io.BufferedReader, limit_bytes: int) -> list[bytes]:
    """Return the lines before the next empty one, without their ends."""
    lines = []
    while True:
        line = _read_line(file)
        limit_bytes -= len(line)
        if limit_bytes < 0:
            raise MalformedAnswer("the headers or trailers are too long")
        # RFC 9112, section 2.2: the carriage return may be missing.
        line = line.removesuffix(b"\n").removesuffix(b"\r")
        if not line:
            return lines
        lines.append(line)


def _read_line(file: io.BufferedReader) -> bytes:
    line = file.readline(MAX_LINE_BYTES + 1)
    if line.endswith(b"\n"):
        return line
    if len(line) > MAX_LINE_BYTES:
        raise MalformedAnswer(f"a line is longer than {MAX_LINE_BYTES} bytes")
    raise RemoteDisconnected("the connection ended in a line of the answer")

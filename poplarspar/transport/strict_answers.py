"""Reads answers from connections by the grammar of HTTP/1.1, without guesses."""

import io
import socket
from http.client import HTTPMessage

from poplarspar.exceptions import MalformedAnswer
from poplarspar.protocol.http_answers import AnswerHead, UntilClose, parse_head
from poplarspar.transport.message_reading import (
    MAX_HEAD_BYTES,
    BodyReader,
    read_lines,
)


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
        self._body = BodyReader(self._file, framing)

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


def _read_head(file: io.BufferedReader) -> AnswerHead:
    """Return the head of the final answer."""
    limit_bytes = MAX_HEAD_BYTES
    while True:
        lines = read_lines(file, limit_bytes)
        if not lines:
            raise MalformedAnswer("the answer begins with an empty line")
        head = parse_head(lines)
        if not head.is_interim:
            return head
        limit_bytes -= sum(map(len, lines))

"""Sockets whose tasks give way to others though their peers never let them wait."""

import io
from typing import Self

from eventlet.greenio import GreenSocket

from poplarspar.transport.turns import TURNS

# Reading as many short lines takes a small part of a turn.
LINES_PER_CHECK = 16
_read_line = io.BufferedReader.readline


class FairSocket(GreenSocket):
    """Ends the turn of a task that receives or sends for too long without a wait.

    All connections of this process use it, both those of its callers and peers and
    those to backend servers, the store and other services.
    """

    @classmethod
    def wrap(cls, sock: GreenSocket) -> Self:
        """Return a socket of this class in place of one of the library's."""
        wrapped = cls(sock.fd)
        wrapped.settimeout(sock.gettimeout())
        # Keeps the original socket alive, which would close the descriptor when it is
        # garbage-collected.
        wrapped.original = sock
        return wrapped

    def _recv_loop(self, receive, empty, *arguments):
        result = super()._recv_loop(receive, empty, *arguments)
        TURNS.check()
        return result

    def _send_loop(self, send, data, *arguments):
        result = super()._send_loop(send, data, *arguments)
        TURNS.check()
        return result

    def makefile(self, mode: str = "r", buffering: int | None = None, **options):
        """Return a file; one for reading bytes ends turns too.

        A single receive may contain thousands of lines or chunks.
        """
        if mode != "rb" or buffering == 0:
            return super().makefile(mode, buffering, **options)
        raw = super().makefile("rb", 0)
        size = io.DEFAULT_BUFFER_SIZE
        return _FairReader(raw, buffering if buffering and buffering > 0 else size)


class _FairReader(io.BufferedReader):
    """Reads a socket through a buffer and ends turns of tasks that go on for long.

    What reads many small parts of a message reads a line for each of them.
    """

    _line_count = 0

    def readline(self, size: int | None = -1) -> bytes:
        line = _read_line(self, size)
        self._line_count += 1
        if not self._line_count % LINES_PER_CHECK:
            TURNS.check()
        return line

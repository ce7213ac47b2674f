"""Noticing that a caller has left while its request is served."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
from eventlet.hubs import trampoline

from poplarspar.exceptions import CallerGone


@contextmanager
def cancel_on_disconnect(connection: socket.socket) -> Iterator[None]:
    """Raise `CallerGone` in the task of a ``with`` block when the caller leaves.

    The block must not read from the connection itself.
    """
    task = eventlet.getcurrent()
    watcher = eventlet.spawn(_watch, connection, task)
    try:
        yield
    finally:
        watcher.kill()


def _watch(connection: socket.socket, task) -> None:
    trampoline(connection.fileno(), read=True)
    if _is_closed(connection):
        eventlet.kill(task, CallerGone("the caller closed its connection"))


def _is_closed(connection: socket.socket) -> bool:
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True

"""Socket addresses in the form ``host:port``."""

import socket

import eventlet

from poplarspar.transport.fair_sockets import FairSocket


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: str, send_buffer_bytes: int = 0) -> socket.socket:
    """Return a listening socket; accepted connections are `FairSocket` objects.

    They inherit the size of its send buffer.
    """
    listener = FairSocket.wrap(eventlet.listen(split_address(address), backlog=1024))
    if send_buffer_bytes:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    return listener


def bound_address(listener: socket.socket) -> str:
    """Return the address to which a listening socket is bound."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"

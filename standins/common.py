"""Shared parts of the stand-ins: eventlet's patches, an HTTP server and options."""

import poplarspar  # isort: skip  # noqa: F401
import eventlet

eventlet.monkey_patch()

import argparse
import json
import signal

from eventlet.event import Event

from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.server import HttpServer, ServerLimits

LIMITS = ServerLimits(4_000_000, header_timeout_s=60.0, idle_timeout_s=60.0)


def serve(handler) -> None:
    """Serve a handler on a free port, print the address, run until SIGTERM."""
    stop = Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop.send())
    listener = listen("127.0.0.1:0")
    HttpServer(
        listener,
        handler,
        connection_limit=4096,
        limits=lambda: LIMITS,
    )
    print(json.dumps({"http": bound_address(listener)}), flush=True)
    stop.wait()


def parse_options(**defaults):
    """Parse options of the command line; each has its default's type."""
    parser = argparse.ArgumentParser()
    for name, default in defaults.items():
        parser.add_argument(
            f"--{name.replace('_', '-')}", type=type(default), default=default
        )
    return parser.parse_args()

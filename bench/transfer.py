"""Rates at which one process reads sound bodies, streams and requests.

The peers are processes of their own. Prints medians by time and by the time of the
processor that the process has used, which other work on the machine changes less.
"""

import standins.common  # noqa: F401  # isort: skip

import statistics
import subprocess
import sys
import time
from collections.abc import Callable

import eventlet

from bench.common import print_report
from poplarspar.protocol.server_sent_events import split_events
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.http import HttpClient, open_stream, read_body
from poplarspar.transport.server import HttpServer, Response, ServerLimits

RUNS = 7
TIMEOUT_S = 60.0
BODY_BYTES = 4_000_000
UPLOADS = 20
EVENTS = 20_000
REQUESTS = 2_000
HEAD = b"HTTP/1.1 200 OK\r\n"
EVENT = b"id: 7\ndata: some words of an answer\n\n"
LIMITS = ServerLimits(8_000_000, header_timeout_s=30.0, idle_timeout_s=60.0)

# Sends one answer to each connection, after the request.
PEER = """
import socket, sys
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
answer = sys.stdin.buffer.read()
while True:
    connection, _ = listener.accept()
    connection.recv(65536)
    try:
        connection.sendall(answer)
    except OSError:
        pass
    connection.close()
"""
# Sends one request after the other and reads each answer.
CALLER = """
import socket, sys
count = int(sys.argv[2])
request = sys.stdin.buffer.read()
caller = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
for _ in range(count):
    caller.sendall(request)
    answer = b""
    while not answer.endswith(b"done"):
        answer += caller.recv(65536)
"""


def chunked(piece_bytes: int) -> bytes:
    """Return an answer in chunks of this size."""
    chunk = b"%x\r\n" % piece_bytes + b"x" * piece_bytes + b"\r\n"
    body = chunk * (BODY_BYTES // piece_bytes) + b"0\r\n\r\n"
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body


def seconds(work: Callable[[], None]) -> tuple[float, float]:
    """Return how long some work takes, and the time of the processor for it."""
    began_at, used_s = time.monotonic(), time.process_time()
    work()
    return time.monotonic() - began_at, time.process_time() - used_s


def timed_answer(answer: bytes, read: Callable[[str], None]) -> tuple[float, float]:
    """Return the `seconds` in which `read` reads an answer, given its address."""
    command = [sys.executable, "-c", PEER]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as peer:
        port = int(peer.stdout.readline())
        peer.stdin.write(answer)
        peer.stdin.close()
        taken_s = seconds(lambda: read(f"127.0.0.1:{port}"))
        peer.kill()
    return taken_s


def read_whole(address: str) -> None:
    """Read a body as that of a backend server's answer."""
    stream = open_stream(address, "GET", "/", read_timeout_s=TIMEOUT_S)
    read_body(stream)
    stream.close()


def read_report(address: str) -> None:
    """Read a body as that of the store's answer."""
    HttpClient(address).send("GET", "/", read_timeout_s=TIMEOUT_S)


def read_stream(address: str) -> None:
    """Read events."""
    stream = open_stream(address, "GET", "/", read_timeout_s=TIMEOUT_S)
    assert sum(1 for _ in split_events(stream.chunks())) == EVENTS
    stream.close()


def timed_requests(request: bytes, count: int) -> tuple[float, float]:
    """Return the `seconds` in which a server answers requests of one connection."""
    listener = listen("127.0.0.1:0")
    server = HttpServer(
        listener,
        lambda request: Response(200, b"done", "text/plain"),
        connection_limit=8,
        limits=lambda: LIMITS,
    )
    port = bound_address(listener).split(":")[1]
    command = [sys.executable, "-c", CALLER, port, str(count)]

    def call() -> None:
        caller = subprocess.Popen(command, stdin=subprocess.PIPE)
        caller.stdin.write(request)
        caller.stdin.close()
        while caller.poll() is None:
            eventlet.sleep(0.005)

    taken_s = seconds(call)
    server.close()
    return taken_s


def request(body: bytes, head: bytes = b"") -> bytes:
    """Return a request with a body."""
    length = head or b"Content-Length: %d\r\n" % len(body)
    return b"POST / HTTP/1.1\r\nHost: a\r\n" + length + b"\r\n" + body


def main() -> None:
    """Measure and print all cases."""
    sized = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES
    stream = HEAD + b"\r\n" + EVENT * EVENTS
    upload = b"x" * BODY_BYTES
    pieces = (b"1000\r\n" + b"x" * 0x1000 + b"\r\n") * (BODY_BYTES // 0x1000)
    coding = b"Transfer-Encoding: chunked\r\n"
    megabytes = BODY_BYTES / 1e6
    cases = {
        "answer_with_length_mb_s": (megabytes, lambda: timed_answer(sized, read_whole)),
        "answer_in_64k_chunks_mb_s": (
            megabytes,
            lambda: timed_answer(chunked(65_536), read_whole),
        ),
        "answer_in_1k_chunks_mb_s": (
            megabytes,
            lambda: timed_answer(chunked(1_024), read_whole),
        ),
        "store_answer_in_1k_chunks_mb_s": (
            megabytes,
            lambda: timed_answer(chunked(1_024), read_report),
        ),
        "events_s": (EVENTS, lambda: timed_answer(stream, read_stream)),
        "request_with_length_mb_s": (
            megabytes * UPLOADS,
            lambda: timed_requests(request(upload), UPLOADS),
        ),
        "request_in_4k_chunks_mb_s": (
            megabytes * UPLOADS,
            lambda: timed_requests(request(pieces + b"0\r\n\r\n", coding), UPLOADS),
        ),
        "small_requests_s": (
            REQUESTS,
            lambda: timed_requests(request(b"ask"), REQUESTS),
        ),
    }
    rows = []
    for name, (amount, measure) in cases.items():
        taken_s = [measure() for _ in range(RUNS)]
        elapsed_s, used_s = (
            statistics.median(times) for times in zip(*taken_s, strict=True)
        )
        rows.append(
            {
                "case": name,
                "per_s": round(amount / elapsed_s, 1),
                "per_processor_s": round(amount / used_s, 1),
            }
        )
    print_report("transfer", rows)


if __name__ == "__main__":
    main()

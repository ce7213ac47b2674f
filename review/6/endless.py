"""A model worker in trouble: its report's body is followed by trailers without end.

Arguments: seconds until the trouble, its longest time. Prints its port.
"""

import json
import socket
import sys
import threading
import time

REPORT = {
    "stage": "combined",
    "busy": False,
    "waiting": 0,
    "running": 0,
    "pace": 1.0,
    "born": 1_700_000_000_000,
    "seq": 0,
    "models": [],
    "staged": [],
    "domain": "d0",
}
LINES = b"a: b\r\n" * 20_000


def serve(connection: socket.socket, trouble_at: float, ends_at: float) -> None:
    """Answer the requests on a connection, with trailers without end in the trouble."""
    data = b""
    try:
        while True:
            while b"\r\n\r\n" not in data:
                piece = connection.recv(65_536)
                if not piece:
                    return
                data += piece
            data = data.partition(b"\r\n\r\n")[2]
            body = json.dumps(REPORT).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            if not trouble_at <= time.monotonic() < ends_at:
                length = f"Content-Length: {len(body)}\r\n\r\n".encode()
                connection.sendall(head + length + body)
                continue
            chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n"
            connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
            while time.monotonic() < ends_at:
                connection.sendall(LINES)
            return
    except OSError:
        pass
    finally:
        connection.close()


def main() -> None:
    """Serve until killed."""
    begin = time.monotonic()
    trouble_at = begin + float(sys.argv[1])
    ends_at = trouble_at + float(sys.argv[2])
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        arguments = (connection, trouble_at, ends_at)
        threading.Thread(target=serve, args=arguments, daemon=True).start()


main()

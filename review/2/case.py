"""Workers crash on a part of a prompt in the middle of their first event."""

import time
from pathlib import Path

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.transport.server import Request
from review.common.nodes import end_with
from review.common.prompts import MODELS, PART, Clients, run_case
from soak.environment import Environment

REQUESTS = 16
INTERVAL_S = 2.0
# The bytes that a worker has written reach the machine before the connection ends.
CRASH_DELAY_S = 0.015
# An answer with neither a length nor chunks, which ends with its connection.
HEAD = (
    "HTTP/1.1 200 OK\r\n"
    "Attempt-Id: {attempt}\r\n"
    "Response-Signature: s.{worker}\r\n"
    "Content-Type: text/event-stream\r\n"
    "Connection: close\r\n"
    "\r\n"
)
BEGINNING_OF_EVENT = "id: {number}\nda"


class CutAnswers(Environment):
    """Workers that crash when they have written the beginning of an event."""

    def _begin(self, id: str, request: Request) -> None:
        harm = self.current_harm
        if harm is None or harm.part not in request.headers.get("Prompt-Prefix", ""):
            return
        number = int(request.headers.get("Last-Event-Id", 0)) + 1
        attempt = request.headers["Attempt-Id"]
        text = HEAD.format(attempt=attempt, worker=id)
        text += BEGINNING_OF_EVENT.format(number=number)
        request.connection.sendall(text.encode())
        eventlet.sleep(CRASH_DELAY_S)
        harm.crashes.append((id, time.monotonic()))
        # Ends the connection in order, as the system does for a process that ends.
        self.crash(id)
        raise BackendFailed("crashed", sent=True)


def send_singly(clients: Clients) -> None:
    """Send requests with the part one after the other."""
    for index in range(REQUESTS):
        clients.send(MODELS[index % 2], PART)
        eventlet.sleep(INTERVAL_S)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    end_with(lambda: run_case(folder, send_singly, CutAnswers))

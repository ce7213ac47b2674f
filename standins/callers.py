"""Callers that send requests to a local cluster and check the answers."""

import json
import re
import threading
import time
from collections import Counter

import urllib3

from standins.cluster import LocalCluster, wait_for
from standins.tokens import token_text

STREAMED_ROUTES = ("draft", "summary")
REFUSAL_BACKOFF_S = 0.02


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(token_text(prompt, offset) for offset in range(max_tokens))


def streamed_text(body: bytes) -> str:
    """Return the text of a whole streamed answer; fails if it is not whole."""
    events = body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        raise AssertionError(f"the stream did not end well: {events[-3:]}")
    texts = [json.loads(event.removeprefix("data: "))["text"] for event in events[:-2]]
    return "".join(texts)


class Load:
    """Callers in threads that send one kind of request after the other.

    `phase` may be changed while it runs; outcomes and times are kept by the phase
    in which a request was sent.
    """

    def __init__(
        self,
        cluster: LocalCluster,
        route: str,
        callers: int = 6,
        max_tokens: int = 20,
        entries: list[str] | None = None,
        workspace: str = "pilots",
    ) -> None:
        self.cluster = cluster
        self.route = route
        self.max_tokens = max_tokens
        self.entries = entries or cluster.entry_names
        self.workspace = workspace
        self.phase = ""
        self.outcomes: Counter[str] = Counter()
        self.outcomes_by_phase: dict[str, Counter] = {}
        self.seconds_by_phase: dict[str, list[float]] = {}
        self.problems: list[str] = []
        self.refusals_by_key: dict[str, str] = {}
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(i,)) for i in range(callers)
        ]

    def __enter__(self) -> "Load":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *details) -> None:
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def wait_served(self, more: int, timeout_s: float = 60.0) -> None:
        """Wait until so many more requests were served."""
        goal = self.outcomes["served"] + more
        wait_for(lambda: self.outcomes["served"] >= goal, f"{goal} served", timeout_s)

    def _run(self, caller: int) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            entry = self.entries[(caller + number) % len(self.entries)]
            name = f"{self.route}-{caller}-{number}"
            phase = self.phase
            started = time.monotonic()
            outcome = self._send_checked(entry, name)
            seconds = time.monotonic() - started
            self.outcomes[outcome] += 1
            self.outcomes_by_phase.setdefault(phase, Counter())[outcome] += 1
            self.seconds_by_phase.setdefault(phase, []).append(seconds)

    def _send_checked(self, entry: str, name: str) -> str:
        try:
            return self._send(entry, name)
        except (urllib3.exceptions.HTTPError, OSError, AssertionError) as error:
            self.problems.append(f"{entry} {name}: {error!r}")
            return "broken"

    def _send(self, entry: str, name: str) -> str:
        if self.route not in STREAMED_ROUTES:
            response = self._post(entry, {"pay": name}, {"Idempotency-Key": name})
            return self._classify(name, response, response.status == 200)
        document = {"prompt": f"draft {name}", "max_tokens": self.max_tokens}
        response = self._post(entry, document, {})
        if response.status != 200:
            return self._classify(name, response, False)
        text = streamed_text(response.data)
        complete = text == expected_text(document["prompt"], self.max_tokens)
        return self._classify(name, response, complete)

    def _post(self, entry: str, document: dict, headers: dict):
        path = f"/v1/{self.workspace}/{self.route}"
        address = self.cluster.address(entry)
        return self.cluster.http.send("POST", address, path, document, headers)

    def _classify(self, name: str, response, served: bool) -> str:
        if served:
            return "served"
        self.problems.append(f"{name}: {response.status} {response.data[-300:]!r}")
        ran = re.search(rb'"ran": "(\w+)"', response.data)
        self.refusals_by_key[name] = ran.group(1).decode() if ran else "?"
        time.sleep(REFUSAL_BACKOFF_S)
        return f"refused_{self.refusals_by_key[name]}"

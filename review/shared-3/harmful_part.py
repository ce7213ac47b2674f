"""Clients of one route, some of whose prompts have a part that crashes servers."""

import lab  # isort: skip

import itertools
import random
import time
from contextlib import closing

import eventlet
from servers import Deployment

from soak.environment import HOST, KEYS

TOKENS_PER_PART = 20
# Events of an answer, one in 30 ms.
SHORT_ANSWER, LONG_ANSWER = 10, 40
NODES = 9
ZONES = ["z-a"] * 4 + ["z-b"] * 5
STABLE_S = 3.0
HARMFUL_PERIOD_S = 1.0
SOUND_PERIOD_S = 0.12
WARM_UP_S = 5.0
RUN_S = 50.0
# The rule's numbers.
FIFTH = 5
ALLOWED = 3


class HarmfulPart:
    """The case of one harmful part, which must be kept away from servers.

    Parameters
    ----------
    trouble : bool
        Whether the part crashes servers.
    shared_parts : int
        Parts that a prompt shares with others, besides the first two; the last one is
        its own.
    id_digits : int
        Length of the ids of all parts.
    writes_for_s : float
        How long a server writes an answer on the part before it crashes.
    """

    def __init__(
        self,
        lab_: lab.Lab,
        trouble: bool,
        shared_parts: int,
        id_digits: int = 8,
        writes_for_s: float = 0.0,
    ) -> None:
        self.trouble = trouble
        self.writes_for_s = writes_for_s
        self.events = LONG_ANSWER if writes_for_s else SHORT_ANSWER
        self.shared_parts = shared_parts
        self.id_digits = id_digits
        self.harmful = self.part("bad")
        self.lab = lab_
        self.environment = lab_.stack.enter_context(closing(Deployment()))
        self.rng = random.Random(3)
        self.serials = itertools.count(1)
        self.sent_at: dict[str, float] = {}
        self.with_part: set[str] = set()
        self.served = self.refused = 0

    def part(self, word: str, number: int = 0) -> str:
        """Return the id of a part, in hexadecimal."""
        return word + f"{number:0{self.id_digits - len(word)}x}"

    def run(self) -> bool:
        """Return whether the rule was broken."""
        env = self.environment
        env.writes_for_s = self.writes_for_s
        self.lab.start_nodes([env.store.address] * NODES, ZONES)
        self.lab.wait_until(lambda: len(env.pool.serving()) >= 2, "open groups")
        eventlet.sleep(1.0)
        tasks = [eventlet.spawn(self.send_forever, False, SOUND_PERIOD_S)]
        eventlet.sleep(WARM_UP_S)
        if self.trouble:
            env.begin_harm(self.harmful)
        self.lab.note("requests with the part", self.harmful, "begin")
        tasks.append(eventlet.spawn(self.send_forever, True, HARMFUL_PERIOD_S))
        eventlet.sleep(RUN_S)
        for task in tasks:
            task.kill()
        self.lab.check_lag()
        return self.judge()

    def send_forever(self, has_part: bool, period_s: float) -> None:
        """Send requests of one kind, each from a task of its own."""
        while True:
            eventlet.spawn(self.send, has_part)
            eventlet.sleep(period_s)

    def send(self, has_part: bool) -> None:
        """Send one request and record its answer."""
        number = next(self.serials)
        node = self.rng.choice(self.lab.nodes)
        id = f"{'with-part' if has_part else 'sound'}-{number}"
        parts = [self.part("a"), self.harmful if has_part else self.part("5a")]
        parts += [self.part("c", index) for index in range(self.shared_parts)]
        parts.append(self.part("f", number))
        headers = {
            "Host": HOST,
            "Attempt-Id": id,
            "Authorization": f"Token {KEYS['pilots']}",
            "Deadline-Ms": "5000",
            "Model": "m0",
            "Token-Count": f"{TOKENS_PER_PART * len(parts)},{self.events}",
            "Prompt-Prefix": ",".join(f"{part}:{TOKENS_PER_PART}" for part in parts),
        }
        self.sent_at[id] = time.monotonic()
        if has_part:
            self.with_part.add(id)
        self.lab.note("sent", id, "to", node.name)
        try:
            answer = lab.exchange(
                node.address, "POST", f"/draft/{number}", headers, b"%d" % number, 6.0
            )
            status = answer.status
        except (OSError, lab.HTTPException) as error:
            status = type(error).__name__
        self.served += status == 200 and not has_part
        self.refused += status == 503 and not has_part
        self.lab.note("answered", id, status)

    def judge(self) -> bool:
        """Return whether the rule was broken, by what servers have run."""
        runs = [r for r in self.environment.runs if r.attempt_id in self.with_part]
        for run in runs:
            at = run.started_at - self.lab.began_at
            self.lab.note(f"{run.worker} began to run {run.attempt_id} at {at:.3f}")
        crashes = [c for harm in self.environment.harms for c in harm.crashes]
        for worker, at in crashes:
            self.lab.note(f"{worker} crashed at {at - self.lab.began_at:.3f}")
        self.lab.say(
            f"{len(self.with_part)} requests with the part sent, {len(crashes)} "
            f"crashes; sound requests: {self.served} served, {self.refused} refused"
        )
        if len(crashes) < FIFTH:
            return False
        since = sorted(at for _, at in crashes)[FIFTH - 1] + STABLE_S
        late = [r for r in runs if self.sent_at[r.attempt_id] > since]
        self.lab.say(
            f"{len(late)} that clients sent later than {STABLE_S} s after the fifth "
            f"crash reached servers, {ALLOWED} are allowed"
        )
        return len(late) > ALLOWED

"""Gold files of whole sessions with real processes."""

import json

from tests.base import TIDEWATER, ClusterTestCase


def render(method: str, path: str, document: object, answer) -> str:
    """Return one exchange as text."""
    kind = answer.headers.get("Content-Type", "")
    return (
        f"> {method} {path}\n> {json.dumps(document)}\n"
        f"< {answer.status} {kind}\n{answer.data.decode()}\n"
    )


class SessionsTest(ClusterTestCase):
    def exchange(self, entry, workspace, route, document, key=""):
        answer = self.call(entry, route, document, key, workspace)
        return render("POST", f"/v1/{workspace}/{route}", document, answer)

    def test_callers(self):
        prompt = {"prompt": "Invoice for berth 4", "max_tokens": 5}
        whole = {**prompt, "stream": False}
        self.assert_gold(
            "stream",
            self.exchange("entry-1", "pilots", "draft", prompt)
            + self.exchange("entry-2", "pilots", "draft", whole),
        )
        self.assert_gold(
            "refusals",
            self.exchange("entry-1", "pilots", "nowhere", prompt)
            + self.exchange("entry-1", "pilots", "draft", {"prompt": ""})
            + self.exchange("entry-1", "pilots", "payment", {"sum": 5})
            + self.exchange("entry-2", "pilots", "payment", {"sum": 5}, "k" * 201)
            + self.exchange("entry-2", "pilots", "draft", {**prompt, "tokens": 1}),
        )

    def test_publish_with_conflict(self):
        base = self.cluster.send_as_operator("GET", "/v1/objects")[1]["revision"]
        mine = TIDEWATER.replace("weight = 4", "weight = 5")
        theirs = TIDEWATER.replace("weight = 4", "weight = 6")
        accepted = self.cluster.publish(theirs, "steward-2", base)
        conflict = self.cluster.publish(mine, "steward-1", base)
        broken = mine.replace("deployment = ledger", "deployment = nothing")
        broken = broken.replace("serving", "x").replace("weight = 5", "weight = -1")
        wrong = self.cluster.publish(broken + "colour = red\n", base=base)
        self.assertEqual(accepted[1]["revision"], conflict[1]["revision"])
        for _, document in (accepted, conflict):
            document["revision"] = "R"
        lines = [json.dumps(step, indent=1) for step in (accepted, conflict, wrong)]
        self.assert_gold("publish", "\n".join(lines) + "\n")

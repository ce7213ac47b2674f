"""Compares sessions with real processes to golden files.

Guards against unintended changes in responses to callers and operators.
"""

import json

from tests.base import TIDEWATER, ClusterTestCase


def render(method: str, path: str, document: object, answer) -> str:
    """Return a request and its response as text."""
    kind = answer.headers.get("Content-Type", "")
    return (
        f"> {method} {path}\n> {json.dumps(document)}\n"
        f"< {answer.status} {kind}\n{answer.data.decode()}\n"
    )


class SessionsTest(ClusterTestCase):
    def exchange(self, entry, workspace, route, document, key=""):
        answer = self.call(entry, route, document, key, workspace)
        return render("POST", f"/v1/{workspace}/{route}", document, answer)

    def test_caller_responses_match_golden_files(self):
        prompt = {"prompt": "Invoice for berth 4", "max_tokens": 5}
        unstreamed = {**prompt, "stream": False}
        self.assert_gold(
            "stream",
            self.exchange("entry-1", "pilots", "draft", prompt)
            + self.exchange("entry-2", "pilots", "draft", unstreamed),
        )
        self.assert_gold(
            "refusals",
            self.exchange("entry-1", "pilots", "nowhere", prompt)
            + self.exchange("entry-1", "pilots", "draft", {"prompt": ""})
            + self.exchange("entry-1", "pilots", "payment", {"sum": 5})
            + self.exchange("entry-2", "pilots", "payment", {"sum": 5}, "k" * 201)
            + self.exchange("entry-2", "pilots", "draft", {**prompt, "tokens": 1}),
        )

    def test_publish_responses_match_golden_file(self):
        base = self.cluster.send_as_operator("GET", "/v1/objects")[1]["revision"]
        late_text = TIDEWATER.replace("weight = 4", "weight = 5")
        first_text = TIDEWATER.replace("weight = 4", "weight = 6")
        accepted = self.cluster.publish(first_text, "steward-2", base)
        conflict = self.cluster.publish(late_text, "steward-1", base)
        invalid_text = late_text.replace("deployment = ledger", "deployment = nothing")
        invalid_text = invalid_text.replace("serving", "x").replace(
            "weight = 5", "weight = -1"
        )
        rejected = self.cluster.publish(invalid_text + "colour = red\n", base=base)
        self.assertEqual(accepted[1]["revision"], conflict[1]["revision"])
        for _, document in (accepted, conflict):
            document["revision"] = "R"
        lines = [json.dumps(step, indent=1) for step in (accepted, conflict, rejected)]
        self.assert_gold("publish", "\n".join(lines) + "\n")

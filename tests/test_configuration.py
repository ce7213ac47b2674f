"""Accepted configurations reach every node and are never rolled back."""

import threading

from standins.cluster import wait_for
from tests.base import TIDEWATER, ClusterTestCase, service_vms


class ConfigurationTest(ClusterTestCase):
    vms = service_vms()
    groups = 2

    def control_store(self, **faults) -> None:
        self.cluster.http.post(self.cluster.address("store"), "/control", faults)

    def text_with_weight(self, weight: int) -> str:
        return TIDEWATER.replace("weight = 4", f"weight = {weight}")

    def audit_entries(self) -> list[dict]:
        return self.cluster.send_as_operator("GET", "/v1/audit")[1]["audit"]

    def test_one_of_concurrent_publishes_is_accepted(self):
        base = self.cluster.send_as_operator("GET", "/v1/objects")[1]["revision"]
        answers = []

        def publish(number):
            steward = self.cluster.steward_names[number % 3]
            text = self.text_with_weight(10 + number)
            answers.append(self.cluster.publish(text, steward, base))

        threads = [threading.Thread(target=publish, args=(i,)) for i in range(9)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [document for status, document in answers if status == 200]
        conflicts = [document for status, document in answers if status == 409]
        self.assertEqual((1, 8), (len(accepted), len(conflicts)))
        self.wait_in_force(accepted[0]["revision"])
        self.assertEqual(2, len(self.audit_entries()))
        for conflict in conflicts:
            self.assertEqual(accepted[0]["changes"], conflict["changes"])

    def test_concurrent_serving_changes_are_all_applied(self):
        changes = [("zone", "a"), ("zone", "b"), ("server", "svc-a"), ("zone", "c")]
        threads = [
            threading.Thread(
                target=self.cluster.set_serving, args=(kind, name, False, steward)
            )
            for (kind, name), steward in zip(
                changes, self.cluster.steward_names * 2, strict=False
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        text = self.cluster.send_as_operator("GET", "/v1/objects")[1]["text"]
        wait_for(
            lambda: (
                self.cluster.send_as_operator("GET", "/v1/objects")[1]["text"].count(
                    "serving = no"
                )
                == len(changes)
            ),
            f"all changes in {text}",
        )

    def test_publish_succeeds_when_the_store_answer_is_lost(self):
        self.control_store(lose_answers=1)
        status, document = self.cluster.publish(self.text_with_weight(7))
        self.assertEqual((200, "accepted"), (status, document["outcome"]))
        self.assertEqual(2, len(self.audit_entries()))

    def test_publish_during_store_outage_is_unknown(self):
        self.control_store(outage=True)
        status, document = self.cluster.publish(self.text_with_weight(8))
        self.assertEqual((503, "unknown"), (status, document["outcome"]))

    def test_restarted_daemons_recover_during_store_outage(self):
        revision = self.publish(self.text_with_weight(9))
        self.wait_in_force(revision)
        self.control_store(outage=True)
        self.cluster.restart("steward-3")
        self.cluster.restart("entry-3")
        wait_for(lambda: self.cluster.entry_status("entry-3")["fresh"], "entry-3 fresh")
        self.assertGreaterEqual(
            self.cluster.entry_status("entry-3")["revision"], revision
        )
        document = self.cluster.send_as_operator(
            "GET", "/v1/objects", steward="steward-3"
        )[1]
        self.assertEqual(revision, document["revision"])
        with self.load("balance") as load:
            load.wait_served(60)
        self.assertEqual([], load.problems)

    def test_minority_entry_refuses_during_store_outage(self):
        self.control_store(outage=True)
        self.cluster.isolate("steward-3")
        self.cluster.isolate("entry-3")
        wait_for(
            lambda: not self.cluster.entry_status("entry-3")["fresh"],
            "entry-3 not fresh",
        )
        refused = self.call("entry-3", "balance", {})
        self.assertEqual((503, "no"), (refused.status, refused.json()["error"]["ran"]))
        with self.load("balance", entries=["entry-1", "entry-2"]) as load:
            load.wait_served(60)
        self.assertEqual([], load.problems)

    def test_restarted_steward_does_not_return_to_older_revision(self):
        first = self.publish(self.text_with_weight(5))
        second = self.publish(self.text_with_weight(6))
        self.wait_in_force(second)
        revisions = []
        for name in self.cluster.steward_names:
            self.control_store(outage=True)
            self.cluster.restart(name)
            wait_for(lambda n=name: self.cluster.status(n)["fresh"], f"{name} fresh")
            self.control_store(outage=False)
            document = self.cluster.send_as_operator(
                "GET", "/v1/objects", steward=name
            )[1]
            revisions.append(document["revision"])
        self.assertLess(first, second)
        self.assertEqual([second] * 3, revisions)

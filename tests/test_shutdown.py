"""Graceful shutdowns cut off no request, alone and in pairs."""

import signal
import threading

from standins.cluster import wait_for
from tests.base import ClusterTestCase, expected_text, streamed_text

TOKENS = 300


class ShutdownTest(ClusterTestCase):
    def start_streams(self, entry: str, count: int = 3):
        """Start long streams at an entry and return a function that checks them."""
        answers = {}

        def run(number):
            document = {"prompt": f"long {number}", "max_tokens": TOKENS}
            answers[number] = self.call(entry, "draft", document)

        threads = [threading.Thread(target=run, args=(i,)) for i in range(count)]
        for thread in threads:
            thread.start()
        wait_for(
            lambda: self.cluster.entry_status(entry)["running"] == count, "streams run"
        )

        def check():
            for thread in threads:
                thread.join()
            for number, answer in answers.items():
                self.assertEqual(200, answer.status, answer.data)
                expected = expected_text(f"long {number}", TOKENS)
                self.assertEqual(expected, streamed_text(answer.data))
            self.assertEqual(count, len(answers))

        return check

    def terminate(self, name: str) -> None:
        self.cluster.by_name[name].signal(signal.SIGTERM)

    def wait_gone(self, name: str) -> None:
        wait_for(lambda: self.cluster.by_name[name].popen.poll() == 0, f"{name} ends")

    def leave(self, vm: str) -> None:
        self.cluster.draining_vms.add(vm)
        self.cluster.publish_vms()

    def test_entry_leaves(self):
        check = self.start_streams("entry-1")
        self.terminate("entry-1")
        address = self.cluster.address("entry-1")
        wait_for(
            lambda: self.cluster.http.send("GET", address, "/ready").status == 503,
            "the ready check fails",
        )
        entries = ["entry-2", "entry-3"]
        with self.load("draft", entries=entries) as load:
            self.wait_gone("entry-1")
            load.wait_served(30)
        check()
        self.assertEqual([], load.problems)
        self.assertEqual(0, self.total_count("overloads"))

    def test_steward_leaves(self):
        with self.load("draft") as load:
            load.wait_served(20)
            self.terminate("steward-1")
            self.wait_gone("steward-1")
            self.cluster.steward_names.remove("steward-1")
            load.wait_served(60)
        self.assertEqual([], load.problems)

    def test_entry_and_its_steward_leave(self):
        check = self.start_streams("entry-2")
        self.terminate("entry-2")
        self.terminate("steward-2")
        with self.load("draft", entries=["entry-1", "entry-3"]) as load:
            self.wait_gone("entry-2")
            load.wait_served(30)
        check()
        self.assertEqual([], load.problems)

    def test_entry_and_backend_server_leave(self):
        check = self.start_streams("entry-3")
        leaving = self.groups_in_zone("a")[0]["members"][1]
        self.leave(leaving)
        self.terminate("entry-3")
        with self.load("draft", entries=["entry-1", "entry-2"]) as load:
            self.wait_gone("entry-3")
            load.wait_served(30)
        check()
        self.assertEqual([], load.problems)

    def test_steward_and_backend_server_leave(self):
        with (
            self.load("draft") as drafts,
            self.load("payment") as payments,
        ):
            drafts.wait_served(20)
            self.leave("svc-a")
            self.terminate("steward-3")
            drafts.wait_served(40)
            wait_for(lambda: self.cluster.counts("svc-a")["running"] == 0, "svc-a idle")
            payments.wait_served(30)
        self.assertEqual([], drafts.problems + payments.problems)

    def test_entry_killed_while_it_leaves(self):
        check = self.start_streams("entry-2")
        self.start_streams("entry-1")
        self.terminate("entry-1")
        self.cluster.by_name["entry-1"].stop()
        with self.load("draft", entries=["entry-2", "entry-3"]) as load:
            load.wait_served(60)
        check()
        self.assertEqual([], load.problems)
        self.assertEqual(0, self.total_count("overloads"))
